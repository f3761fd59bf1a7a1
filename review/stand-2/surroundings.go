package main

import (
	"fmt"
	"sync"
	"time"
)

// surroundings are the parts of a deployment that the instances of a case share.
type surroundings struct {
	world *world
	fleet *fleet
	news  newsState
	// delay is how long discovery takes for an answer.
	delay time.Duration
	// onTold is called after discovery has written a list to an instance.
	onTold            func(instance string, l list, at time.Time)
	known             *list // what the instances knew before; nil: the list at their start
	sockets, memoryMB int

	platform  *platform
	discovery []*discovery
}

// startInstances starts a platform and n instances, each with a discovery address of its own.
func (s *surroundings) startInstances(n int, settings func(me int) map[string]any, own string) (started []*process, err error) {
	s.platform = &platform{world: s.world, state: s.news}
	if err := s.platform.serve(); err != nil {
		return nil, err
	}
	known := s.fleet.whole()
	if s.known != nil {
		known = *s.known
	}
	if s.sockets == 0 {
		s.sockets, s.memoryMB = 1024, 192
	}
	for i := range n {
		name := fmt.Sprintf("n%d", i+1)
		d := &discovery{world: s.world, fleet: s.fleet, name: name, delay: s.delay}
		if s.onTold != nil {
			d.onTold = func(l list, at time.Time) { s.onTold(name, l, at) }
		}
		if err := d.serve(); err != nil {
			return nil, err
		}
		s.discovery = append(s.discovery, d)
		p, err := s.world.startInstance(instanceOptions{
			name: name, discovery: d.address(), platform: s.platform.address(), news: s.news, known: known, settings: settings(i),
			sockets: s.sockets, memoryMB: s.memoryMB, ownSettings: own,
		})
		if err != nil {
			return nil, err
		}
		started = append(started, p)
	}
	return started, nil
}

// sendTo sends requests to all instances, at the given mean rate for each, and returns how they ended.
func (s *surroundings) sendTo(instances []*process, rate float64, classes []class, until time.Time) (all []answer) {
	var senders []*clients
	var wg sync.WaitGroup
	for _, p := range instances {
		c := &clients{world: s.world, to: p.listen, name: "r" + p.name, rate: rate, classes: classes}
		senders = append(senders, c)
		wg.Go(func() { c.send(until) })
	}
	wg.Wait()
	for _, c := range senders {
		all = append(all, c.list()...)
	}
	s.world.mu.Lock()
	defer s.world.mu.Unlock()
	s.world.asked, s.world.served = len(all), count(all)[200]
	return all
}
