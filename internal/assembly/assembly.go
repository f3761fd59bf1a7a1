// Package assembly puts one agent together from its parts and takes it apart again. It owns the order in which they start
// and end, and what an agent may go on without; it must never hold a decision, or a setting that no part has.
//
// They start so: the configuration and our settings are read and checked; the record takes its spool, without which an
// agent that is to keep one does not start; the listener is opened; the module runs, with the list and the news that the
// configuration holds; streams, writers and reports begin; the front says that it is ready. They end the other way round: the
// front leaves once its requests are answered, then the record writes what it holds, and all else is dropped. An agent goes on
// without discovery, the platform, the store of record, the metrics' listener and, by setting, the spool.
package assembly

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/tidwall/gjson"

	"onyxgate/internal/config"
	"onyxgate/internal/core"
	"onyxgate/internal/httpwire"
	"onyxgate/internal/invariant"
	"onyxgate/internal/metrics"
	"onyxgate/internal/record/recorder"
	"onyxgate/internal/siteconfig"
	"onyxgate/internal/sources"
	"onyxgate/internal/sources/host"
	"onyxgate/policy"
)

// Options are what an agent is started with beside its configuration.
type Options struct {
	Version                 string
	ConfigPath              string // the configuration
	Name, Listen, Discovery string // in place of the configuration's, where not empty
	Tables                  config.Tables
	ReportInterval          time.Duration // between two lines of counts
}

// Read reads a configuration and says all that is wrong with it.
func Read(path string) (gjson.Result, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return gjson.Result{}, err
	}
	if !gjson.ValidBytes(text) {
		return gjson.Result{}, fmt.Errorf("%s is not JSON", path)
	}
	config, wrong := gjson.ParseBytes(text), []error{}
	for _, line := range siteconfig.Problems(config) {
		wrong = append(wrong, errors.New(line))
	}
	if len(wrong) > 0 {
		return config, fmt.Errorf("%s can't be used: %w", path, errors.Join(wrong...))
	}
	return config, nil
}

// Instance is one that is put together.
type Instance struct {
	orders    Options
	config    gjson.Result
	listener  net.Listener
	budget    *httpwire.Sockets
	core      *core.Core
	discovery *httpwire.Discovery
	platform  *httpwire.Platform
	upstream  *httpwire.Upstream
	front     *httpwire.Front
	keeper    *recorder.Recorder // nil: nothing is recorded
	sources   *host.Host         // nil: discovery alone
	meter     *metrics.Meter
}

// what the module wants beside its requests.
func (a *Instance) SendVote(release policy.ReleaseID, verdict policy.Verdict, stage int) {
	a.platform.SendVote(release, verdict, stage)
}
func (a *Instance) SendProbe(appliance string) { go a.upstream.Probe(appliance) }
func (a *Instance) WatchEndpoints()            { a.discovery.Refresh(false) }
func (a *Instance) FetchEndpoints()            { a.discovery.Refresh(true) }

func (a *Instance) told(given, name string) string {
	if given == "" {
		return a.config.Get(name).Str
	}
	return given
}

// New makes the parts; nothing runs yet but the listener's backlog.
func New(o Options) (*Instance, error) {
	config, err := Read(o.ConfigPath)
	if err != nil {
		return nil, err
	}
	a := &Instance{orders: o, config: config}
	s := config.Get("settings")
	seed, _ := siteconfig.Seed(config) // Read has seen that it is one
	sockets, memoryMB := a.limits()
	names, products := siteconfig.Classes(s)

	a.core = core.New(a)
	if o.Tables.Record.On() {
		if a.keeper, err = recorder.New(o.Tables.Record, a.told(o.Name, "name"), names, a.core.Now, seed+2); err != nil {
			return nil, err
		}
		a.core.AddInterceptor(a.keeper)
	}
	if a.listener, err = listen(a.told(o.Listen, "listen")); err != nil {
		return nil, err
	}
	a.budget = httpwire.NewSockets(sockets)
	dial := (&net.Dialer{KeepAlive: -1}).DialContext
	tcp := func(ctx context.Context, address string) (net.Conn, error) { return dial(ctx, "tcp", address) }
	zones, kinds := siteconfig.ZonesAndHardware(s)
	a.discovery = httpwire.NewDiscovery(a.core, tcp, a.told(o.Discovery, "discovery"), zones, kinds, siteconfig.OnDemandDiscovery(s), seed)
	a.platform = httpwire.NewPlatform(a.core, tcp, config.Get("pipeline.address").Str, siteconfig.VoteTimeout(s), seed+1)
	up, idle := siteconfig.ConnectionTimes(s)
	onAnswers, onProbes := siteconfig.LoadReports(s)
	address := a.discovery.Address
	if o.Tables.Sources.Enabled() {
		address = func(id string) string { return a.sources.Address(id) }
	}
	a.upstream = httpwire.NewUpstream(a.core, tcp, address, a.budget, up, idle, onAnswers, onProbes)
	a.discovery.OnRemove(a.upstream.CloseAddress)
	room := int64(1 << 30)
	if memoryMB > 0 {
		room = int64(memoryMB) << 20 / 4
	}
	a.front = httpwire.NewFront(a.core, a.upstream, a.budget, names, products, siteconfig.CancelAllowed(s), siteconfig.MaxOpenRequests(s), room)

	logrus.WithFields(logrus.Fields{
		"version": o.Version, "name": a.told(o.Name, "name"),
		"listen": a.listener.Addr().String(), "cpus": runtime.NumCPU(), "cores": runtime.GOMAXPROCS(0), "sockets": sockets,
		"memory_mb": memoryMB, "agents": s.Get("balancers").Int(), "products": len(names),
		"appliances": len(config.Get("known.servers").Array()),
	}).Info("start")
	a.core.Start(func(p policy.Port) *policy.Instance {
		return policy.New(p, siteconfig.InstanceConfig(s, seed, a.budget.ClientLimit()))
	})
	if o.Tables.Sources.Enabled() { // after the module: what is remembered goes to it at once
		a.sources = host.New(host.Options{
			Config: o.Tables.Sources, Fleet: a.core, OnLeft: a.upstream.CloseAddress, Seed: seed + 3,
			Instance: int(s.Get("me").Int()), Instances: int(s.Get("balancers").Int()),
		})
		a.discovery.OnUpdate(a.sources.OnDiscovery, a.sources.OnDiscoveryLost)
	}
	if err := a.discovery.Apply([]byte(config.Get("known").Raw), httpwire.FromConfiguration, func() {}); err != nil {
		return nil, fmt.Errorf("known: %w", err)
	}
	news := config.Get("pipeline.news")
	if err := a.platform.Apply(func(name string) string { return news.Get(name).String() }, policy.NotAVote); err != nil {
		return nil, fmt.Errorf("pipeline.news: %w", err)
	}
	return a, nil
}

const (
	// The process before this one may hold the address for a moment more.
	listenMost  = 10 * time.Second
	listenPause = 50 * time.Millisecond
)

// listen opens the listener, as soon as nobody else has its address.
func listen(address string) (net.Listener, error) {
	for from := time.Now(); ; time.Sleep(listenPause) {
		l, err := net.Listen("tcp", address)
		if !errors.Is(err, syscall.EADDRINUSE) || time.Since(from) > listenMost {
			return l, err
		}
	}
}

// limits holds the program to what the configuration allows it.
func (a *Instance) limits() (sockets, memoryMB int) {
	sockets, memoryMB = siteconfig.Limits(a.config)
	if cores := siteconfig.Cores(a.config); cores > 0 { // more threads at once than that only take turns on it
		runtime.GOMAXPROCS(cores)
	}
	if memoryMB > 0 { // the rest is for stacks, the program itself and what the collector is late with
		debug.SetMemoryLimit(int64(memoryMB) << 20 * 6 / 10)
		// Little is live at some hundreds of requests a second, and the collector cheap; at more, peaks would pass for growth.
		debug.SetGCPercent(150)
	}
	return sockets, memoryMB
}

// Run serves until it has left: SIGTERM and SIGINT tell it to, a second one to end at once, SIGHUP to read the
// configuration anew.
func (a *Instance) Run(signals <-chan os.Signal) error {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go a.discovery.Run(ctx)
	go a.platform.Listen(ctx)
	go a.platform.SendVotes(ctx)
	go a.upstream.Sweep(ctx)
	go a.report(ctx)
	if a.sources != nil {
		go a.sources.Run(ctx)
	}
	keeping, endKeeping := context.WithCancel(context.Background())
	defer endKeeping()
	kept := make(chan bool)
	go func() {
		if a.keeper != nil {
			a.keeper.Run(keeping)
		}
		close(kept)
	}()
	if a.orders.Tables.Metrics.Listen != "" {
		a.measure()
		go a.meter.Serve(ctx, a.orders.Tables.Metrics)
	}

	failed, hurry, left := make(chan error, 1), make(chan bool), make(chan bool)
	go func() {
		a.ready(hurry)
		failed <- a.front.Server().Serve(httpwire.Listener{Listener: a.listener, Sockets: a.budget})
	}()
	var again <-chan time.Time // a configuration that could not be used is read once more
	tries := 0
	for ending := false; ; {
		select {
		case err := <-failed:
			if !ending { // else the listener was closed in leaving
				return err
			}
		case <-left:
			endKeeping()
			<-kept
			a.line()
			logrus.Info("left")
			return nil
		case <-again:
			again = a.reread(&tries)
		case sig := <-signals:
			switch {
			case sig == syscall.SIGHUP:
				tries = rereadMost
				again = a.reread(&tries)
			case ending:
				return errors.New("told twice to end")
			default:
				logrus.Info("leaving")
				ending = true
				close(hurry)
				go func() {
					a.front.Shutdown(ctx, a.listener)
					close(left)
				}()
			}
		}
	}
}

const (
	// What discovery already has when a process starts holds for it from its first request on: requests wait in the
	// listener's backlog for it, but no longer than this, for discovery may be down.
	firstList = time.Second
	// A configuration that is being written is whole a moment later.
	rereadWait = 100 * time.Millisecond
	rereadMost = 10
)

// ready waits until the agent may serve: discovery's list is there, has not come in time, or the agent is to leave.
func (a *Instance) ready(hurry <-chan bool) {
	wait := time.NewTimer(firstList)
	defer wait.Stop()
	select {
	case <-hurry:
	case <-a.discovery.FirstUpdate():
	case <-wait.C:
		logrus.Warn("discovery has told nothing yet: ready with the list of the configuration")
	}
	a.front.Ready()
	logrus.Info("ready")
}

// reread reads the configuration and says when to do so again, should it not be usable.
func (a *Instance) reread(tries *int) <-chan time.Time {
	var err error
	a.config, err = reload(a.orders.ConfigPath, a.config, map[string]addressSetter{"discovery": a.discovery, "pipeline.address": a.platform})
	if *tries--; err == nil || *tries <= 0 {
		return nil
	}
	return time.After(rereadWait)
}

// addressSetter can be told another address.
type addressSetter interface{ SetAddress(address string) }

// reload reads the configuration anew. Only discovery's and the platform's addresses can change while it runs; what can't
// be used changes nothing.
func reload(file string, was gjson.Result, parts map[string]addressSetter) (gjson.Result, error) {
	now, err := Read(file)
	if err != nil {
		logrus.WithError(err).Error("configuration not taken, the running one stays")
		return was, err
	}
	moves := logrus.Fields{}
	for name, part := range parts {
		// Against the file as it was: an address given in its place at the start holds until the file names another.
		if address := now.Get(name).Str; address != was.Get(name).Str {
			part.SetAddress(address)
			moves[name] = address
		}
	}
	logrus.WithFields(moves).Info("configuration reread")
	return now, nil
}

// report logs the module's own lines and, every so often, a line of counts.
func (a *Instance) report(ctx context.Context) {
	tick := time.NewTicker(a.orders.ReportInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case line := <-a.core.LogLines():
			logrus.Info(line)
		case <-tick.C:
			a.line()
		}
	}
}

func (a *Instance) line() {
	a.core.CheckClock() // once a second, as its comment asks
	n := a.core.Counts()
	opened, idle, unsent := a.upstream.Connections()
	all, clients, resting := a.budget.Used()
	version, listed := a.discovery.Version()
	var usage syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	cpu := usage.Utime.Nano()/1e6 + usage.Stime.Nano()/1e6
	logrus.WithFields(logrus.Fields{
		"cpu_ms": cpu, "taken": n.Accepted, "settled": n.Served, "declined": n.Rejected,
		"voided": n.Failed, "gone": n.ClientGone, "bad_input": a.front.Refused.Load(), "open": n.OpenRequests, "out": n.OpenAttempts,
		"ends":    fmt.Sprint(n.AttemptsByStatus[policy.StatusServed:]),
		"sockets": all, "clients": clients, "clients_idle": resting, "opened": opened, "idle": idle, "unsent": unsent,
		"list": version, "listed": listed, "timers": n.Timers, "broken": invariant.Violations(), "withdrawn": n.AttemptsWithheld,
	}).Info("counts")
	r := n.Releases
	logrus.WithFields(logrus.Fields{
		"newest": r.Newest.Release, "phase": r.Newest.Phase.String(), "stage": r.Newest.Stage,
		"cap": r.Newest.Cap, "trial": r.RollingOut, "keys": r.Keys, "withheld_closed": r.Skipped.Closed,
		"withheld_cap": r.Skipped.CapReached, "withheld_affinity": r.Skipped.Affinity,
	}).Info("releases")
	if a.sources != nil {
		n := a.sources.Counts()
		logrus.WithFields(logrus.Fields{
			"lookups": n.Lookups, "questions": n.Questions, "failures": n.FailedLookups,
			"negative": n.NegativeAnswers, "changes": n.Changes, "running": n.Running, "known": n.Known, "doubt_discovery": n.Doubt[0],
			"doubt_srv": n.Doubt[1],
		}).Info("sources")
	}
	if a.keeper != nil {
		s := a.keeper.Status()
		logrus.WithFields(logrus.Fields{
			"spool": s.Health.String(), "entries": s.Entries, "notes": s.Notes, "gaps": s.Gaps,
			"missed": s.Missed, "syncs": s.Syncs, "failures": s.Failures, "unsynced": s.Unsynced, "spool_bytes": s.Used,
			"queued_bytes": s.Queued, "shipped": s.Shipped, "in_doubt": s.InDoubt, "oldest_ms": int(s.Oldest),
			"replies": fmt.Sprint(s.Replies),
		}).Info("record")
	}
}

// seen names what can be scraped of the sources.
func (a *Instance) seen() {
	count := func(name string, of func(host.Counts) float64) {
		a.meter.Gauge(name, func() float64 { return of(a.sources.Counts()) })
	}
	doubt := func(source int) func(host.Counts) float64 {
		return func(n host.Counts) float64 {
			if n.Doubt[source] != "" {
				return 1
			}
			return 0
		}
	}
	count("onyxgate_sources_lookups_total", func(n host.Counts) float64 { return float64(n.Lookups) })
	count("onyxgate_sources_questions_total", func(n host.Counts) float64 { return float64(n.Questions) })
	count("onyxgate_sources_failures_total", func(n host.Counts) float64 { return float64(n.FailedLookups) })
	count("onyxgate_sources_negative_total", func(n host.Counts) float64 { return float64(n.NegativeAnswers) })
	count("onyxgate_sources_changes_total", func(n host.Counts) float64 { return float64(n.Changes) })
	count("onyxgate_sources_running", func(n host.Counts) float64 { return float64(n.Running) })
	for i, rule := range sources.Rules() {
		count(fmt.Sprintf("onyxgate_sources_changes_by_rule_total{rule=%q}", rule),
			func(n host.Counts) float64 { return float64(n.ChangesByRule[i]) })
	}
	count(`onyxgate_sources_doubted{source="discovery"}`, doubt(0))
	count(`onyxgate_sources_doubted{source="srv"}`, doubt(1))
}

// measureReleases names what can be scraped of the rule on exposure.
func (a *Instance) measureReleases(count func(name string, of func(core.Counts) int)) {
	count("onyxgate_release_newest", func(n core.Counts) int { return int(n.Releases.Newest.Release) })
	count("onyxgate_release_stage", func(n core.Counts) int { return n.Releases.Newest.Stage })
	count("onyxgate_release_on_trial", func(n core.Counts) int { return int(n.Releases.RollingOut) })
	count("onyxgate_affinity_keys", func(n core.Counts) int { return n.Releases.Keys })
	count(`onyxgate_backends_withheld_total{reason="closed"}`, func(n core.Counts) int { return n.Releases.Skipped.Closed })
	count(`onyxgate_backends_withheld_total{reason="cap"}`, func(n core.Counts) int { return n.Releases.Skipped.CapReached })
	count(`onyxgate_backends_withheld_total{reason="affinity"}`, func(n core.Counts) int { return n.Releases.Skipped.Affinity })
	count("onyxgate_attempts_withdrawn_total", func(n core.Counts) int { return n.AttemptsWithheld })
}

// measure names what can be scraped.
func (a *Instance) measure() {
	a.meter = metrics.New()
	count := func(name string, of func(core.Counts) int) {
		a.meter.Gauge(name, func() float64 { return float64(of(a.core.Counts())) })
	}
	count("onyxgate_txns_taken_total", func(n core.Counts) int { return n.Accepted })
	count(`onyxgate_txns_ended_total{outcome="settled"}`, func(n core.Counts) int { return n.Served })
	count(`onyxgate_txns_ended_total{outcome="declined"}`, func(n core.Counts) int { return n.Rejected })
	count(`onyxgate_txns_ended_total{outcome="voided"}`, func(n core.Counts) int { return n.Failed })
	count(`onyxgate_txns_ended_total{outcome="gone"}`, func(n core.Counts) int { return n.ClientGone })
	count("onyxgate_txns_open", func(n core.Counts) int { return n.OpenRequests })
	count("onyxgate_submissions_out", func(n core.Counts) int { return n.OpenAttempts })
	a.meter.Gauge("onyxgate_broken_total", func() float64 { return float64(invariant.Violations()) })
	a.measureReleases(count)
	if a.sources != nil {
		a.seen()
	}
	if a.keeper == nil {
		return
	}
	standing := func(name string, of func(recorder.Status) float64) {
		a.meter.Gauge(name, func() float64 { return of(a.keeper.Status()) })
	}
	standing("onyxgate_record_entries_total", func(s recorder.Status) float64 { return float64(s.Entries) })
	standing("onyxgate_record_syncs_total", func(s recorder.Status) float64 { return float64(s.Syncs) })
	standing("onyxgate_record_failures_total", func(s recorder.Status) float64 { return float64(s.Failures) })
	standing("onyxgate_record_unsynced_total", func(s recorder.Status) float64 { return float64(s.Unsynced) })
	standing("onyxgate_record_missed_total", func(s recorder.Status) float64 { return float64(s.Missed) })
	standing("onyxgate_record_gaps_total", func(s recorder.Status) float64 { return float64(s.Gaps) })
	standing("onyxgate_record_shipped_total", func(s recorder.Status) float64 { return float64(s.Shipped) })
	standing("onyxgate_record_in_doubt_total", func(s recorder.Status) float64 { return float64(s.InDoubt) })
	standing("onyxgate_record_spool_bytes", func(s recorder.Status) float64 { return float64(s.Used) })
	standing("onyxgate_record_queued_bytes", func(s recorder.Status) float64 { return float64(s.Queued) })
	standing("onyxgate_record_oldest_unshipped_seconds", func(s recorder.Status) float64 { return s.Oldest / 1000 })
}
