package assembly

// Reloading of the configuration on SIGHUP.

import (
	"time"

	"github.com/sirupsen/logrus"
	"github.com/tidwall/gjson"
)

const (
	// The file may be read while it is still being written, so an invalid configuration is read again after this delay.
	reloadRetryDelay = 100 * time.Millisecond
	maxReloadTries   = 10
)

// addressSetter is a client whose server address can be changed at run time.
type addressSetter interface{ SetAddress(address string) }

// reloader re-reads the configuration file. Only the addresses of discovery and the platform can change while the
// instance runs. An invalid configuration is rejected as a whole.
type reloader struct {
	path      string
	current   gjson.Result             // the configuration applied last
	clients   map[string]addressSetter // by the configuration key of their address
	triesLeft int
}

func (s *Server) newReloader() *reloader {
	return &reloader{path: s.options.ConfigPath, current: s.config.configuration, clients: map[string]addressSetter{
		"discovery": s.discovery, "pipeline.address": s.platform,
	}}
}

// start makes the first attempt of a reload. Its result is that of retry.
func (r *reloader) start() (retryAt <-chan time.Time) {
	r.triesLeft = maxReloadTries
	return r.retry()
}

// retry reads the configuration once. If that failed and attempts remain, it returns a channel that fires when retry
// has to be called again, otherwise nil.
func (r *reloader) retry() (retryAt <-chan time.Time) {
	r.triesLeft--
	if err := r.load(); err == nil || r.triesLeft <= 0 {
		return nil
	}
	return time.After(reloadRetryDelay)
}

// load reads the configuration and updates the clients whose addresses have changed.
func (r *reloader) load() error {
	configuration, err := Read(r.path)
	if err != nil {
		logrus.WithError(err).Error("configuration rejected, the running one stays")
		return err
	}
	changed := logrus.Fields{}
	for key, client := range r.clients {
		// Compare with the previous file rather than the address in use: an address given on the command line stays in
		// effect until the address in the file changes.
		if address := configuration.Get(key).Str; address != r.current.Get(key).Str {
			client.SetAddress(address)
			changed[key] = address
		}
	}
	r.current = configuration
	logrus.WithFields(changed).Info("configuration reloaded")
	return nil
}
