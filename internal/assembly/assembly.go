// Package assembly puts one instance together from its parts and takes it apart again. It owns the order in which they start
// and end, and what an instance may go on without; it holds no decision, and no setting that no part has.
//
// The parts start so: the configuration and our settings are read and checked; the record takes its spool, without which an
// instance that is to keep one does not start; the listener is opened; the decisions run, with the endpoint list and the
// release updates that the configuration holds; streams, writers and reports begin; the front says that it is ready. They end
// the other way round: the front shuts down once its requests are answered, then the record writes what it holds, and all else
// is dropped. An instance goes on without discovery, the platform, the store of record, the metrics' listener and, by
// setting, the spool.
package assembly

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"time"

	"github.com/sirupsen/logrus"

	"onyxgate/internal/config"
	"onyxgate/internal/core"
	"onyxgate/internal/httpwire"
	"onyxgate/internal/record/recorder"
	"onyxgate/internal/siteconfig"
	"onyxgate/internal/sources/host"
	"onyxgate/policy"
)

// Options are what an instance is started with beside its configuration.
type Options struct {
	Version    string
	ConfigPath string // of the configuration
	// These replace the configuration's where they are not empty.
	Name, Listen, Discovery string
	Settings                config.Settings
	ReportInterval          time.Duration // between two log lines of counts
}

// Server is one instance that is put together: New, then Run.
type Server struct {
	options   Options
	config      effectiveConfig
	listener  net.Listener
	sockets   *httpwire.Sockets
	core      *core.Core
	discovery *httpwire.Discovery
	platform  *httpwire.Platform
	upstream  *httpwire.Upstream
	front     *httpwire.Front
	recorder  *recorder.Recorder // nil: nothing is recorded
	sources   *host.Host         // nil: discovery alone
}

// transport carries out what the core wants beside its requests.
type transport struct{ *Server }

func (t transport) SendVote(release policy.ReleaseID, verdict policy.Verdict, stage int) {
	t.platform.SendVote(release, verdict, stage)
}
func (t transport) SendProbe(backend string) { go t.upstream.Probe(backend) }
func (t transport) WatchEndpoints()          { t.discovery.Refresh(false) }
func (t transport) FetchEndpoints()          { t.discovery.Refresh(true) }

// Seeds of the parts that draw by chance are the configuration's with these added: each draws its own numbers.
const (
	discoverySeed = iota
	platformSeed
	recorderSeed
	sourcesSeed
)

// New makes the parts; nothing runs yet but the listener's backlog. An error names the file or the address at fault.
func New(o Options) (*Server, error) {
	configuration, err := Read(o.ConfigPath)
	if err != nil {
		return nil, err
	}
	s := &Server{options: o, config: newEffectiveConfig(o, configuration)}
	s.config.limitProcess()
	s.core = core.New(transport{s})
	if err := s.openRecorder(); err != nil {
		return nil, err
	}
	if s.listener, err = listen(s.config.listen); err != nil {
		return nil, err
	}
	s.sockets = httpwire.NewSockets(s.config.sockets)
	s.makeControlClients()
	s.makeUpstream()
	s.makeFront()
	s.logStart()
	s.startCore()
	if err := s.applyInitialState(); err != nil {
		return nil, err
	}
	return s, nil
}

// openRecorder takes the spool, if a record is kept.
func (s *Server) openRecorder() (err error) {
	table := s.options.Settings.Record
	if !table.Enabled() {
		return nil
	}
	s.recorder, err = recorder.New(recorder.Options{
		Settings: table, Instance: s.config.name, Classes: s.config.classNames, Now: s.core.Now, Seed: s.config.seed + recorderSeed,
	})
	if err != nil {
		return err
	}
	s.core.AddInterceptor(s.recorder)
	return nil
}

// dial opens a TCP connection; the parts see to keep-alives and timeouts themselves.
func dial(ctx context.Context, address string) (net.Conn, error) {
	return (&net.Dialer{KeepAlive: -1}).DialContext(ctx, "tcp", address)
}

// makeControlClients makes the clients of discovery and the platform.
func (s *Server) makeControlClients() {
	settings := s.config.settings
	zones, hardware := siteconfig.ZonesAndHardware(settings)
	s.discovery = httpwire.NewDiscovery(httpwire.DiscoveryConfig{
		Core:            s.core,
		Dial:            dial,
		Address:         s.config.discovery,
		Zones:           zones,
		HardwareClasses: hardware,
		OnDemand:        siteconfig.OnDemandDiscovery(settings),
		Seed:            s.config.seed + discoverySeed,
	})
	s.platform = httpwire.NewPlatform(httpwire.PlatformConfig{
		Core:        s.core,
		Dial:        dial,
		Address:     s.config.platform(),
		VoteTimeout: milliseconds(siteconfig.VoteTimeout(settings)),
		Seed:        s.config.seed + platformSeed,
	})
}

// makeUpstream makes the client of the backends, whose addresses come from the sources where there are several.
func (s *Server) makeUpstream() {
	address := s.discovery.BackendAddress
	if s.options.Settings.Sources.Enabled() {
		address = func(id string) string { return s.sources.Address(id) } // s.sources is made after the upstream
	}
	connect, idle := siteconfig.ConnectionTimes(s.config.settings)
	onAnswers, onProbes := siteconfig.LoadReports(s.config.settings)
	s.upstream = httpwire.NewUpstream(httpwire.UpstreamConfig{
		Core:               s.core,
		Dial:               dial,
		Sockets:            s.sockets,
		BackendAddress:     address,
		ConnectTimeout:     milliseconds(connect),
		BackendIdleTimeout: milliseconds(idle),
		LoadOnResponses:    onAnswers,
		LoadOnProbes:       onProbes,
	})
	s.discovery.OnAddressVacated(s.upstream.CloseAddress)
}

// milliseconds is a duration that the configuration's settings give in ms.
func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

func (s *Server) makeFront() {
	s.front = httpwire.NewFront(httpwire.FrontConfig{
		Core:            s.core,
		Upstream:        s.upstream,
		Sockets:         s.sockets,
		ClassNames:      s.config.classNames,
		Classes:         s.config.classes,
		CancelAllowed:   siteconfig.CancelAllowed(s.config.settings),
		MaxOpenRequests: siteconfig.MaxOpenRequests(s.config.settings),
		MaxBodyBytes:    s.config.bodyBytes(),
	})
}

func (s *Server) logStart() {
	logrus.WithFields(logrus.Fields{
		"version": s.options.Version, "instance": s.config.name, "listen": s.listener.Addr().String(),
		"cpus": runtime.NumCPU(), "cores": runtime.GOMAXPROCS(0), "sockets": s.config.sockets, "memory_mb": s.config.memoryMB,
		"instances": s.config.instances(), "classes": len(s.config.classNames), "backends": s.config.knownBackends(),
	}).Info("start")
}

// startCore starts the decisions, and the merge of the sources after them: what it restores goes to them at once.
func (s *Server) startCore() {
	s.core.Start(func(p policy.Port) *policy.Instance {
		return policy.New(p, siteconfig.InstanceConfig(s.config.settings, s.config.seed, s.sockets.ClientLimit()))
	})
	if !s.options.Settings.Sources.Enabled() {
		return
	}
	s.sources = host.New(host.Options{
		Config: s.options.Settings.Sources, Fleet: s.core, OnAddressReleased: s.upstream.CloseAddress, Seed: s.config.seed + sourcesSeed,
		Instance: int(s.config.settings.Get("me").Int()), Instances: s.config.instances(),
	})
	s.discovery.OnUpdate(s.sources.OnDiscoveryUpdate, s.sources.OnDiscoveryDisconnected)
}

// applyInitialState gives the decisions the endpoints and the release that the configuration holds.
func (s *Server) applyInitialState() error {
	known := []byte(s.config.configuration.Get("known").Raw)
	if err := s.discovery.Apply(known, httpwire.FromConfiguration, func() {}); err != nil {
		return fmt.Errorf("known: %w", err)
	}
	release := s.config.configuration.Get("pipeline.news")
	field := func(name string) string { return release.Get(name).String() }
	if err := s.platform.Apply(httpwire.ReadReleaseFields(field)); err != nil {
		return fmt.Errorf("pipeline.news: %w", err)
	}
	return nil
}
