// Package assembly wires the components of one instance together, starts them in order and shuts them down again. It
// also defines which dependencies an instance can run without. It makes no routing decisions and adds no settings of
// its own.
//
// Startup order:
//   - Read and validate the configuration and the operator's settings.
//   - Lock and open the record's spool. If recording is enabled and the spool is unavailable, startup fails.
//   - Open the listener.
//   - Start the decision core with the endpoint list and the release update from the configuration.
//   - Start the endpoint and release streams, the recorder, the metrics listener and the periodic reports.
//   - Report ready and accept clients.
//
// Shutdown runs in reverse: the front serves requests until none are left, or until shortly before the process is
// expected to be killed. Then the recorder flushes its pending entries, for a limited time. Everything else is stopped
// without waiting. An instance keeps running without discovery, the platform, the record's store, the metrics listener
// and, depending on the settings, the spool.
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

// Options holds the parameters of New: the path of the configuration, overrides for some of its values, and the
// operator's settings.
type Options struct {
	Version    string
	ConfigPath string // JSON configuration file
	// Non-empty values override the configuration.
	Name, Listen, Discovery string
	Settings                config.Settings
	ReportInterval          time.Duration // between log lines with counters
}

// Server is one fully wired instance. Create it with New, then call Run.
type Server struct {
	options   Options
	config    effectiveConfig
	listener  net.Listener
	sockets   *httpwire.Sockets
	memory    *httpwire.Memory
	core      *core.Core
	discovery *httpwire.Discovery
	platform  *httpwire.Platform
	upstream  *httpwire.Upstream
	front     *httpwire.Front
	recorder  *recorder.Recorder // nil if recording is off
	sources   *host.Host         // nil if discovery is the only source
}

// transport performs the I/O that the core asks for outside of client requests.
type transport struct{ *Server }

func (t transport) SendVote(release policy.ReleaseID, verdict policy.Verdict, stage int) {
	t.platform.SendVote(release, verdict, stage)
}
func (t transport) SendProbe(backend string) { go t.upstream.Probe(backend) }
func (t transport) WatchEndpoints()          { t.discovery.Refresh(false) }
func (t transport) FetchEndpoints()          { t.discovery.Refresh(true) }

// Offsets added to the configured seed, so that these components draw different random sequences.
const (
	discoverySeed = iota
	platformSeed
	recorderSeed
	sourcesSeed
)

// New builds all components. Only the listener and the core are active when it returns: connections wait in the
// listener's backlog until Run. An error names the file, the address or the configuration key at fault, if there is one.
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
	s.memory = httpwire.NewMemory(s.config.memoryBytes())
	s.sockets.LimitMemory(s.memory)
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

// openRecorder opens the spool if recording is enabled.
func (s *Server) openRecorder() (err error) {
	settings := s.options.Settings.Record
	if !settings.Enabled() {
		return nil
	}
	s.recorder, err = recorder.New(recorder.Options{
		Settings: settings, Instance: s.config.name, Classes: s.config.classNames, Now: s.core.Now, Seed: s.config.seed + recorderSeed,
	})
	if err != nil {
		return err
	}
	s.core.AddInterceptor(s.recorder)
	return nil
}

// dial opens a TCP connection without TCP keep-alives; callers handle keep-alives and timeouts themselves.
func dial(ctx context.Context, address string) (net.Conn, error) {
	return (&net.Dialer{KeepAlive: -1}).DialContext(ctx, "tcp", address)
}

// makeControlClients creates the clients of discovery and the platform.
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

// makeUpstream creates the backend client. Backend addresses come from the merged sources if these are enabled, and
// from discovery otherwise.
func (s *Server) makeUpstream() {
	address := s.discovery.BackendAddress
	if s.options.Settings.Sources.Enabled() {
		address = func(id string) string { return s.sources.Address(id) } // startCore sets s.sources later
	}
	connect, idle := siteconfig.ConnectionTimes(s.config.settings)
	onResponses, onProbes := siteconfig.LoadReports(s.config.settings)
	s.upstream = httpwire.NewUpstream(httpwire.UpstreamConfig{
		Core:               s.core,
		Dial:               dial,
		Sockets:            s.sockets,
		BackendAddress:     address,
		ConnectTimeout:     milliseconds(connect),
		BackendIdleTimeout: milliseconds(idle),
		LoadOnResponses:    onResponses,
		LoadOnProbes:       onProbes,
	})
	s.discovery.OnAddressVacated(s.upstream.CloseAddress)
}

// milliseconds converts a number of milliseconds to a time.Duration.
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
	})
}

func (s *Server) logStart() {
	logrus.WithFields(logrus.Fields{
		"version": s.options.Version, "instance": s.config.name, "listen": s.listener.Addr().String(),
		"cpus": runtime.NumCPU(), "cores": runtime.GOMAXPROCS(0), "sockets": s.config.sockets, "memory_mb": s.config.memoryMB,
		"instances": s.config.instances(), "classes": len(s.config.classNames), "backends": s.config.knownBackends(),
	}).Info("start")
}

// startCore starts the decision core and then, if enabled, creates the host of the merged sources. The core has to be
// started first, because host.New passes the restored state to it.
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

// applyInitialState applies the endpoint list and the release update from the configuration.
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
