package assembly

// The life cycle of a running instance: background work, signals and shutdown.

import (
	"context"
	"errors"
	"os"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"onyxgate/internal/httpwire"
)

// firstListWait limits how long an instance waits at startup for discovery's endpoint list. Even the first
// request should be routed by that list, so the front reads requests and holds them meanwhile. The wait is bounded
// because discovery may be down.
const firstListWait = time.Second

// errSecondSignal is the result of Run if a second SIGTERM or SIGINT aborts the shutdown.
var errSecondSignal = errors.New("told twice to end")

// run is the state of one call of Run, from the start of the background work to the end of the shutdown.
type run struct {
	*Server
	ctx          context.Context // canceled when Run returns; ends the background work
	stopRecorder func()          // makes the recorder flush and waits until it has finished
	reloader     *reloader
	reloadAgain  <-chan time.Time // fires when the reload has to be retried; nil if no retry is pending
	serveEnded   chan error
	shuttingDown chan bool // closed on the first SIGTERM or SIGINT
	shutDown     chan bool // closed when the front has shut down
}

// Run serves clients until the instance has shut down. The first SIGTERM or SIGINT starts a graceful shutdown, after
// which Run returns nil. A second one aborts it, and Run returns an error. SIGHUP reloads the configuration. Run must be
// called only once.
func (s *Server) Run(signals <-chan os.Signal) error {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	s.startBackground(ctx)
	recorderCtx, cancelRecorder := context.WithCancel(context.Background())
	defer cancelRecorder()
	recorderDone := s.startRecorder(recorderCtx)
	s.serveMetrics(ctx)
	r := &run{
		Server:       s,
		ctx:          ctx,
		stopRecorder: func() { cancelRecorder(); <-recorderDone },
		reloader:     s.newReloader(),
		serveEnded:   make(chan error, 1),
		shuttingDown: make(chan bool),
		shutDown:     make(chan bool),
	}
	s.front.HoldRequests()
	go r.serve()
	go s.awaitReady(r.shuttingDown)
	return r.loop(signals)
}

// startBackground starts the goroutines that run until the context is canceled.
func (s *Server) startBackground(ctx context.Context) {
	go s.discovery.Run(ctx)
	go s.platform.WatchReleases(ctx)
	go s.platform.SendVotes(ctx)
	go s.upstream.Sweep(ctx)
	go s.reportLoop(ctx)
	if s.sources != nil {
		go s.sources.Run(ctx)
	}
}

// startRecorder starts the recorder if there is one. The returned channel is closed when the recorder has flushed and
// stopped, and immediately if there is no recorder.
func (s *Server) startRecorder(ctx context.Context) (ended <-chan bool) {
	done := make(chan bool)
	go func() {
		defer close(done)
		if s.recorder != nil {
			s.recorder.Run(ctx)
		}
	}()
	return done
}

// serve accepts client connections. It begins at once: requests that wait unread in the listener's backlog can be neither
// answered in time nor given up when their clients leave.
func (r *run) serve() {
	r.serveEnded <- r.front.Server().Serve(httpwire.Listener{Listener: r.listener, Sockets: r.sockets})
}

// awaitReady marks the instance ready, and ends the hold on requests, when discovery's first endpoint list has arrived,
// when firstListWait has passed without one, or when the shutdown has started.
func (s *Server) awaitReady(shuttingDown <-chan bool) {
	wait := time.NewTimer(firstListWait)
	defer wait.Stop()
	select {
	case <-shuttingDown:
	case <-s.discovery.FirstUpdate():
	case <-wait.C:
		logrus.Warn("no endpoint list from discovery yet, ready with the configuration's")
	}
	s.front.SetReady()
	logrus.Info("ready")
}

// loop handles signals, reloads and the end of serving until the run is over.
func (r *run) loop(signals <-chan os.Signal) error {
	for {
		select {
		case err := <-r.serveEnded:
			if !r.isShuttingDown() { // otherwise the shutdown has closed the listener
				return err
			}
		case <-r.shutDown:
			r.stopRecorder()
			r.logCounts()
			logrus.Info("shutdown complete")
			return nil
		case <-r.reloadAgain:
			r.reloadAgain = r.reloader.retry()
		case sig := <-signals:
			if err := r.onSignal(sig); err != nil {
				return err
			}
		}
	}
}

// onSignal handles one signal. An error ends the run immediately.
func (r *run) onSignal(sig os.Signal) error {
	switch {
	case sig == syscall.SIGHUP:
		r.reloadAgain = r.reloader.start()
	case r.isShuttingDown():
		return errSecondSignal
	default:
		r.startShutdown()
	}
	return nil
}

func (r *run) isShuttingDown() bool {
	select {
	case <-r.shuttingDown:
		return true
	default:
		return false
	}
}

// startShutdown starts the graceful shutdown of the front, and closes shutDown when it is complete.
func (r *run) startShutdown() {
	logrus.Info("shutting down")
	close(r.shuttingDown)
	go func() {
		r.front.Shutdown(r.ctx, r.listener)
		close(r.shutDown)
	}()
}
