package main

import (
	"errors"
	"testing"

	"onyxgate/internal/fake/fleet"
	"onyxgate/internal/fake/loopback"
)

// If something else listens on the address of an instance, starting the instance must fail. Otherwise its clients send to the
// other listener: with that of a backend of another test, that test saw attempts that its instances never sent.
func TestStartOnTakenAddress(t *testing.T) {
	f, err := fleet.New(fleet.Options{Instances: 1, Backends: 1, Cores: 1})
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	c, err := newCluster(f, "true", t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	other, err := loopback.ListenOn(c.addresses[0])
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	if err := c.start(startOptions{instance: 0}); !errors.Is(err, errAddressTaken) {
		t.Errorf("start with the address taken = %v, want %v", err, errAddressTaken)
	}
}
