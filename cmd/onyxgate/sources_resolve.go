package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"time"

	"onyxgate/internal/config"
	"onyxgate/internal/sources/dns"
)

// sourcesResolve performs one DNS look-up and prints its steps.
type sourcesResolve struct {
	Name   string `arg:"" optional:"" help:"Service name; overrides the settings."`
	Server string `help:"DNS server; overrides the servers of the settings."`
}

func (r sourcesResolve) Run(c *sourcesCommands) error {
	settings, err := config.Read(c.Settings)
	if err != nil {
		return err
	}
	target := settings.Sources.DNS
	if r.Name != "" {
		target.Name = r.Name
	}
	if r.Server != "" {
		target.Servers = []string{r.Server}
	}
	random := rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), 1))
	resolver := dns.New((&net.Dialer{}).DialContext, random, time.Duration(target.Timeout))
	resolver.Trace = func(step string) { fmt.Println(" ", step) }
	failure := errors.New("no DNS server configured: set sources.dns.servers or use --server")
	for _, server := range target.Servers { // until one answers
		fmt.Println(target.Name, "at", server)
		var answer dns.Answer
		if answer, failure = resolver.Lookup(context.Background(), server, target.Name); failure == nil {
			printAnswer(answer)
			return nil
		}
		fmt.Println("  failed:", failure)
	}
	return failure
}

func printAnswer(answer dns.Answer) {
	if answer.Negative {
		fmt.Println("  no such service; the answer may be cached for", answer.TTL)
	}
	for _, o := range answer.Observations {
		fmt.Printf("  %s priority %d weight %d\n", o.Address, o.Priority, o.Weight)
	}
}
