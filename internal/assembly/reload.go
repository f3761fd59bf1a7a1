package assembly

// This file owns what SIGHUP does.

import (
	"time"

	"github.com/sirupsen/logrus"
	"github.com/tidwall/gjson"
)

const (
	// A configuration that is being written is whole a moment later.
	reloadRetryDelay    = 100 * time.Millisecond
	maxReloadTries = 10
)

// addressSetter is a part that can move to another address.
type addressSetter interface{ SetAddress(address string) }

// reloader reads the configuration anew. Only the addresses of some parts can change while the instance runs; a
// configuration that can't be used changes nothing.
type reloader struct {
	path      string
	current   gjson.Result             // the configuration that was taken last
	parts     map[string]addressSetter // by the key that holds their address
	triesLeft int
}

func (s *Server) newReloader() *reloader {
	return &reloader{path: s.options.ConfigPath, current: s.config.configuration, parts: map[string]addressSetter{
		"discovery": s.discovery, "pipeline.address": s.platform,
	}}
}

// start reads the configuration, and again until it can be used or the tries are used up: see retry.
func (r *reloader) start() (again <-chan time.Time) {
	r.triesLeft = maxReloadTries
	return r.retry()
}

// retry reads the configuration and returns when to call it again, nil: not at all.
func (r *reloader) retry() (again <-chan time.Time) {
	r.triesLeft--
	if err := r.load(); err == nil || r.triesLeft <= 0 {
		return nil
	}
	return time.After(reloadRetryDelay)
}

// load reads the configuration once and moves the parts whose addresses have changed in it.
func (r *reloader) load() error {
	configuration, err := Read(r.path)
	if err != nil {
		logrus.WithError(err).Error("configuration rejected, the running one stays")
		return err
	}
	moved := logrus.Fields{}
	for key, part := range r.parts {
		// Against the file as it was: an address given in its place at the start holds until the file names another.
		if address := configuration.Get(key).Str; address != r.current.Get(key).Str {
			part.SetAddress(address)
			moved[key] = address
		}
	}
	r.current = configuration
	logrus.WithFields(moved).Info("configuration reloaded")
	return nil
}
