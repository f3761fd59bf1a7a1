package main

import (
	"fmt"
	"time"
)

type recordPrune struct {
	OlderThan time.Duration `required:"" help:"Remove entries answered longer ago than this: 2160h."`
	Batch     int           `default:"1000" help:"Number of entries removed per transaction."`
}

// Run removes old entries and prints how many, even if it stops early.
func (c recordPrune) Run(commands *recordCommands) error {
	if c.OlderThan <= 0 || c.Batch < 1 {
		return fmt.Errorf("--older-than %v, --batch %d: both must be positive", c.OlderThan, c.Batch)
	}
	store, err := commands.openStore()
	if err != nil {
		return err
	}
	defer store.Close()
	ctx, stop := signalContext()
	defer stop()
	bar, removed := newProgress("removed"), int64(0)
	defer func() { fmt.Println(removed, "entries removed") }()
	before := unixMsAgo(c.OlderThan)
	for {
		n, err := store.Prune(ctx, before, c.Batch)
		if err != nil || n == 0 {
			return err
		}
		removed += n
		bar.add(n)
	}
}
