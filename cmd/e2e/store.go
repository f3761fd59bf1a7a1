package main

// This file owns what the stores of the record's scenario have in common.

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"os/exec"
)

// Kinds of faults that every store has; the others have names of their own.
const (
	storeKilled  = "kill"
	storeStalled = "stall"
)

// faultyStore is a store that the scenario stalls and kills.
type faultyStore interface {
	// settings is the store's part of [record.store].
	settings() string
	// stall begins or ends a stall.
	stall(on bool) error
	// injectFault has the store fail for a drawn time, the n-th time, and returns the kind of the injectFault once it is over.
	injectFault(n int, random *rand.Rand) (kind string, err error)
	// recover ends all faults.
	recover() error
	// close ends the store; its data stays.
	close()
}

func newFaultyStore(kind, dir string) (faultyStore, error) {
	if kind == "postgres" {
		return newPostgresStore(dir)
	}
	return newSQLiteStore(dir), nil
}

// child is this program with another task, in a process of its own: it says with a line that it is ready, and takes orders
// from its input, whose end ends it.
type child struct {
	command *exec.Cmd
	input   io.WriteCloser
}

// startChild starts this program with other arguments, and waits until it is ready.
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
		return nil, fmt.Errorf("the process %v does not start", args)
	}
	return c, nil
}

// send writes a line to the child's input.
func (c *child) send(line string) error {
	_, err := fmt.Fprintln(c.input, line)
	return err
}

// stop has the child stop by itself.
func (c *child) stop() error {
	c.input.Close()
	return c.command.Wait()
}

// kill kills the child and waits until it is dead.
func (c *child) kill() {
	// Both fail only where it is dead already; that it was killed is what Wait would say.
	_ = c.command.Process.Kill()
	_ = c.command.Wait()
}
