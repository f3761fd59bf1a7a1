package main

import (
	"fmt"
	"time"
)

type recordPrune struct {
	OlderThan time.Duration `required:"" help:"Remove what was answered longer ago than this: 2160h."`
	Batch     int           `default:"1000" help:"Entries removed in one transaction."`
}

// Run removes old entries and says how many, also where it ends early.
func (c recordPrune) Run(line *recordCommands) error {
	if c.OlderThan <= 0 || c.Batch < 1 {
		return fmt.Errorf("--older-than %v, --batch %d: both must be above zero", c.OlderThan, c.Batch)
	}
	store, err := line.openStore()
	if err != nil {
		return err
	}
	defer store.Close()
	ctx, stop := signalContext()
	defer stop()
	shown, removed := newProgress("removed"), int64(0)
	defer func() { fmt.Println(removed, "entries removed") }()
	before := unixMsAgo(c.OlderThan)
	for {
		n, err := store.Prune(ctx, before, c.Batch)
		if err != nil || n == 0 {
			return err
		}
		removed += n
		shown.add(n)
	}
}
