package assembly

import (
	"fmt"
	"strings"
	"testing"
)

// Two deployments with different settings run in one process, at the same time and in sequence. Each must follow only
// its own settings.
func TestTwoSettings(t *testing.T) {
	glance, merge := "GET /glance/7", "POST /merge/7"
	t.Run("side by side", func(t *testing.T) {
		x, y := newTestEnv(t), newTestEnv(t)
		a, b := startDeployment(t, x, safeClass, singleAttempt), startDeployment(t, y, unsafeClasses, fourAttempts)
		for k := range 3 {
			a.checkServesOwnClass(t, fmt.Sprint("a", k), glance, merge)
			b.checkServesOwnClass(t, fmt.Sprint("b", k), merge, glance)
		}
		a.checkCounts(t, 3)
		b.checkCounts(t, 3)
		if len(x.receivedRequests()) != 3 || len(y.receivedRequests()) != 3 {
			t.Errorf("backends received %v and %v, want three requests each", x.receivedRequests(), y.receivedRequests())
		}
		a.stop(t)
		b.stop(t)
	})
	t.Run("one after the other", func(t *testing.T) {
		x, y := newTestEnv(t), newTestEnv(t)
		a := startDeployment(t, x, safeClass, singleAttempt)
		a.checkServesOwnClass(t, "a", glance, merge)
		a.stop(t)
		b := startDeployment(t, y, unsafeClasses, fourAttempts)
		b.checkServesOwnClass(t, "b", merge, glance)
		b.checkCounts(t, 1)
		b.stop(t)
	})
	t.Run("one after the other, reversed", func(t *testing.T) {
		x, y := newTestEnv(t), newTestEnv(t)
		b := startDeployment(t, y, unsafeClasses, fourAttempts)
		b.checkServesOwnClass(t, "b", merge, glance)
		b.stop(t)
		a := startDeployment(t, x, safeClass, singleAttempt)
		a.checkServesOwnClass(t, "a", glance, merge)
		a.checkCounts(t, 1)
		a.stop(t)
	})
}

// deployment is an instance with its own settings and its own environment.
type deployment struct {
	*testInstance
	env *testEnv
}

// startDeployment starts an instance with these settings, and lets discovery report the environment's backend.
func startDeployment(t *testing.T, env *testEnv, grades, limits string) deployment {
	t.Helper()
	r := start(t, configJSON(env.address(), env.endpointList(1), grades, limits))
	<-env.watches
	env.updates <- env.endpointList(2)
	return deployment{r, env}
}

// checkServesOwnClass sends one request of the deployment's own class, which its backend has to receive, and one of the
// other deployment's class, which has to be refused with 404.
func (d deployment) checkServesOwnClass(t *testing.T, id, own, other string) {
	t.Helper()
	c := d.connect(t)
	for k, call := range []struct {
		path   string
		status int
	}{{own, 200}, {other, 404}} {
		method, path, _ := strings.Cut(call.path, " ")
		c.send(method, path, fmt.Sprint(id, k))
		if status, _ := c.readResponse(t); status != call.status {
			t.Errorf("%s: status %d, want %d", call.path, status, call.status)
		}
	}
	received := d.env.receivedRequests()
	if last := received[len(received)-1]; !strings.HasPrefix(last, strings.Fields(own)[1]+" ") {
		t.Errorf("the backend's last request is %q, want path %s", last, strings.Fields(own)[1])
	}
}

// checkCounts checks that the given number of requests was accepted and served, that as many requests of the other
// deployment's class were refused, and that one backend is listed.
func (d deployment) checkCounts(t *testing.T, requests int) {
	t.Helper()
	counts, refused := d.core.Counts(), d.front.InvalidRequests()
	if counts.Accepted != requests || counts.Served != requests || refused != int64(requests) {
		t.Errorf("%d accepted, %d served, %d refused; want %d each", counts.Accepted, counts.Served, refused, requests)
	}
	if _, listed := d.discovery.Version(); listed != 1 {
		t.Errorf("%d backends listed, want 1", listed)
	}
}
