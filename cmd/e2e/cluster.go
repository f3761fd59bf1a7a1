package main

// This file owns the processes: the program as it is built, the instances as they start, die and leave, and the operators'
// commands.

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"onyxgate/internal/fake/fleet"
	"onyxgate/internal/fake/loopback"
)

const (
	maxStartDials    = 500                    // to connect to an instance that has been started
	startDialInterval     = 10 * time.Millisecond  // between two such tries
	dialTimeout   = 100 * time.Millisecond // of such a try
	shutdownTimeout  = 8 * time.Second        // from SIGTERM until an instance has ended
	logTailSize       = 2000                   // bytes of a log that a message quotes
	outputTailSize    = 600                    // bytes of a command's output that a message quotes
	defectEnv     = "ONYXGATE_DEFECT="
	killAtEnv     = "ONYXGATE_KILL_AT="
	programImport = "onyxgate/cmd/onyxgate"
)

// buildProgram builds the program in a directory; the tag "defect" adds failpoints and defects to it.
func buildProgram(dir, tags string) (string, error) {
	path := filepath.Join(dir, "onyxgate")
	args := []string{"build", "-o", path}
	if tags != "" {
		args = append(args, "-tags", tags)
	}
	if text, err := newCommand("go", append(args, programImport)...).CombinedOutput(); err != nil {
		return "", fmt.Errorf("building the program: %w\n%s", err, text)
	}
	return path, nil
}

// newCommand prepares a child process, which the kernel kills when this process ends: nothing stays behind.
func newCommand(program string, args ...string) *exec.Cmd {
	command := exec.CommandContext(context.Background(), program, args...)
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return command
}

// process is one instance from its start to its end.
type process struct {
	command *exec.Cmd
	exited   chan struct{}
	err     error // how it ended; read once ended is closed
}

// signal sends a signal. A process that has ended already needs none.
func (p *process) signal(signal os.Signal) { _ = p.command.Process.Signal(signal) }

// kill kills the process, unless it is dead, and waits until it is.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.exited
}

// usage is what an instance took, as the kernel counts it.
type usage struct {
	residentMB float64 // just before it was told to leave
	cpu        time.Duration
}

// cluster is the instances of a run, each under a name and an address of its own.
type cluster struct {
	fleet     *fleet.Fleet
	program   string
	dir       string
	addresses []string
	usages    []usage // by instance: of the process that stop ended

	mu        sync.Mutex
	processes []*process // nil: none was started, or stop has ended it
}

// newCluster chooses the instances' addresses. They stay the same as instances are started again and again.
func newCluster(f *fleet.Fleet, program, dir string) (*cluster, error) {
	c := &cluster{fleet: f, program: program, dir: dir, usages: make([]usage, f.Instances), processes: make([]*process, f.Instances)}
	for range f.Instances {
		address, err := loopback.FreeAddress()
		if err != nil {
			return nil, err
		}
		c.addresses = append(c.addresses, address)
	}
	return c, nil
}

func instanceName(instance int) string { return fmt.Sprintf("n%d", instance) }

// startOptions say how an instance is started.
type startOptions struct {
	instance int
	seed     uint64
	settings string   // path of our own settings; empty: none
	env      []string // beside this process's own
}

// process is the instance's latest process.
func (c *cluster) process(instance int) *process {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.processes[instance]
}

// start starts an instance and waits until it listens. One that dies by SIGKILL at its start, as it was told to, is no error.
func (c *cluster) start(options startOptions) error {
	p, err := c.launch(options)
	if err != nil {
		return err
	}
	c.mu.Lock()
	c.processes[options.instance] = p
	c.mu.Unlock()
	return c.awaitListening(options.instance, p)
}

// launch starts an instance's process.
func (c *cluster) launch(options startOptions) (*process, error) {
	name := instanceName(options.instance)
	text, err := c.fleet.Configuration(fleet.InstanceOptions{
		Index: options.instance, Name: name, Listen: c.addresses[options.instance], Seed: options.seed,
	})
	if err != nil {
		return nil, err
	}
	config := filepath.Join(c.dir, name+".json")
	if err := os.WriteFile(config, text, 0o600); err != nil {
		return nil, err
	}
	log, err := os.OpenFile(c.logPath(options.instance), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer log.Close() // the process has a copy of its own
	args := []string{"serve", "--config", config}
	if options.settings != "" {
		args = append(args, "--settings", options.settings)
	}
	p := &process{command: newCommand(c.program, args...), exited: make(chan struct{})}
	p.command.Stdout, p.command.Stderr = log, log
	p.command.Env = append(os.Environ(), options.env...)
	if err := p.command.Start(); err != nil {
		return nil, err
	}
	go func() {
		defer close(p.exited)
		p.err = p.command.Wait()
	}()
	return p, nil
}

func (c *cluster) awaitListening(instance int, p *process) error {
	for range maxStartDials {
		select {
		case <-p.exited:
			if killedBySIGKILL(p.err) {
				return nil
			}
			return fmt.Errorf("instance %s ended at its start: %w\n%s", instanceName(instance), p.err, c.logTail(instance))
		default:
		}
		if conn, err := loopback.Dial(c.addresses[instance], dialTimeout); err == nil {
			conn.Close()
			return nil
		}
		time.Sleep(startDialInterval)
	}
	return fmt.Errorf("instance %s does not listen\n%s", instanceName(instance), c.logTail(instance))
}

func (c *cluster) logPath(instance int) string {
	return filepath.Join(c.dir, instanceName(instance)+".log")
}

// logTail is the end of an instance's log, for a person to read.
func (c *cluster) logTail(instance int) string {
	text, err := os.ReadFile(c.logPath(instance))
	if err != nil {
		return err.Error()
	}
	return string(text[max(0, len(text)-logTailSize):])
}

// killedBySIGKILL tells that a process ended by SIGKILL and by nothing of its own.
func killedBySIGKILL(err error) bool {
	var exit *exec.ExitError
	if !errors.As(err, &exit) {
		return false
	}
	status, ok := exit.Sys().(syscall.WaitStatus)
	return ok && status.Signaled() && status.Signal() == syscall.SIGKILL
}

// stop tells all instances to leave, waits until they have, and says which did not end well.
func (c *cluster) stop() (violations []string) {
	c.mu.Lock()
	running := c.processes
	c.processes = make([]*process, len(running))
	c.mu.Unlock()
	for instance, p := range running {
		if p != nil {
			c.usages[instance].residentMB = residentMB(p.command.Process.Pid)
			p.signal(syscall.SIGTERM)
		}
	}
	for instance, p := range running {
		if p == nil {
			continue
		}
		if violation := c.awaitExit(instance, p); violation != "" {
			violations = append(violations, violation)
		}
		state := p.command.ProcessState
		c.usages[instance].cpu = state.UserTime() + state.SystemTime()
	}
	return violations
}

// awaitExit waits until an instance has left, and kills one that does not. It returns a violation, or nothing.
func (c *cluster) awaitExit(instance int, p *process) (violation string) {
	select {
	case <-p.exited:
		if p.err != nil {
			violation = fmt.Sprintf("instance %s ended with %v: %s", instanceName(instance), p.err, c.logTail(instance))
		}
	case <-time.After(shutdownTimeout):
		p.kill()
		violation = fmt.Sprintf("instance %s did not leave", instanceName(instance))
	}
	return violation
}

// residentMB is the memory of a process, as the kernel counts it; 0 where it has ended.
func residentMB(pid int) float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(text), "\n") {
		var kb float64
		if n, _ := fmt.Sscanf(line, "VmRSS: %f kB", &kb); n == 1 {
			return kb / 1024
		}
	}
	return 0
}

// runCommand runs the operators' runCommand line and returns what it printed.
func (c *cluster) runCommand(args ...string) ([]byte, error) {
	command := newCommand(c.program, args...)
	var out, stderr bytes.Buffer
	command.Stdout, command.Stderr = &out, &stderr
	if err := command.Run(); err != nil {
		tail := out.Bytes()[max(0, out.Len()-outputTailSize):]
		return out.Bytes(), fmt.Errorf("onyxgate %v: %w: %s%s", args, err, tail, stderr.Bytes())
	}
	return out.Bytes(), nil
}
