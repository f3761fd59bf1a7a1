package assembly

import (
	"fmt"
	"strings"
	"testing"
)

// Two settings side by side.

// Two deployments in one process, side by side and one after the other, each by its own settings alone.
func TestTwoSettings(t *testing.T) {
	glance, merge := "GET /glance/7", "POST /merge/7"
	t.Run("side by side", func(t *testing.T) {
		x, y := newTestEnv(t), newTestEnv(t)
		a, b := startDeployment(t, x, safeClass, singleAttempt), startDeployment(t, y, unsafeClasses, fourAttempts)
		for k := range 3 {
			a.serves(t, fmt.Sprint("a", k), glance, merge)
			b.serves(t, fmt.Sprint("b", k), merge, glance)
		}
		a.checkCounts(t, 3)
		b.checkCounts(t, 3)
		if len(x.requestsRun()) != 3 || len(y.requestsRun()) != 3 {
			t.Errorf("ran %v and %v", x.requestsRun(), y.requestsRun())
		}
		a.stop(t)
		b.stop(t)
	})
	t.Run("one after the other", func(t *testing.T) {
		x, y := newTestEnv(t), newTestEnv(t)
		a := startDeployment(t, x, safeClass, singleAttempt)
		a.serves(t, "a", glance, merge)
		a.stop(t)
		b := startDeployment(t, y, unsafeClasses, fourAttempts)
		b.serves(t, "b", merge, glance)
		b.checkCounts(t, 1)
		b.stop(t)
	})
	t.Run("the other way round", func(t *testing.T) {
		x, y := newTestEnv(t), newTestEnv(t)
		b := startDeployment(t, y, unsafeClasses, fourAttempts)
		b.serves(t, "b", merge, glance)
		b.stop(t)
		a := startDeployment(t, x, safeClass, singleAttempt)
		a.serves(t, "a", glance, merge)
		a.checkCounts(t, 1)
		a.stop(t)
	})
}

// deployment is an instance with its own settings, in a world of its own.
type deployment struct {
	*testInstance
	env *testEnv
}

// startDeployment starts an instance of these settings, and lets discovery report the world's backend.
func startDeployment(t *testing.T, w *testEnv, grades, limits string) deployment {
	t.Helper()
	r := start(t, configJSON(w.address(), w.endpointList(1), grades, limits))
	<-w.watches
	w.updates <- w.endpointList(2)
	return deployment{r, w}
}

// serves asks for a class of the deployment's own, which its backend runs, and for one of another's, which it does not know.
func (d deployment) serves(t *testing.T, id, own, others string) {
	t.Helper()
	c := d.connect(t)
	for k, call := range []struct {
		path   string
		status int
	}{{own, 200}, {others, 404}} {
		method, path, _ := strings.Cut(call.path, " ")
		c.send(method, path, fmt.Sprint(id, k))
		if status, _ := c.readResponse(t); status != call.status {
			t.Errorf("%s: %d", call.path, status)
		}
	}
	ran := d.env.requestsRun()
	if last := ran[len(ran)-1]; !strings.HasPrefix(last, strings.Fields(own)[1]+" ") {
		t.Errorf("ran %q", last)
	}
}

// checkCounts looks for so many requests of its own, as many of the other's, and one backend.
func (d deployment) checkCounts(t *testing.T, requests int) {
	t.Helper()
	n, refused := d.core.Counts(), d.front.InvalidRequests()
	if n.Accepted != requests || n.Served != requests || refused != int64(requests) {
		t.Errorf("%d accepted, %d served, %d refused; %d wanted of each", n.Accepted, n.Served, refused, requests)
	}
	if _, listed := d.discovery.Version(); listed != 1 {
		t.Errorf("%d backends listed", listed)
	}
}
