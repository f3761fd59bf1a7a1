package main

// This file owns the operators' commands for the sources of the fleet.

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"

	"onyxgate/internal/config"
	"onyxgate/internal/sources/dns"
	"onyxgate/internal/sources/host"
)

type sourcesLine struct {
	Settings string         `env:"ONYXGATE_SETTINGS" type:"path" required:"" help:"Our settings, TOML: [sources] says where the state file is."`
	Show     sourcesShow    `cmd:"" help:"Each appliance with what each source says, how old it is and which rule decided."`
	Explain  sourcesExplain `cmd:"" help:"All that is known of one appliance, by id or address."`
	Resolve  sourcesResolve `cmd:"" help:"One look-up with every step and time."`
}

func (l sourcesLine) state() (s host.State, err error) {
	tables, err := config.Read(l.Settings)
	if err != nil {
		return s, err
	}
	if tables.Sources.StateFile == "" {
		return s, fmt.Errorf("%s: sources.state names no file, so agents write none", l.Settings)
	}
	return host.ReadState(tables.Sources.StateFile)
}

type sourcesShow struct{}

func (sourcesShow) Run(l *sourcesLine) error {
	s, err := l.state()
	if err != nil {
		return err
	}
	fmt.Printf("written %v ago; doubts of discovery: %q, of SRV: %q\n", age(s.WrittenAt, float64(time.Now().UnixMilli())), s.Doubt[0], s.Doubt[1])
	w := table.NewWriter()
	w.SetOutputMirror(os.Stdout)
	w.AppendHeader(table.Row{"id", "address", "state", "build", "rating", "rule", "source", "says", "age"})
	for _, a := range s.Backends {
		for i, word := range a.Statements {
			if i > 0 {
				w.AppendRow(table.Row{"", "", "", "", "", "", word.Source, word.Says, age(word.At, s.WrittenAt)})
				continue
			}
			w.AppendRow(table.Row{
				a.ID, a.Address, a.State, a.Release, fmt.Sprintf("%.2f", a.Weight), a.Rule, word.Source,
				word.Says, age(word.At, s.WrittenAt),
			})
		}
	}
	w.Render()
	return nil
}

func age(at, now float64) time.Duration {
	return time.Duration((now - at) * 1e6).Round(time.Millisecond)
}

type sourcesExplain struct {
	ID string `arg:"" help:"Its id, or its address."`
}

func (c sourcesExplain) Run(l *sourcesLine) error {
	s, err := l.state()
	if err != nil {
		return err
	}
	for _, a := range s.Backends {
		if a.ID != c.ID && a.Address != c.ID {
			continue
		}
		fmt.Printf("%s at %s: %s, build %d, rating %.2f, by the rule %q\n", a.ID, a.Address, a.State, a.Release, a.Weight, a.Rule)
		for _, word := range a.Statements {
			fmt.Printf("  %s, %v ago: %s\n", word.Source, age(word.At, s.WrittenAt), word.Says)
		}
		return nil
	}
	if at, ok := s.Memory.Retired[c.ID]; ok {
		fmt.Printf("nobody in the fleet at %s: who was there drained or went %v ago by discovery's word, and SRV can't undo that\n",
			c.ID, age(at, s.WrittenAt))
		return nil
	}
	return fmt.Errorf("no source told of %s", c.ID)
}

type sourcesResolve struct {
	Name   string `arg:"" optional:"" help:"In place of the settings' name."`
	Server string `help:"In place of the settings' servers."`
}

func (c sourcesResolve) Run(l *sourcesLine) error {
	tables, err := config.Read(l.Settings)
	if err != nil {
		return err
	}
	t := tables.Sources.DNS
	if c.Name != "" {
		t.Name = c.Name
	}
	if c.Server != "" {
		t.Servers = []string{c.Server}
	}
	r := dns.New((&net.Dialer{}).DialContext, rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), 1)), time.Duration(t.Timeout))
	r.Trace = func(step string) { fmt.Println(" ", step) }
	failed := fmt.Errorf("no server is named")
	for _, server := range t.Servers {
		fmt.Println(t.Name, "at", server)
		a, err := r.Lookup(context.Background(), server, t.Name)
		if failed = err; err != nil {
			fmt.Println("  failed:", err)
			continue
		}
		if a.Negative {
			fmt.Println("  no such service, for", a.TTL)
		}
		for _, claim := range a.Observations {
			fmt.Printf("  %s priority %d weight %d\n", claim.Address, claim.Priority, claim.Weight)
		}
		return nil
	}
	return failed
}
