package main

// Code shared by the "sources" commands.

import (
	"fmt"
	"time"

	"onyxgate/internal/config"
	"onyxgate/internal/sources/host"
)

type sourcesCommands struct {
	Settings string         `env:"ONYXGATE_SETTINGS" type:"path" required:"" help:"Settings file, TOML: its table [sources] names the state file."`
	Show     sourcesShow    `cmd:"" help:"Show each backend with the reports of each source, their ages and the rule that decided."`
	Explain  sourcesExplain `cmd:"" help:"Show all information about one backend, by id or address."`
	Resolve  sourcesResolve `cmd:"" help:"Run one DNS look-up and print every step with its time."`
}

// state reads the state file that the settings name.
func (c sourcesCommands) state() (host.State, error) {
	settings, err := config.Read(c.Settings)
	if err != nil {
		return host.State{}, err
	}
	if settings.Sources.StateFile == "" {
		return host.State{}, fmt.Errorf("%s: sources.state is empty, so instances write no state file", c.Settings)
	}
	return host.ReadState(settings.Sources.StateFile)
}

// age returns the time from at to now, both in Unix ms.
func age(at, now float64) time.Duration {
	return time.Duration((now - at) * float64(time.Millisecond)).Round(time.Millisecond)
}
