package main

// This file owns the kills of the record's scenario: each instance dies again and again at drawn points, and the store fails
// at drawn times.

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

const (
	// externalKill stands for a kill from outside among the kill points.
	externalKill = "outside"

	minStoreKills = 2
	firstRandomStream   = 100 // of the random streams by which instances draw, one each
)

// killPoints are the failpoints at which an instance kills itself, and how often at most the draw lets one be passed before.
var killPoints = []struct {
	name      string
	maxPasses int
}{
	{"record.queued", 60},
	{"spool.write", 60},
	{"spool.wrote", 60},
	{"spool.synced", 60},
	{"record.durable", 60},
	{"record.answered", 60},
	{"spool.turn", 2},
	{"spool.begin", 1},
	{"ship.begun", 6},
	{"ship.commit", 6},
	{"ship.committed", 6},
	{"spool.prune", 1},
	{"spool.drop", 1},
}

// killer kills and restarts instances, and has the store fail, until there were enough kills. Its counts are read after run.
type killer struct {
	scenario *recordScenario
	cluster  *cluster

	cancel context.CancelFunc // ends the killing

	mu            sync.Mutex // holds everything below
	err           error      // the first one, after which there is no verdict
	kills        []instanceKill
	instanceKills int
	killsAt       map[string]int // by kill point
	storeKills    int
	storeStalls   int
	storeFaults   map[string]int // by kind
}

func newKiller(scenario *recordScenario, c *cluster) *killer {
	return &killer{scenario: scenario, cluster: c, killsAt: map[string]int{}, storeFaults: map[string]int{}}
}

// run kills for so long at most. It returns an error where an instance ended by itself or a restart failed.
func (k *killer) run(length time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), length)
	defer cancel()
	k.cancel = cancel
	var all sync.WaitGroup
	for i := range k.cluster.fleet.Instances {
		random := rand.New(rand.NewPCG(k.scenario.Seed, uint64(firstRandomStream+i)))
		all.Go(func() { k.killRepeatedly(ctx, i, random) })
	}
	all.Go(func() { k.failStore(ctx) })
	all.Wait()
	return k.err
}

// fail notes an error and ends the killing.
func (k *killer) fail(err error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.err == nil {
		k.err = err
	}
	k.cancel()
}

func (k *killer) hasFailed() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.err != nil
}

// killRepeatedly has one instance die and start again until the killing ends, and leaves one that does not kill itself.
func (k *killer) killRepeatedly(ctx context.Context, instance int, random *rand.Rand) {
	for ctx.Err() == nil {
		point, dies := k.awaitKill(ctx, instance, random)
		if !dies {
			break
		}
		k.restart(k.drawStartOptions(instance, random))
		if point != "" {
			k.countKill(point)
		}
	}
	armed := killPoint(k.cluster.process(instance)) != "" // it would die in leaving
	if armed && !k.hasFailed() {
		k.restart(k.scenario.startOptions(instance, random.Uint64()))
	}
}

// awaitKill waits until an instance has died, or has lived for a drawn time and is to die now, and returns at which point:
// empty where it ended without one, which restart tells apart. It does not die where the killing ends first.
func (k *killer) awaitKill(ctx context.Context, instance int, random *rand.Rand) (point string, dies bool) {
	p := k.cluster.process(instance)
	timer := time.NewTimer(time.Duration(600+random.IntN(1200)) * time.Millisecond)
	defer timer.Stop()
	select {
	case <-p.exited:
		return killPoint(p), true
	case <-timer.C:
		return externalKill, true
	case <-ctx.Done():
		return "", false
	}
}

// drawStartOptions draws an instance's next life, with a kill point in three of four.
func (k *killer) drawStartOptions(instance int, random *rand.Rand) startOptions {
	env := k.scenario.env
	if random.IntN(4) > 0 {
		point := killPoints[random.IntN(len(killPoints))]
		killAt := fmt.Sprintf("%s%s:%d", killAtEnv, point.name, 1+random.IntN(point.maxPasses))
		env = append(append([]string(nil), env...), killAt)
	}
	options := k.scenario.startOptions(instance, random.Uint64())
	options.env = env
	return options
}

// killPoint is the point at which an instance will kill itself; empty where it won't.
func killPoint(p *process) string {
	for _, variable := range p.command.Env {
		if value, ok := strings.CutPrefix(variable, killAtEnv); ok {
			point, _, _ := strings.Cut(value, ":")
			return point
		}
	}
	return ""
}

// restart kills an instance unless it is dead, and starts it again.
func (k *killer) restart(next startOptions) {
	p := k.cluster.process(next.instance)
	at := time.Now()
	p.kill()
	k.mu.Lock()
	k.kills = append(k.kills, instanceKill{next.instance, at})
	k.mu.Unlock()
	if !killedBySIGKILL(p.err) {
		k.fail(fmt.Errorf("instance %s ended by itself: %w\n%s", instanceName(next.instance), p.err,
			k.cluster.logTail(next.instance)))
	}
	if err := k.cluster.start(next); err != nil {
		k.fail(err)
	}
}

// countKill counts a kill, and ends the killing once there were enough. A full run needs one at each point.
func (k *killer) countKill(point string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.instanceKills++
	k.killsAt[point]++
	atEachPoint := len(k.killsAt) >= len(killPoints)
	if k.instanceKills >= k.scenario.Kills && k.storeKills >= minStoreKills && (k.scenario.Short || atEachPoint) {
		k.cancel()
	}
}

// failStore has the store fail again and again until the killing ends.
func (k *killer) failStore(ctx context.Context) {
	random := k.scenario.random
	for n := 0; ctx.Err() == nil; n++ {
		pause(ctx, time.Duration(300+random.IntN(500))*time.Millisecond)
		kind, err := k.scenario.store.injectFault(n, random)
		if err != nil {
			k.fail(err)
		}
		k.countStoreFault(kind)
	}
}

func (k *killer) countStoreFault(kind string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.storeFaults[kind]++
	switch kind {
	case storeKilled:
		k.storeKills++
	case storeStalled:
		k.storeStalls++
	}
}

// pause waits for a time, or until the context is done.
func pause(ctx context.Context, length time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(length):
	}
}
