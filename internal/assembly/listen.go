package assembly

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"
)

const (
	// maxListenWait gives a previous process that is still shutting down time to release the address.
	maxListenWait    = 10 * time.Second
	listenRetryDelay = 50 * time.Millisecond
)

// listen opens a TCP listener. While the address is in use it retries for up to maxListenWait.
func listen(address string) (net.Listener, error) {
	var config net.ListenConfig
	for start := time.Now(); ; time.Sleep(listenRetryDelay) {
		l, err := config.Listen(context.Background(), "tcp", address)
		if !errors.Is(err, syscall.EADDRINUSE) || time.Since(start) > maxListenWait {
			return l, err
		}
	}
}
