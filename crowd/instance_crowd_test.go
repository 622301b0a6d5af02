//go:build crowd

package crowd

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"
)

const (
	unreadCallers  = 1200
	waves          = 3
	pipelinedCalls = 2000
)

// TestInstanceUnreadResponses checks that clients which read no response and come back at once
// do not keep others out.
func TestInstanceUnreadResponses(t *testing.T) {
	p := startInstance(t)
	stop := keepCrowd(p.caller, unreadCallers, sendStatusRequests)
	time.Sleep(settlingTime)
	p.requireOrdinaryAnswer(t)
	p.requireWithinBounds(t)
	stop()
	p.requireOrdinaryAnswer(t)
	p.requireWithinBounds(t)
}

// keepCrowd keeps connections open and opens a new one for each that the process closes, until
// it is stopped.
func keepCrowd(address netip.AddrPort, count int, send send) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var senders sync.WaitGroup
	for number := range count {
		senders.Go(func() {
			for ctx.Err() == nil {
				c, err := (&net.Dialer{Timeout: requestTimeout}).DialContext(ctx, "tcp", address.String())
				if err != nil {
					time.Sleep(repetitionDelay)
					continue
				}
				closeEarly := context.AfterFunc(ctx, func() { _ = c.Close() })
				_ = c.SetWriteDeadline(time.Now().Add(sendTimeout))
				_ = send(c, number)
				closeEarly()
				_ = c.Close()
			}
		})
	}
	return func() {
		cancel()
		senders.Wait()
	}
}

// sendStatusRequests sends requests one after the other and reads no response. It returns when
// the connection is closed.
func sendStatusRequests(w io.Writer, number int) error {
	request := fmt.Sprintf("GET /p/e%015x HTTP/1.1\r\nHost: h.example\r\n\r\n", number)
	for range pipelinedCalls {
		if _, err := io.WriteString(w, request); err != nil {
			return err
		}
	}
	time.Sleep(requestTimeout)
	return nil
}
