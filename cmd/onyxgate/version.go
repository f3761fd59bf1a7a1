package main

import "fmt"

const version = "0.16"

// versionCommand prints the version.
type versionCommand struct{}

func (versionCommand) Run() error {
	fmt.Println("onyxgate", version)
	return nil
}
