package main

// The agent: a real process, started by the run line of the deploy file.

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"syscall"
	"time"
)

type object = map[string]any

// agent is one agent: its configuration and its current process.
type agent struct {
	trial   *trial
	name    string
	address string
	run     string   // command of the deploy file
	env     []string // in addition
	command *exec.Cmd
	exited  chan struct{}
}

var runLine = regexp.MustCompile(`(?m)^run = "(.*)"$`)

// newAgent returns an agent with an address of its own. The configuration is written by start.
func (t *trial) newAgent(name string, env ...string) (*agent, error) {
	text, err := os.ReadFile(filepath.Join(t.root, "deploy", "balancer.toml"))
	if err != nil {
		return nil, err
	}
	line := runLine.FindSubmatch(text)
	if line == nil {
		return nil, errors.New("deploy/balancer.toml has no run line")
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	a := &agent{trial: t, name: name, address: listener.Addr().String(), run: string(line[1]), env: env}
	t.agents = append(t.agents, a)
	return a, listener.Close()
}

// start writes the configuration and starts a process.
func (a *agent) start(config object) error {
	path := filepath.Join(a.trial.dir, a.name+".json")
	text, err := json.Marshal(config)
	if err != nil {
		return err
	}
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(a.trial.dir, a.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	command := exec.Command("/bin/sh", "-c", a.run)
	command.Dir, command.Stdout, command.Stderr = a.trial.root, log, log
	command.Env = append(os.Environ(), "NODE_CONFIG="+path)
	command.Env = append(command.Env, a.env...)
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	a.command, a.exited = command, exited
	go func() {
		_ = command.Wait()
		close(exited)
	}()
	return nil
}

// signal sends a signal to the process.
func (a *agent) signal(s syscall.Signal) {
	if a.command != nil {
		_ = a.command.Process.Signal(s)
	}
}

// kill kills the process and waits for its end.
func (a *agent) kill() {
	if a.command == nil {
		return
	}
	a.signal(syscall.SIGKILL)
	<-a.exited
}

// awaitReady waits until GET /up returns 200.
func (a *agent) awaitReady(limit time.Duration) error {
	client := http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		answer, err := client.Get("http://" + a.address + "/up")
		if err != nil {
			continue
		}
		answer.Body.Close()
		if answer.StatusCode == http.StatusOK {
			return nil
		}
	}
	log, _ := os.ReadFile(filepath.Join(a.trial.dir, a.name+".log"))
	return fmt.Errorf("agent %s is not ready\n%s", a.name, log)
}
