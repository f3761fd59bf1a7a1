package fleet

// This file owns discovery: the list of endpoints, as each instance reads or watches it.

import (
	"encoding/json"
	"net"
	"net/http"
	"time"
)

// discoveryKeepAlive is the time between two signs of life on a watch.
const discoveryKeepAlive = 2 * time.Second

// States of a backend, as discovery lists them.
const (
	stateReady    = "Ready"
	stateDraining = "Terminating"
	stateGone     = "Gone"
)

// endpointList is the list at the addresses of one instance; a full one leaves out who is gone. Under the lock.
func (f *Fleet) endpointList(instance int, full bool) object {
	servers := []object{}
	for _, backend := range f.backends {
		if full && backend.state == stateGone {
			continue
		}
		startedMs := int64(0)
		if !backend.startedAt.IsZero() {
			startedMs = backend.startedAt.UnixMilli()
		}
		servers = append(servers, object{
			"id": backend.ID, "addr": backend.address(instance), "zone": "z", "kind": "m", "state": backend.state,
			"weight": 1.0, "started_ms": startedMs, "version_no": backend.Release,
		})
	}
	return object{"version": f.listVersion, "full": full, "servers": servers}
}

// endpointListJSON is endpointList as JSON. Under the lock.
func (f *Fleet) endpointListJSON(instance int, full bool) string {
	text, err := json.Marshal(f.endpointList(instance, full))
	if err != nil {
		panic(err) // strings and numbers of our own can always be written
	}
	return string(text)
}

// publishEndpoints sends the list on every watch. Under the lock.
func (f *Fleet) publishEndpoints() {
	f.listVersion++
	for stream := range f.endpointStreams {
		if f.muted[stream.instance] {
			continue
		}
		stream.send(f.endpointListJSON(stream.instance, false) + "\n")
		f.recordDrainNotifications(stream.instance)
	}
}

// recordDrainNotifications records that an instance is told now which backends drain or are gone. Under the lock.
func (f *Fleet) recordDrainNotifications(instance int) {
	for _, backend := range f.backends {
		if backend.state != stateReady && backend.notifiedAt[instance].IsZero() {
			backend.notifiedAt[instance] = time.Now()
			f.DrainsNotified++
		}
	}
}

func (f *Fleet) isMuted(instance int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.muted[instance]
}

// serveDiscovery serves one instance until its listener closes.
func (f *Fleet) serveDiscovery(instance int, listener net.Listener) {
	serve(listener, func(w http.ResponseWriter, r *http.Request) {
		watch := r.URL.Query().Get("watch") != ""
		text, stream, muted := f.openEndpointStream(instance, watch)
		switch {
		case muted: // silent to the end of the connection
			<-r.Context().Done()
			return
		case !watch:
			writeBody(w, text)
			return
		}
		stream.stream(r.Context(), w, streamOptions{
			contentType: "application/json", initial: text + "\n", keepAlive: "\n", keepAliveInterval: discoveryKeepAlive,
			muted: func() bool { return f.isMuted(instance) },
		})
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.endpointStreams, stream)
	})
}

// openEndpointStream returns the whole list, and a stream of what follows it where the instance watches: no update falls
// between the two. A muted instance gets neither.
func (f *Fleet) openEndpointStream(instance int, watch bool) (text string, stream *subscriber, muted bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.muted[instance] {
		return "", nil, true
	}
	f.recordDrainNotifications(instance)
	if watch {
		stream = newSubscriber(instance)
		f.endpointStreams[stream] = true
	}
	return f.endpointListJSON(instance, true), stream, false
}
