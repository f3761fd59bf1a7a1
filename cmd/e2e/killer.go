package main

// Kills in the record scenario: instances die repeatedly at random failpoints, and the store fails at random times.

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

const (
	// externalKill is counted as the kill point if the killer, not a failpoint, kills an instance.
	externalKill = "outside"

	minStoreKills     = 2
	firstRandomStream = 100 // of the random number generators: instance i uses stream firstRandomStream+i
)

// killPoints are the failpoints at which an instance kills itself. It does so when it reaches the failpoint for the
// n-th time, with n drawn from 1 to maxPasses.
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

// killer kills and restarts instances and injects store faults, until there were enough kills or the time is up.
// Its counts may be read after run.
type killer struct {
	scenario *recordScenario
	cluster  *cluster

	cancel context.CancelFunc // ends the run

	mu            sync.Mutex // guards everything below
	err           error      // the first error; the run then has no verdict
	kills         []instanceKill
	instanceKills int
	killsAt       map[string]int // by kill point
	storeKills    int
	storeStalls   int
	storeFaults   map[string]int // by kind
}

func newKiller(scenario *recordScenario, c *cluster) *killer {
	return &killer{scenario: scenario, cluster: c, killsAt: map[string]int{}, storeFaults: map[string]int{}}
}

// run kills instances for the given time at most. It returns an error if an instance exited on its own, a restart
// failed or a store fault could not be injected.
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

// fail records an error and ends the run.
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

// killRepeatedly kills and restarts an instance until the run ends. Unless the run has failed, it then
// makes sure that the running process has no kill point.
func (k *killer) killRepeatedly(ctx context.Context, instance int, random *rand.Rand) {
	for ctx.Err() == nil {
		point, killed := k.awaitKill(ctx, instance, random)
		if !killed {
			break
		}
		k.restart(k.drawStartOptions(instance, random))
		if point != "" {
			k.countKill(point)
		}
	}
	hasKillPoint := killPoint(k.cluster.process(instance)) != "" // it would kill itself while shutting down
	if hasKillPoint && !k.hasFailed() {
		k.restart(k.scenario.startOptions(instance, random.Uint64()))
	}
}

// awaitKill waits until an instance has exited or is to be killed after a random time, and returns the kill point.
// The point is empty if the process exited without having one; restart then decides whether that is an error. If the
// run ends first, killed is false.
func (k *killer) awaitKill(ctx context.Context, instance int, random *rand.Rand) (point string, killed bool) {
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

// drawStartOptions draws the options of an instance's next process. Three of four processes have a kill point.
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

// killPoint returns the point at which a process will kill itself, or "" if there is none.
func killPoint(p *process) string {
	for _, variable := range p.command.Env {
		if value, ok := strings.CutPrefix(variable, killAtEnv); ok {
			point, _, _ := strings.Cut(value, ":")
			return point
		}
	}
	return ""
}

// restart kills an instance, if it still runs, and starts it again. The run fails if the instance had exited for
// another reason than SIGKILL.
func (k *killer) restart(next startOptions) {
	p := k.cluster.process(next.instance)
	at := time.Now()
	p.kill()
	k.mu.Lock()
	k.kills = append(k.kills, instanceKill{next.instance, at})
	k.mu.Unlock()
	if !killedBySIGKILL(p.err) {
		k.fail(fmt.Errorf("instance %s exited without being killed: %w\n%s", instanceName(next.instance), p.err,
			k.cluster.logTail(next.instance)))
	}
	if err := k.cluster.start(next); err != nil {
		k.fail(err)
	}
}

// countKill counts a kill, and ends the run once there were enough. A full run also needs as many different kill
// points as killPoints has, where an external kill counts as one.
func (k *killer) countKill(point string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.instanceKills++
	k.killsAt[point]++
	enoughPoints := len(k.killsAt) >= len(killPoints)
	if k.instanceKills >= k.scenario.Kills && k.storeKills >= minStoreKills && (k.scenario.Short || enoughPoints) {
		k.cancel()
	}
}

// failStore injects faults into the store until the run ends.
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

// pause waits for a time or until ctx is done.
func pause(ctx context.Context, length time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(length):
	}
}
