package main

import (
	"fmt"

	"onyxgate/internal/record/spool"
)

type recordAdopt struct {
	Instance string `name:"agent" required:"" help:"The instance whose spool directory was moved."`
}

// Run adopts the directory and prints the incarnations that it adopted, even if it fails partway.
func (c recordAdopt) Run(commands *recordCommands) error {
	settings, err := commands.recordConfig()
	if err != nil {
		return err
	}
	adopted, err := spool.Adopt(spool.Disk{}, settings.Directory, c.Instance)
	for _, incarnation := range adopted {
		fmt.Println("adopted", incarnation)
	}
	return err
}
