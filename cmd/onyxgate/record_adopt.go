package main

import (
	"fmt"

	"onyxgate/internal/record/spool"
)

type recordAdopt struct {
	Instance string `name:"agent" required:"" help:"Whose directory was moved."`
}

// Run takes a directory over and prints its incarnations.
func (c recordAdopt) Run(line *recordCommands) error {
	settings, err := line.recordConfig()
	if err != nil {
		return err
	}
	adopted, err := spool.Adopt(spool.Disk{}, settings.Directory, c.Instance)
	for _, incarnation := range adopted {
		fmt.Println("adopted", incarnation)
	}
	return err
}
