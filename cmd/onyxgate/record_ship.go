package main

import (
	"fmt"

	"onyxgate/internal/record/recorder"
)

type recordShip struct {
	Instance string `name:"agent" required:"" help:"Whose spool."`
}

// Run sends what is left in a spool and says how much went, also where it could not all go.
func (c recordShip) Run(line *recordCommands) error {
	settings, err := line.recordConfig()
	if err != nil {
		return err
	}
	ctx, stop := signalContext()
	defer stop()
	shown := newProgress("shipped")
	var exported, inDoubt uint64
	err = recorder.Ship(ctx, settings, c.Instance, func(exportedSoFar, inDoubtSoFar uint64) {
		exported, inDoubt = exportedSoFar, inDoubtSoFar
		shown.set(int64(exported))
	})
	shown.finish()
	fmt.Printf("%d rows shipped, %d of them in doubt\n", exported, inDoubt)
	return err
}
