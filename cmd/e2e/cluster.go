package main

// The processes of a run: building the program, starting, killing and stopping instances, and running operator
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
	maxStartDials     = 500                    // connection attempts until the startup of an instance has failed
	startDialInterval = 10 * time.Millisecond  // between two such attempts
	dialTimeout       = 100 * time.Millisecond // of one such attempt
	shutdownTimeout   = 8 * time.Second        // from SIGTERM until an instance must have exited
	logTailSize       = 2000                   // bytes of a log quoted in a message
	outputTailSize    = 600                    // bytes of a command's output quoted in a message
	defectEnv         = "ONYXGATE_DEFECT="
	killAtEnv         = "ONYXGATE_KILL_AT="
	programImport     = "onyxgate/cmd/onyxgate"
)

// buildProgram builds the program in a directory and returns its path. The build tag "defect" adds failpoints and
// defects.
func buildProgram(dir, tags string) (string, error) {
	path := filepath.Join(dir, "onyxgate")
	args := []string{"build", "-o", path}
	if tags != "" {
		args = append(args, "-tags", tags)
	}
	if text, err := newCommand("go", append(args, programImport)...).CombinedOutput(); err != nil {
		return "", fmt.Errorf("build program: %w\n%s", err, text)
	}
	return path, nil
}

// newCommand prepares a child process that the kernel kills when this process ends, so that none is left behind.
func newCommand(program string, args ...string) *exec.Cmd {
	command := exec.CommandContext(context.Background(), program, args...)
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return command
}

// process is a process of an instance.
type process struct {
	command *exec.Cmd
	exited  chan struct{}
	err     error // result of Wait; may be read once exited is closed
}

// signal sends a signal. It has no effect if the process has already exited.
func (p *process) signal(signal os.Signal) { _ = p.command.Process.Signal(signal) }

// kill kills the process, if it still runs, and waits until it has exited.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.exited
}

// usage is the resource usage of an instance, as reported by the kernel.
type usage struct {
	residentMB float64 // just before it receives SIGTERM
	cpu        time.Duration
}

// cluster is the set of instances of a run. Each has its own name and address.
type cluster struct {
	fleet     *fleet.Fleet
	program   string
	dir       string
	addresses []string
	usages    []usage // by instance: usage of the process that stop ended

	mu        sync.Mutex
	processes []*process // nil if none was started or stop has ended it
}

// newCluster chooses the instances' addresses, which stay the same when an instance is restarted.
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

// startOptions configures the start of an instance.
type startOptions struct {
	instance int
	seed     uint64
	settings string   // path of onyxgate's own settings file; empty for none
	env      []string // in addition to the environment of this process
}

// process returns the latest process of an instance, or nil if none was started or stop has ended it.
func (c *cluster) process(instance int) *process {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.processes[instance]
}

// start starts an instance and waits until it listens. It is no error if a failpoint kills it with SIGKILL during
// startup.
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

// errAddressTaken means that an instance can't listen on its address: what listens there would be taken for the instance, and
// would get the requests of its clients.
var errAddressTaken = errors.New("something else listens on the address of the instance")

// checkAddressFree returns errAddressTaken if something listens on an instance's address before the instance is started.
func (c *cluster) checkAddressFree(instance int) error {
	conn, err := loopback.Dial(c.addresses[instance], dialTimeout)
	if err != nil {
		return nil
	}
	conn.Close()
	return fmt.Errorf("%w: %s, %s", errAddressTaken, instanceName(instance), c.addresses[instance])
}

// launch starts the process of an instance.
func (c *cluster) launch(options startOptions) (*process, error) {
	if err := c.checkAddressFree(options.instance); err != nil {
		return nil, err
	}
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
	defer log.Close() // the process has its own copy of the descriptor
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
			return fmt.Errorf("instance %s exited during startup: %w\n%s", instanceName(instance), p.err, c.logTail(instance))
		default:
		}
		if conn, err := loopback.Dial(c.addresses[instance], dialTimeout); err == nil {
			conn.Close()
			return nil
		}
		time.Sleep(startDialInterval)
	}
	return fmt.Errorf("instance %s does not accept connections on %s\n%s", instanceName(instance), c.addresses[instance], c.logTail(instance))
}

func (c *cluster) logPath(instance int) string {
	return filepath.Join(c.dir, instanceName(instance)+".log")
}

// logTail returns the end of an instance's log, to be shown in a message.
func (c *cluster) logTail(instance int) string {
	text, err := os.ReadFile(c.logPath(instance))
	if err != nil {
		return err.Error()
	}
	return string(text[max(0, len(text)-logTailSize):])
}

// killedBySIGKILL reports whether err, the result of Wait, means that the process was terminated by SIGKILL.
func killedBySIGKILL(err error) bool {
	var exit *exec.ExitError
	if !errors.As(err, &exit) {
		return false
	}
	status, ok := exit.Sys().(syscall.WaitStatus)
	return ok && status.Signaled() && status.Signal() == syscall.SIGKILL
}

// stop sends SIGTERM to all instances and waits until they have exited. It returns a violation for each that failed
// or did not exit in time.
func (c *cluster) stop() (violations []string) {
	c.mu.Lock()
	running := c.processes
	c.processes = make([]*process, len(running))
	c.mu.Unlock()
	for instance, p := range running {
		if p != nil {
			c.usages[instance].residentMB = memoryMB(p.command.Process.Pid, residentMemory)
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

// awaitExit waits until an instance has exited, and kills it after shutdownTimeout. It returns a violation, or "" if
// there is none.
func (c *cluster) awaitExit(instance int, p *process) (violation string) {
	select {
	case <-p.exited:
		if p.err != nil {
			violation = fmt.Sprintf("instance %s exited with %v: %s", instanceName(instance), p.err, c.logTail(instance))
		}
	case <-time.After(shutdownTimeout):
		p.kill()
		violation = fmt.Sprintf("instance %s did not exit within the shutdown timeout and was killed", instanceName(instance))
	}
	return violation
}

// Memory of a process, by the names in which the kernel reports it.
const (
	residentMemory  = "VmRSS"
	anonymousMemory = "RssAnon" // the part of the resident memory that is not backed by files
)

// memoryMB returns the memory of a process of the given kind in MB (2^20 bytes), or 0 if the process has exited.
func memoryMB(pid int, kind string) float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(text), "\n") {
		var kb float64
		if n, _ := fmt.Sscanf(line, kind+": %f kB", &kb); n == 1 {
			return kb / 1024
		}
	}
	return 0
}

// runCommand runs an operator command of the program and returns its standard output.
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
