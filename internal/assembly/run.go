package assembly

// This file owns the run of an instance: what starts with it, what signals do, and how it ends.

import (
	"context"
	"errors"
	"os"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"onyxgate/internal/httpwire"
)

// firstListWait: what discovery already has when a process starts holds for it from its first request on. Requests wait in
// the listener's backlog for it, but no longer than this, for discovery may be down.
const firstListWait = time.Second

// errSecondSignal ends a run on a second SIGTERM or SIGINT.
var errSecondSignal = errors.New("told twice to end")

// run is one run of a server, from the start of its parts to the shutdown.
type run struct {
	*Server
	ctx          context.Context // of all that is dropped at the end
	stopRecorder func()          // lets the recorder write what it holds, and waits for it
	reloader     *reloader
	reloadAgain  <-chan time.Time // nil: no configuration is being read again
	serveEnded   chan error
	shuttingDown chan bool // closed with the first signal to end
	shutDown     chan bool // closed once everything is answered
}

// Run serves until it has shut down: SIGTERM and SIGINT start the shutdown, a second one ends it at once, and SIGHUP
// reads the configuration anew. It may be called once.
func (s *Server) Run(signals <-chan os.Signal) error {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	s.startBackground(ctx)
	recording, endRecording := context.WithCancel(context.Background())
	defer endRecording()
	recorded := s.startRecorder(recording)
	s.serveMetrics(ctx)
	r := &run{
		Server:       s,
		ctx:          ctx,
		stopRecorder: func() { endRecording(); <-recorded },
		reloader:     s.newReloader(),
		serveEnded:   make(chan error, 1),
		shuttingDown: make(chan bool),
		shutDown:     make(chan bool),
	}
	go r.serve()
	return r.loop(signals)
}

// startBackground starts what runs until the context ends.
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

// startRecorder starts the recorder, if there is one; the channel is closed once it has written what it holds.
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

// serve takes clients' connections once the instance is ready.
func (r *run) serve() {
	r.awaitReady(r.shuttingDown)
	r.serveEnded <- r.front.Server().Serve(httpwire.Listener{Listener: r.listener, Sockets: r.sockets})
}

// awaitReady waits until the instance may serve: discovery's list is there, has not come in time, or it is to shut down.
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

// loop waits for what happens to the run, and returns once it has ended.
func (r *run) loop(signals <-chan os.Signal) error {
	for {
		select {
		case err := <-r.serveEnded:
			if !r.isShuttingDown() { // else the listener was closed by the shutdown
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

// onSignal does what a signal asks for; its error ends the run at once.
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

// startShutdown stops taking connections, and closes shutDown once everything taken is answered.
func (r *run) startShutdown() {
	logrus.Info("shutting down")
	close(r.shuttingDown)
	go func() {
		r.front.Shutdown(r.ctx, r.listener)
		close(r.shutDown)
	}()
}
