// Command e2e runs real agents against stand-ins on loopback and counts from outside what the project claims. It must
// never read an agent's own counts to judge the agent. Exit codes: 0 all claims held, 1 one broke, 2 it could not run.
package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"onyxgate/internal/fake/fleet"
)

func main() {
	var line struct {
		Day      day     `cmd:"" help:"A day in half a minute: three agents, ten appliances, one build rolled out."`
		Srv      srv     `cmd:"" help:"Discovery and SRV that disagree."`
		Record   rec     `cmd:"" help:"The store of record through kills and stalls."`
		Pgwire   pgStand `cmd:"" hidden:"" help:"The stand-in of a PostgreSQL server, as a process that can be killed."`
		Holdlite holder  `cmd:"" hidden:"" help:"Holds the write lock of a SQLite file until its input ends."`
	}
	c := kong.Parse(&line, kong.Name("e2e"), kong.UsageOnError())
	switch err := c.Run(); {
	case errors.Is(err, errViolations):
		os.Exit(1)
	case err != nil:
		fmt.Fprintln(os.Stderr, "e2e:", err)
		os.Exit(2)
	}
}

var errViolations = errors.New("a claim broke")

// report prints a run's figures and what broke; exit code and "held" say the same.
func report(figures any, broken []string) error {
	text, err := json.Marshal(figures)
	if err != nil {
		return err
	}
	all := map[string]any{}
	json.Unmarshal(text, &all)
	all["held"] = len(broken) == 0
	if len(broken) > 0 {
		all["broken"] = broken
	}
	if text, err = json.MarshalIndent(all, "", "  "); err != nil {
		return err
	}
	fmt.Println(string(text))
	if len(broken) > 0 {
		return errViolations
	}
	return nil
}

// buildProgram makes the agent, with what a rehearsal may switch off where tags ask for it.
func buildProgram(dir, tags string) (string, error) {
	out := filepath.Join(dir, "onyxgate")
	args := []string{"build", "-o", out}
	if tags != "" {
		args = append(args, "-tags", tags)
	}
	c := exec.Command("go", append(args, "onyxgate/cmd/onyxgate")...)
	if text, err := c.CombinedOutput(); err != nil {
		return "", fmt.Errorf("building the agent: %w\n%s", err, text)
	}
	return out, nil
}

// process is one agent.
type process struct {
	cmd  *exec.Cmd
	done chan struct{}
	err  error
	log  *os.File
}

// cluster are the agents of a rehearsal, under their own names and addresses.
type cluster struct {
	fleet     *fleet.Fleet
	program   string
	dir       string
	addresses []string
	mu        sync.Mutex
	processes []*process
}

func newCluster(w *fleet.Fleet, program, dir string) (*cluster, error) {
	c := &cluster{fleet: w, program: program, dir: dir, processes: make([]*process, w.Instances)}
	for range w.Instances { // the kernel chooses, and the number stays free: the agent listens there again and again
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		c.addresses = append(c.addresses, l.Addr().String())
		l.Close()
	}
	return c, nil
}

func instanceName(i int) string { return fmt.Sprintf("n%d", i) }

// start starts an agent and waits until it is ready.
func (c *cluster) start(i int, seed uint64, settings string, env ...string) (*process, error) {
	config := filepath.Join(c.dir, instanceName(i)+".json")
	if err := os.WriteFile(config, c.fleet.Configuration(i, instanceName(i), c.addresses[i], seed), 0o600); err != nil {
		return nil, err
	}
	log, err := os.OpenFile(filepath.Join(c.dir, instanceName(i)+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	args := []string{"serve", "--config", config}
	if settings != "" {
		args = append(args, "--settings", settings)
	}
	p := &process{cmd: exec.Command(c.program, args...), done: make(chan struct{}), log: log}
	p.cmd.Stdout, p.cmd.Stderr = log, log
	p.cmd.Env = append(os.Environ(), env...)
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // nothing stays behind
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		p.err = p.cmd.Wait()
		log.Close()
		close(p.done)
	}()
	c.mu.Lock()
	c.processes[i] = p
	c.mu.Unlock()
	for range 500 {
		select {
		case <-p.done:
			if endedBySIGKILL(p.err) {
				return p, nil
			}
			return p, fmt.Errorf("agent %s ended at its start: %w\n%s", instanceName(i), p.err, c.tail(i))
		default:
		}
		if conn, err := net.DialTimeout("tcp", c.addresses[i], 100*time.Millisecond); err == nil {
			conn.Close()
			return p, nil
		}
		time.Sleep(10 * time.Millisecond)
	}
	return p, fmt.Errorf("agent %s does not listen\n%s", instanceName(i), c.tail(i))
}

func (c *cluster) tail(i int) string {
	text, _ := os.ReadFile(filepath.Join(c.dir, instanceName(i)+".log"))
	return string(text[max(0, len(text)-2000):])
}

// endedBySIGKILL tells that a process ended by SIGKILL and by nothing of its own.
func endedBySIGKILL(err error) bool {
	var exit *exec.ExitError
	if !errors.As(err, &exit) {
		return false
	}
	status, ok := exit.Sys().(syscall.WaitStatus)
	return ok && status.Signaled() && status.Signal() == syscall.SIGKILL
}

// stop tells all agents to leave and says which did not end well.
func (c *cluster) stop() (broken []string) {
	for _, p := range c.processes {
		if p != nil {
			p.cmd.Process.Signal(syscall.SIGTERM)
		}
	}
	for i, p := range c.processes {
		if p == nil {
			continue
		}
		select {
		case <-p.done:
			if p.err != nil {
				broken = append(broken, fmt.Sprintf("agent %s ended with %v: %s", instanceName(i), p.err, c.tail(i)))
			}
		case <-time.After(8 * time.Second):
			p.cmd.Process.Kill()
			broken = append(broken, fmt.Sprintf("agent %s did not leave", instanceName(i)))
		}
	}
	return broken
}

// command runs the operators' command line and returns what it printed.
func (c *cluster) command(args ...string) ([]byte, error) {
	cmd := exec.Command(c.program, args...)
	var out, wrong bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &wrong
	if err := cmd.Run(); err != nil {
		return out.Bytes(), fmt.Errorf("onyxgate %v: %w: %s%s", args, err, out.Bytes()[max(0, out.Len()-600):], wrong.Bytes())
	}
	return out.Bytes(), nil
}
