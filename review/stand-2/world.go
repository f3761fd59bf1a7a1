package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"sync"
	"syscall"
	"time"
)

// world holds everything that one case starts. Times in the record are milliseconds since its start.
type world struct {
	trouble bool // play the disruption
	start   time.Time
	dir     string // temporary folder
	runLine string // of the deploy file

	mu        sync.Mutex // guards the fields below
	file      *os.File
	record    *bufio.Writer
	processes []*process
	closed    bool
	asked     int // requests of usual clients
	served    int // of these, answered with 200
}

func newWorld(recordPath string, trouble bool) (*world, error) {
	deploy, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		return nil, err
	}
	line := regexp.MustCompile(`(?m)^run = "(.*)"$`).FindSubmatch(deploy)
	if line == nil {
		return nil, errors.New("the deploy file has no run line")
	}
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	return &world{
		trouble: trouble, start: time.Now(), dir: dir, runLine: string(line[1]), file: file, record: bufio.NewWriter(file),
	}, nil
}

// ms returns a time in milliseconds since the start of the case.
func (w *world) ms(t time.Time) float64 { return float64(t.Sub(w.start)) / 1e6 }

// note writes one line to the record.
func (w *world) note(format string, args ...any) {
	now := time.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.closed {
		fmt.Fprintf(w.record, "%10.1f "+format+"\n", append([]any{w.ms(now)}, args...)...)
	}
}

// close ends all processes that the case started, and removes the temporary folder.
func (w *world) close() {
	w.mu.Lock()
	processes := w.processes
	w.processes = nil
	w.mu.Unlock()
	for _, p := range processes {
		_ = p.cmd.Process.Kill()
		<-p.ended
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return
	}
	w.closed = true
	w.record.Flush()
	w.file.Close()
	os.RemoveAll(w.dir)
}

// checkServed returns an error if most requests were not served: then the case says nothing.
func (w *world) checkServed() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if 2*w.served < w.asked || w.asked == 0 {
		return fmt.Errorf("%d of %d requests were served", w.served, w.asked)
	}
	return nil
}

// process is one instance of onyxgate.
type process struct {
	name   string
	listen string
	cmd    *exec.Cmd
	ended  chan struct{}
	log    string
}

// checkProcesses returns an error if an instance has ended before it was told to.
func (w *world) checkProcesses() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, p := range w.processes {
		select {
		case <-p.ended:
			return fmt.Errorf("%s has ended: %v", p.name, p.cmd.ProcessState)
		default:
		}
	}
	return nil
}

// instanceOptions is what differs between the instances of a case.
type instanceOptions struct {
	name              string
	discovery         string
	platform          string
	news              newsState
	known             any
	settings          map[string]any
	sockets, memoryMB int
	ownSettings       string // text of the file named by ONYXGATE_SETTINGS; empty: none
}

// startInstance starts an instance by the run line of the deploy file, and waits until it is ready.
func (w *world) startInstance(o instanceOptions) (*process, error) {
	listen, err := freeAddress()
	if err != nil {
		return nil, err
	}
	configuration := map[string]any{
		"name": o.name, "listen": listen, "discovery": o.discovery, "seed": fmt.Sprintf("%016x", time.Now().UnixNano()),
		"limits":   map[string]any{"cores": 1.0, "memory_mb": o.memoryMB, "sockets": o.sockets},
		"pipeline": map[string]any{"address": o.platform, "news": o.news.fields()},
		"known":    o.known, "settings": o.settings,
	}
	text, err := json.MarshalIndent(configuration, "", " ")
	if err != nil {
		return nil, err
	}
	path := filepath.Join(w.dir, o.name+".json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return nil, err
	}
	cmd := exec.Command("/bin/sh", "-c", w.runLine)
	cmd.Env = append(os.Environ(), "NODE_CONFIG="+path, "NODE_NAME="+o.name, "NODE_LISTEN="+listen, "NODE_DISCOVERY="+o.discovery)
	if o.ownSettings != "" {
		settings := filepath.Join(w.dir, o.name+".toml")
		if err := os.WriteFile(settings, []byte(o.ownSettings), 0o600); err != nil {
			return nil, err
		}
		cmd.Env = append(cmd.Env, "ONYXGATE_SETTINGS="+settings)
	}
	if level := os.Getenv("REVIEW_LOG"); level != "" { // for a closer look by hand
		cmd.Env = append(cmd.Env, "ONYXGATE_LOG="+level)
	}
	logPath := filepath.Join(w.dir, o.name+".log")
	if keep := os.Getenv("REVIEW_LOGS"); keep != "" {
		logPath = filepath.Join(keep, o.name+".log")
	}
	log, err := os.Create(logPath)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &process{name: o.name, listen: listen, cmd: cmd, ended: make(chan struct{}), log: logPath}
	go func() {
		_ = cmd.Wait()
		close(p.ended)
	}()
	w.mu.Lock()
	w.processes = append(w.processes, p)
	w.mu.Unlock()
	w.note("%s started, listens on %s", o.name, listen)
	return p, w.awaitReady(p)
}

// awaitReady waits until GET /up returns 200.
func (w *world) awaitReady(p *process) error {
	for until := time.Now().Add(20 * time.Second); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		select {
		case <-p.ended:
			text, _ := os.ReadFile(p.log)
			return fmt.Errorf("%s ended while starting: %s", p.name, text)
		default:
		}
		if askUp(p.listen) {
			w.note("%s is ready", p.name)
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", p.name)
}

func askUp(address string) bool {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return false
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(time.Second))
	fmt.Fprintf(c, "GET /up HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n\r\n", address)
	line, err := bufio.NewReader(c).ReadString('\n')
	return err == nil && len(line) > 12 && line[9:12] == "200"
}

// freeAddress returns a loopback address that is free now.
func freeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}
