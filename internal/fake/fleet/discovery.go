package fleet

// Discovery: the endpoint list, which instances read or watch.

import (
	"encoding/json"
	"net"
	"net/http"
	"time"
)

// discoveryKeepAlive is the interval of keep-alives on a watch.
const discoveryKeepAlive = 2 * time.Second

// States of a backend in the endpoint list.
const (
	stateReady    = "Ready"
	stateDraining = "Terminating"
	stateGone     = "Gone"
)

// endpointList returns the endpoint list with the addresses for one instance; a full one omits backends that are
// gone. The caller holds f.mu.
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

// endpointListJSON returns endpointList as JSON. The caller holds f.mu.
func (f *Fleet) endpointListJSON(instance int, full bool) string {
	text, err := json.Marshal(f.endpointList(instance, full))
	if err != nil {
		panic(err) // unreachable: the list holds only strings, numbers and booleans
	}
	return string(text)
}

// publishEndpoints sends the endpoint list on all watches. The caller holds f.mu.
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

// recordDrainNotifications records that an instance is notified now of all backends that are draining or gone. The
// caller holds f.mu.
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

// serveDiscovery serves one instance until its listener is closed.
func (f *Fleet) serveDiscovery(instance int, listener net.Listener) {
	serve(listener, func(w http.ResponseWriter, r *http.Request) {
		watch := r.URL.Query().Get("watch") != ""
		text, stream, muted := f.openEndpointStream(instance, watch)
		switch {
		case muted: // sends nothing until the client disconnects
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

// openEndpointStream returns the full endpoint list and, if the instance watches, a stream of the updates after it;
// no update is lost between the two. A muted instance gets neither.
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
