package fleet

// The platform's API: the release stream and the votes.

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"time"
)

const (
	releaseKeepAlive = time.Second
	codeSyntax       = "SYNTAX"
)

// servePlatform serves all instances until the listener is closed.
func (f *Fleet) servePlatform(listener net.Listener) {
	serve(listener, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/notices" {
			f.serveReleaseStream(w, r)
		} else {
			f.serveVote(w, r)
		}
	})
}

func (f *Fleet) serveReleaseStream(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	stream := newSubscriber(0) // all instances receive the same updates
	f.releaseStreams[stream] = true
	first := f.stageEvent()
	f.mu.Unlock()
	stream.stream(r.Context(), w, streamOptions{
		contentType: "text/event-stream", initial: first, keepAlive: ":\n", keepAliveInterval: releaseKeepAlive,
		muted: func() bool { return false },
	})
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.releaseStreams, stream)
}

func (f *Fleet) serveVote(w http.ResponseWriter, r *http.Request) {
	release, errRelease := strconv.Atoi(r.FormValue("release"))
	stage, errStage := strconv.Atoi(r.FormValue("tranche"))
	status, code := http.StatusBadRequest, codeSyntax
	if errRelease == nil && errStage == nil && r.FormValue("Action") == "CastVote" {
		status, code = f.handleVote(release, stage, r.FormValue("ruling"))
	}
	text := voteResponse(f.CurrentStage())
	if status != http.StatusOK {
		text = "<Error><Code>" + code + "</Code></Error>"
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(status)
	writeBody(w, text)
}

// voteResponse returns the body of the response to a vote: the stage in force after it.
func voteResponse(stage Stage) string {
	return fmt.Sprintf(`<?xml version="1.0"?><Response><groups><item><release>%d</release><tranche>%d</tranche>`+
		`<mode>%s</mode><exposure>%g</exposure><old_ms>%d</old_ms></item></groups></Response>`,
		stage.Release, stage.Stage, stage.Mode, stage.Cap, time.Since(stage.At).Milliseconds())
}

// broadcastStage sends the stage in force on all release streams. The caller holds f.mu.
func (f *Fleet) broadcastStage() {
	for stream := range f.releaseStreams {
		stream.send(f.stageEvent())
	}
}

// stageEvent returns the stage in force as a server-sent event. The caller holds f.mu.
func (f *Fleet) stageEvent() string {
	return fmt.Sprintf("event: stage\ndata: release=%d&tranche=%d&mode=%s&exposure=%g&old_ms=%d\n\n",
		f.stage.Release, f.stage.Stage, f.stage.Mode, f.stage.Cap, time.Since(f.stage.At).Milliseconds())
}
