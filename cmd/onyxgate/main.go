// Command onyxgate is one agent of the front tier. This file owns the command line and the putting together of the
// parts; it must never hold a decision.
package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/sirupsen/logrus"
	"github.com/tidwall/gjson"

	"onyxgate/internal/core"
	"onyxgate/internal/httpwire"
	"onyxgate/internal/must"
	"onyxgate/internal/setup"
	"onyxgate/policy"
)

const version = "0.9"

type serve struct {
	Configuration string        `name:"config" env:"NODE_CONFIG" type:"path" required:"" help:"The agent's configuration, JSON."`
	Name          string        `env:"NODE_NAME" help:"The agent's name, in place of the configuration's."`
	Listen        string        `env:"NODE_LISTEN" help:"Where clients connect, in place of the configuration's."`
	Discovery     string        `env:"NODE_DISCOVERY" help:"Discovery's address, in place of the configuration's."`
	Level         string        `env:"ONYXGATE_LOG" default:"info" enum:"debug,info,warn,error" help:"Least level that is logged."`
	Every         time.Duration `default:"1s" help:"Time between two lines of counts."`
}

type check struct {
	Configuration string `name:"config" env:"NODE_CONFIG" type:"path" required:"" help:"The configuration to read."`
}

type showVersion struct{}

func main() {
	var line struct {
		Serve   serve       `cmd:"" help:"Serve clients until SIGTERM."`
		Check   check       `cmd:"" help:"Read a configuration and say what is wrong with it."`
		Version showVersion `cmd:"" help:"Print the version."`
	}
	c := kong.Parse(&line, kong.Name("onyxgate"), kong.UsageOnError(),
		kong.Description("A front tier that watches over software updates."))
	if err := c.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "onyxgate:", err)
		os.Exit(1)
	}
}

func (showVersion) Run() error {
	fmt.Println("onyxgate", version)
	return nil
}

func (c check) Run() error {
	config, err := read(c.Configuration)
	if err != nil {
		return err
	}
	_, known := setup.Products(config.Get("settings"))
	fmt.Printf("%s can be used: %d products, %d appliances known\n", c.Configuration, len(known),
		len(config.Get("known.servers").Array()))
	return nil
}

func read(path string) (gjson.Result, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return gjson.Result{}, err
	}
	if !gjson.ValidBytes(text) {
		return gjson.Result{}, fmt.Errorf("%s is not JSON", path)
	}
	config, wrong := gjson.ParseBytes(text), []error{}
	for _, line := range setup.Wrong(config) {
		wrong = append(wrong, errors.New(line))
	}
	if len(wrong) > 0 {
		return config, fmt.Errorf("%s can't be used: %w", path, errors.Join(wrong...))
	}
	return config, nil
}

// calls joins the parts that carry out what the module wants beside its txns.
type calls struct {
	*httpwire.Platform
	*httpwire.Discovery
	*httpwire.Upstream
}

func (c *calls) Probe(appliance string) { go c.Upstream.Probe(appliance) }
func (c *calls) Subscribe()             { c.Discovery.Ask(false) }
func (c *calls) FetchList()             { c.Discovery.Ask(true) }

func (s serve) Run() error {
	signals := make(chan os.Signal, 16) // first of all: SIGHUP would else end a program that is not listening yet
	signal.Notify(signals, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGINT)
	config, err := read(s.Configuration)
	if err != nil {
		return err
	}
	level, err := logrus.ParseLevel(s.Level)
	if err != nil {
		return err
	}
	logrus.SetLevel(level)
	logrus.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true,
		TimestampFormat: "15:04:05.000"})
	or := func(first, second string) string {
		if first == "" {
			return config.Get(second).Str
		}
		return first
	}
	settings := config.Get("settings")
	seed, _ := setup.Seed(config) // read has seen that it is one
	sockets, memoryMB := setup.Limits(config)
	if cores := setup.Cores(config); cores > 0 { // more threads at once than that only take turns on it
		runtime.GOMAXPROCS(cores)
	}
	if memoryMB > 0 { // the rest is for stacks, the program itself and what the collector is late with
		debug.SetMemoryLimit(int64(memoryMB) << 20 * 6 / 10)
		// Little is live at some hundreds of txns a second, and the collector cheap; at more, peaks would pass for growth.
		debug.SetGCPercent(150)
	}
	listener, err := net.Listen("tcp", or(s.Listen, "listen"))
	if err != nil {
		return err
	}

	budget := httpwire.NewSockets(sockets)
	dial := (&net.Dialer{KeepAlive: -1}).DialContext
	tcp := func(ctx context.Context, address string) (net.Conn, error) { return dial(ctx, "tcp", address) }
	parts := &calls{}
	c := core.New(parts)
	zones, kinds := setup.Places(settings)
	parts.Discovery = httpwire.NewDiscovery(c, tcp, or(s.Discovery, "discovery"), zones, kinds, setup.Asked(settings), seed)
	parts.Platform = httpwire.NewPlatform(c, tcp, config.Get("pipeline.address").Str, setup.Called(settings), seed+1)
	up, idle := setup.Connecting(settings)
	onAnswers, onProbes := setup.Reported(settings)
	parts.Upstream = httpwire.NewUpstream(c, tcp, parts.Discovery.Address, budget, up, idle, onAnswers, onProbes)
	parts.Discovery.Forgetting(parts.Upstream.Forget)
	names, products := setup.Products(settings)
	room := int64(1 << 30)
	if memoryMB > 0 {
		room = int64(memoryMB) << 20 / 4
	}
	front := httpwire.NewFront(c, parts.Upstream, budget, names, products, setup.Revokes(settings),
		setup.Open(settings), room)

	logrus.WithFields(logrus.Fields{"version": version, "name": or(s.Name, "name"), "listen": listener.Addr().String(),
		"cpus": runtime.NumCPU(), "cores": runtime.GOMAXPROCS(0), "sockets": sockets, "memory_mb": memoryMB, "agents": settings.Get("balancers").Int(), "products": len(names),
		"appliances": len(config.Get("known.servers").Array())}).Info("start")
	c.Start(func(p policy.Port) *policy.Agent { return setup.Module(p, seed, settings, budget.Clients()) })
	if err := parts.Discovery.Take([]byte(config.Get("known").Raw), httpwire.Known, func() {}); err != nil {
		return fmt.Errorf("known: %w", err)
	}
	news := config.Get("pipeline.news")
	if err := parts.Platform.News(func(name string) string { return news.Get(name).String() }, policy.Unasked); err != nil {
		return fmt.Errorf("pipeline.news: %w", err)
	}

	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go parts.Discovery.Run(ctx)
	go parts.Platform.Listen(ctx)
	go parts.Platform.Cast(ctx)
	go parts.Upstream.Sweep(ctx)
	go s.report(ctx, c, front, budget, parts)

	server, failed := front.Server(), make(chan error, 1)
	go func() { failed <- server.Serve(httpwire.Listener{Listener: listener, Sockets: budget}) }()
	front.Ready()
	logrus.Info("ready")
	left := make(chan bool)
	for ending := false; ; {
		select {
		case err := <-failed:
			if !ending { // else the listener was closed in leaving
				return err
			}
		case <-left:
			s.line(c, front, budget, parts)
			logrus.Info("left")
			return nil
		case sig := <-signals:
			switch {
			case sig == syscall.SIGHUP:
				config = s.reload(config, map[string]mover{"discovery": parts.Discovery,
					"pipeline.address": parts.Platform})
			case ending:
				return errors.New("told twice to end")
			default:
				logrus.Info("leaving")
				ending = true
				go func() {
					front.Leave(ctx, server)
					close(left)
				}()
			}
		}
	}
}

// mover can be told another address.
type mover interface{ Move(address string) }

// reload reads the configuration anew. Only discovery's and the platform's addresses can change while it runs; what can't
// be used changes nothing.
func (s serve) reload(was gjson.Result, parts map[string]mover) gjson.Result {
	now, err := read(s.Configuration)
	if err != nil {
		logrus.WithError(err).Error("configuration not taken, the running one stays")
		return was
	}
	moves := logrus.Fields{}
	for name, part := range parts {
		// Against the file as it was: an address given in its place at the start holds until the file names another.
		if address := now.Get(name).Str; address != was.Get(name).Str {
			part.Move(address)
			moves[name] = address
		}
	}
	logrus.WithFields(moves).Info("configuration reread")
	return now
}

// report logs the module's own lines and, every so often, a line of counts.
func (s serve) report(ctx context.Context, c *core.Core, front *httpwire.Front, budget *httpwire.Sockets, parts *calls) {
	tick := time.NewTicker(s.Every)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case line := <-c.Lines():
			logrus.Info(line)
		case <-tick.C:
			s.line(c, front, budget, parts)
		}
	}
}

func (s serve) line(c *core.Core, front *httpwire.Front, budget *httpwire.Sockets, parts *calls) {
	n := c.Counts()
	opened, idle, unsent := parts.Upstream.Connections()
	all, clients, resting := budget.Used()
	version, listed := parts.Discovery.Version()
	var usage syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	cpu := usage.Utime.Nano()/1e6 + usage.Stime.Nano()/1e6
	logrus.WithFields(logrus.Fields{"cpu_ms": cpu, "taken": n.Taken, "settled": n.Settled, "declined": n.Declined, "voided": n.Voided,
		"gone": n.Gone, "bad_input": front.Refused.Load(), "open": n.Open, "out": n.Out,
		"ends":    fmt.Sprint(n.Ends[policy.Settled:]),
		"sockets": all, "clients": clients, "clients_idle": resting, "opened": opened, "idle": idle, "unsent": unsent, "list": version, "listed": listed,
		"timers": n.Timers, "broken": must.Broken()}).Info("counts")
}
