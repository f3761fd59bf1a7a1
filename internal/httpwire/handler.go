package httpwire

import (
	"context"
	"errors"
	"net/http"

	"github.com/sirupsen/logrus"

	"onyxgate/internal/core"
	"onyxgate/policy"
)

// Reasons for rejecting a request that the decisions do not see.
const (
	rejectNoRoom   = "room"     // the limit on open requests is exceeded
	rejectCrowded  = "crowded"  // many requests are open, and the client has not waited for the answer to the one before
	rejectStarting = "starting" // the instance was not ready before the request had waited for too long
)

// crowdedShare is the share of the client connections with an open request from which on requests that have not waited for
// the answer to the one before are rejected. Clients that wait need about a third of the connections.
const crowdedShare = 0.3

// arrival describes how a request arrived.
type arrival struct {
	at         float64 // ms of the core's clock, when its first byte arrived
	backToBack int     // number of requests in a row, with this one, that came without waiting for an answer
}

// serveRequest handles one request up to its response.
func (f *Front) serveRequest(w http.ResponseWriter, r *http.Request, path string, arrived arrival) {
	defer f.beginRequest()()
	held := f.requestMemory(connOf(r))
	defer held.release()
	parsed, err := f.parseRequest(r, path)
	if err != nil {
		f.writeInvalidRequest(w, err)
		return
	}
	deadline := arrived.at + parsed.timeLeft
	queueEnd := policy.QueueDeadline(arrived.at, deadline)
	body, err := f.readBody(w, r, bodyLimits{parsed.bodyBytes, deadline, queueEnd, held})
	if errors.Is(err, errNoRoom) {
		writeUnread(w, err)
		return
	}
	if err != nil {
		f.writeInvalidRequest(w, err)
		return
	}
	held.setNeeded()
	rejectReason := f.rejectReason(parsed.id, arrived.backToBack)
	if rejectReason == "" && !f.awaitStart(r.Context(), queueEnd) {
		rejectReason = rejectStarting
	}
	conn := connOf(r)
	if r.Context().Err() != nil || conn.clientLeft() {
		f.clientsLeft.Add(1)
		writeUnread(w, errClientLeft)
		return
	}

	outgoing := outgoingRequest{requestHead(r, len(body)), body, held}
	send := func(attempt *core.Attempt) { f.upstream.SendAttempt(attempt, outgoing) }
	request := f.core.Accept(core.IncomingRequest{
		ID: parsed.id, Key: parsed.key, IdempotencyKey: parsed.idempotencyKey, Class: parsed.class.index, Retry: parsed.retry,
		ArrivedAt: arrived.at, TimeLeft: parsed.timeLeft, RejectReason: rejectReason, StartAttempt: send,
		ClientLeft: conn.leftBeforeAttempt,
	})
	if request == nil {
		f.writeInvalidRequest(w, errDuplicateID)
		return
	}
	traceAccepted(request, parsed)
	h := &requestHandler{
		request: request, response: responseWriter{writer: w, request: request, conn: conn, held: held}, send: send, cancelAllowed: f.cancelAllowed,
	}
	h.run(r.Context())
}

// requestMemory returns the reservation of a request whose head has been read. The caller must release it.
func (f *Front) requestMemory(conn *trackedConn) *reservation {
	if held := conn.takeMemory(); held != nil {
		return held
	}
	return f.sockets.memory.newReservation()
}

// rejectReason returns the reason to reject a request that exceeds the front's limit on open requests, or that has not
// waited for an answer while many others are open, or "".
func (f *Front) rejectReason(id string, backToBack int) string {
	openRequests := f.openRequests.Load()
	if f.maxOpenRequests != 0 && openRequests > int64(f.maxOpenRequests) {
		logrus.WithFields(logrus.Fields{"request": id, "open_requests": openRequests}).Warn("no room for a request")
		return rejectNoRoom
	}
	isCrowded := float64(openRequests) > crowdedShare*float64(f.sockets.ClientLimit())
	if isCrowded && backToBack > 0 {
		return rejectCrowded
	}
	return ""
}

// requestHandler carries out the core's actions for one accepted request. It runs in the goroutine of the client's
// connection.
type requestHandler struct {
	request         *core.Request
	response        responseWriter
	send            func(*core.Attempt)
	cancelAllowed   bool
	currentAttempt  *core.Attempt // attempt that is sent in this goroutine
	responseStarted bool          // writing the response has begun
}

// run performs the request's actions until one ends it.
func (h *requestHandler) run(ctx context.Context) {
	defer h.close()
	stopWatching := context.AfterFunc(ctx, h.request.ClientGone)
	defer stopWatching()
	for h.perform(h.request.NextAction()) {
	}
}

// perform carries out one action and reports whether more actions follow.
func (h *requestHandler) perform(action core.Action) (more bool) {
	if action.Kind == core.ActionSendAttempt {
		h.sendAttempt(action.Attempt)
		return true
	}
	traceAnswer(h.request, action)
	h.response.conn.beforeAnswer()
	switch action.Kind {
	case core.ActionServe:
		h.responseStarted = true
		h.request.ResponseWritten(h.response.writeServed(action.Response.(clientResponse)))
	case core.ActionReject:
		h.responseStarted = true
		h.request.ResponseWritten(h.response.writeRejected(action.RetryAfter))
	case core.ActionFail:
		h.responseStarted = true
		h.request.ResponseWritten(h.response.writeFailed())
	case core.ActionAbandon:
		h.response.writeAbandoned()
	default:
		return true
	}
	return false
}

// sendAttempt sends an attempt in this goroutine if the core can cancel it when it needs the goroutine for the next
// action. Otherwise it starts a goroutine that ends with the attempt.
func (h *requestHandler) sendAttempt(attempt *core.Attempt) {
	if !h.cancelAllowed {
		go h.send(attempt)
		return
	}
	h.currentAttempt = attempt
	h.send(attempt)
	h.currentAttempt = nil
}

// close ends the request in all cases. After a panic it finishes the attempt in progress, and sends a failure response
// unless a response was begun.
func (h *requestHandler) close() {
	if failure := recover(); failure != nil {
		logrus.WithFields(logrus.Fields{"request": h.request.ID, "panic": failure}).Error("request handler panicked")
		if h.currentAttempt != nil {
			h.currentAttempt.Finish(policy.StatusReset, nil, policy.LoadReport{})
		}
		if !h.responseStarted {
			h.request.Fail()
			h.request.ResponseWritten(h.response.writeFailed())
		}
	}
	h.request.Close()
}
