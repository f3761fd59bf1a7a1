package main

// The interface of the stores in the record scenario, and child processes.

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"os/exec"
)

// Kinds of faults that every store has. Others are specific to a store.
const (
	storeKilled  = "kill"
	storeStalled = "stall"
)

// faultyStore is a store that the scenario stalls and kills.
type faultyStore interface {
	// settings returns the store's part of [record.store].
	settings() string
	// stall begins or ends a stall.
	stall(on bool) error
	// injectFault makes the store fail for a random time. n counts the faults from 0. It returns the kind of the
	// fault once the fault is over.
	injectFault(n int, random *rand.Rand) (kind string, err error)
	// recover ends all faults.
	recover() error
	// close ends the store's child process, if there is one. The data remains.
	close()
}

func newFaultyStore(kind, dir string) (faultyStore, error) {
	if kind == "postgres" {
		return newPostgresStore(dir)
	}
	return newSQLiteStore(dir), nil
}

// child is a process that runs this program with another command. It prints a line when it is ready, reads commands
// from its standard input, and exits at the end of input.
type child struct {
	command *exec.Cmd
	input   io.WriteCloser
}

// startChild starts this program with the given arguments, and waits until it is ready.
func startChild(args ...string) (*child, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	c := &child{command: newCommand(self, args...)}
	c.command.Stderr = os.Stderr
	if c.input, err = c.command.StdinPipe(); err != nil {
		return nil, err
	}
	output, err := c.command.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := c.command.Start(); err != nil {
		return nil, err
	}
	if !bufio.NewScanner(output).Scan() {
		c.kill()
		return nil, fmt.Errorf("child process %v exited before it was ready", args)
	}
	return c, nil
}

// send writes a line to the child's input.
func (c *child) send(line string) error {
	_, err := fmt.Fprintln(c.input, line)
	return err
}

// stop closes the child's input and waits until it has exited.
func (c *child) stop() error {
	c.input.Close()
	return c.command.Wait()
}

// kill kills the child and waits until it has exited.
func (c *child) kill() {
	// Kill fails only if the child has already exited, and Wait only returns that it was killed.
	_ = c.command.Process.Kill()
	_ = c.command.Wait()
}
