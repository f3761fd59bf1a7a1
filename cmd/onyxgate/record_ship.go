package main

import (
	"fmt"

	"onyxgate/internal/record/recorder"
)

type recordShip struct {
	Instance string `name:"agent" required:"" help:"The instance whose spool is sent."`
}

// Run sends the entries left in a spool to the store and prints how many were sent, even if it fails partway.
func (c recordShip) Run(commands *recordCommands) error {
	settings, err := commands.recordConfig()
	if err != nil {
		return err
	}
	ctx, stop := signalContext()
	defer stop()
	bar := newProgress("shipped")
	var exported, inDoubt uint64
	err = recorder.Ship(ctx, settings, c.Instance, func(exportedSoFar, inDoubtSoFar uint64) {
		exported, inDoubt = exportedSoFar, inDoubtSoFar
		bar.set(int64(exported))
	})
	bar.finish()
	fmt.Printf("%d rows shipped, %d of them in doubt\n", exported, inDoubt)
	return err
}
