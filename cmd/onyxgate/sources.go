package main

// This file owns what the operators' commands for the sources of the fleet share.

import (
	"fmt"
	"time"

	"onyxgate/internal/config"
	"onyxgate/internal/sources/host"
)

type sourcesCommands struct {
	Settings string         `env:"ONYXGATE_SETTINGS" type:"path" required:"" help:"Our settings, TOML: [sources] says where the state file is."`
	Show     sourcesShow    `cmd:"" help:"Each backend with what each source says, how old it is and which rule decided."`
	Explain  sourcesExplain `cmd:"" help:"All that is known of one backend, by id or address."`
	Resolve  sourcesResolve `cmd:"" help:"One look-up with every step and time."`
}

// state reads the state file that the settings name.
func (c sourcesCommands) state() (host.State, error) {
	settings, err := config.Read(c.Settings)
	if err != nil {
		return host.State{}, err
	}
	if settings.Sources.StateFile == "" {
		return host.State{}, fmt.Errorf("%s: sources.state names no file, so agents write none", c.Settings)
	}
	return host.ReadState(settings.Sources.StateFile)
}

// age is the time from one moment to another, both in Unix ms.
func age(at, now float64) time.Duration {
	return time.Duration((now - at) * float64(time.Millisecond)).Round(time.Millisecond)
}
