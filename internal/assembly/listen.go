package assembly

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"
)

const (
	// maxListenWait: the process before this one may hold the address for a moment more.
	maxListenWait = 10 * time.Second
	listenRetryDelay   = 50 * time.Millisecond
)

// listen opens the listener as soon as no other process has its address, or fails after maxListenWait.
func listen(address string) (net.Listener, error) {
	var config net.ListenConfig
	for from := time.Now(); ; time.Sleep(listenRetryDelay) {
		l, err := config.Listen(context.Background(), "tcp", address)
		if !errors.Is(err, syscall.EADDRINUSE) || time.Since(from) > maxListenWait {
			return l, err
		}
	}
}
