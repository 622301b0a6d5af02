//go:build crowd

package crowd

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

const (
	backlogConnections = 16
	backlogJobs        = 20_000
	backlogRounds      = 10
	occurrenceJobs     = 100
	specBytes          = 3900 // the limit is 4,000
	unreadCallers      = 1200
	waves              = 3
)

// TestInstanceBacklog submits many small jobs that nothing runs.
func TestInstanceBacklog(t *testing.T) {
	p := startInstance(t)
	b := submitBacklog(t, p)
	t.Logf("%d jobs accepted, %d refused", len(b.accepted), len(b.refused))
	p.requireAccepted(t, "o")
	p.requireWithinBounds(t)
	b.requireTruth(t, p.caller)
}

// TestInstanceOccurrences submits a few small jobs with many due occurrences that nothing runs.
func TestInstanceOccurrences(t *testing.T) {
	p := startInstance(t)
	requireStatus(t, p.caller, "", http.StatusOK)
	const body = `{"Steps":[{"Count":1,"Cpu":1000,"MemMb":64,"EstimateMs":50}],"RepeatCount":1000000,"StartAtMs":1,"IntervalMs":1}`
	accepted := 0
	for number := range occurrenceJobs {
		code, err := submitBody(p.caller, fmt.Sprintf("c%015x", number), body)
		if err == nil && code == http.StatusOK {
			accepted++
		}
	}
	t.Logf("%d of %d jobs accepted", accepted, occurrenceJobs)
	requireStatus(t, p.caller, "", http.StatusOK) // the number of pending jobs, which the leader tells
	time.Sleep(settlingTime)
	p.requireAccepted(t, "o")
	p.requireWithinBounds(t)
}

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

// TestInstanceLeaderWithBacklog plays all crowds at once and in series at a leader that has as
// many waiting jobs as it accepts.
func TestInstanceLeaderWithBacklog(t *testing.T) {
	p := startInstance(t)
	b := submitBacklog(t, p)
	for range waves {
		closeAll := openAllCrowds(p)
		time.Sleep(settlingTime)
		p.requireAccepted(t, "o")
		b.requireTruth(t, p.caller)
		p.requireWithinBounds(t)
		closeAll()
	}
	p.requireAccepted(t, "o")
	p.requireWithinBounds(t)
}

// TestInstanceFullLeader plays all crowds at a leader that takes no further jobs of their queue.
func TestInstanceFullLeader(t *testing.T) {
	p := startInstance(t)
	accepted := 0
	for round := range backlogRounds {
		b := submitJobs(t, p, round)
		accepted += len(b.accepted)
		if len(b.accepted) == 0 {
			break
		}
		time.Sleep(settlingTime) // for the leader to be heard
	}
	t.Logf("%d jobs accepted", accepted)
	for range waves {
		closeAll := openAllCrowds(p)
		time.Sleep(settlingTime)
		p.requireAccepted(t, "o")
		p.requireWithinBounds(t)
		closeAll()
	}
}

// TestInstanceSuccessor ends the leader while the crowds press on it and on its successor.
func TestInstanceSuccessor(t *testing.T) {
	store := startStore(t)
	leader := launchInstance(t, store, "i0")
	leader.requireOrdinaryAnswer(t)
	successor := launchInstance(t, store, "i1")
	successor.lastID = 1000
	successor.requireOrdinaryAnswer(t)
	b := submitBacklog(t, leader)
	closeLeaders := openAllCrowds(leader)
	closeSuccessors := openAllCrowds(successor)
	defer closeLeaders()
	defer closeSuccessors()
	leader.requireWithinBounds(t)
	if err := leader.command.Process.Kill(); err != nil {
		t.Fatal(err)
	}
	<-leader.exited
	successor.requireAccepted(t, "o")
	b.requireTruth(t, successor.caller)
	successor.requireWithinBounds(t)
}

// TestInstanceStop asks a process to stop while clients press on it, some of which come back
// until it is gone.
func TestInstanceStop(t *testing.T) {
	p := startInstance(t)
	submitBacklog(t, p)
	closeAll := openAllCrowds(p)
	defer closeAll()
	stop := keepCrowd(p.caller, unreadCallers, sendStatusRequests)
	defer stop()
	time.Sleep(settlingTime)
	p.requireWithinBounds(t)
	p.requireStop(t)
}

// openAllCrowds opens the crowds of TestCrowd at all addresses at once.
func openAllCrowds(p *instanceProcess) (closeAll func()) {
	crowds := []struct {
		address     netip.AddrPort
		connections int
		send        send
	}{
		{p.caller, bodyConnections / 4, sendBody},
		{p.caller, bodyConnections / 4, sendPieces},
		{p.caller, bodyConnections / 4, sendLargeChunks},
		{p.caller, bodyConnections / 4, sendSmallChunks},
		{p.caller, decodedConnections, sendManySteps},
		{p.caller, headerConnections / 4, sendHalfHeader},
		{p.peer, headerConnections / 4, sendHalfHeader},
		{p.readiness, headerConnections / 4, sendHalfHeader},
		{p.counters, headerConnections / 4, sendHalfHeader},
		{p.peer, frameConnections, sendHalfFrame},
		{p.peer, frameConnections, sendEmptyMessages},
	}
	var mu sync.Mutex
	var open []net.Conn
	var senders sync.WaitGroup
	for _, c := range crowds {
		senders.Go(func() {
			connections := openCrowd(c.address, c.connections, c.send)
			mu.Lock()
			defer mu.Unlock()
			open = append(open, connections...)
		})
	}
	senders.Wait()
	return func() {
		for _, c := range open {
			_ = c.Close()
		}
	}
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

// backlog is what became of the jobs that were submitted.
type backlog struct {
	accepted, refused []string // IDs
}

// submitBacklog submits jobs that nothing runs on a few connections. It checks that refusals
// carry Retry-After.
func submitBacklog(t *testing.T, p *instanceProcess) *backlog {
	t.Helper()
	b := submitJobs(t, p, 0)
	if len(b.accepted) == 0 {
		t.Error("no job is accepted")
	}
	return b
}

// submitJobs submits one round of jobs. The IDs of each round are others.
func submitJobs(t *testing.T, p *instanceProcess, round int) *backlog {
	t.Helper()
	body := fmt.Sprintf(`{"TaskSpec":%q,"Steps":[{"Count":1,"Cpu":1000,"MemMb":64,"EstimateMs":50}]}`, strings.Repeat("s", specBytes))
	var mu sync.Mutex
	b := &backlog{}
	var next, withoutRetryAfter atomic.Int64
	var senders sync.WaitGroup
	for range backlogConnections {
		senders.Go(func() {
			client := http.Client{Timeout: requestTimeout, Transport: &http.Transport{}}
			defer client.CloseIdleConnections()
			for {
				number := next.Add(1)
				if number > backlogJobs {
					return
				}
				id := fmt.Sprintf("b%03x%012x", round, number)
				request, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s/p/%s", p.caller, id), strings.NewReader(body))
				if err != nil {
					return
				}
				request.Host = "h.example"
				response, err := client.Do(request)
				if err != nil {
					continue
				}
				_, _ = io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
				mu.Lock()
				switch response.StatusCode {
				case http.StatusOK:
					b.accepted = append(b.accepted, id)
				case http.StatusTooManyRequests, http.StatusServiceUnavailable:
					b.refused = append(b.refused, id)
					if response.Header.Get("Retry-After") == "" {
						withoutRetryAfter.Add(1)
					}
				}
				mu.Unlock()
			}
		})
	}
	senders.Wait()
	if n := withoutRetryAfter.Load(); n > 0 {
		t.Errorf("%d refusals without Retry-After", n)
	}
	return b
}

// requireTruth checks that an accepted job is known and that a refused one is not.
func (b *backlog) requireTruth(t *testing.T, address netip.AddrPort) {
	t.Helper()
	cases := []struct {
		ids  []string
		want int
	}{
		{b.accepted, http.StatusOK},
		{b.refused, http.StatusGone},
	}
	for _, c := range cases {
		if len(c.ids) > 0 {
			requireStatus(t, address, c.ids[len(c.ids)-1], c.want)
		}
	}
}

// requireStatus asks for the state of a job, or without an ID for the pending jobs, and checks the status of the response. Refusals and
// lost connections are repeated.
func requireStatus(t *testing.T, address netip.AddrPort, id string, want int) {
	t.Helper()
	last := "none"
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(repetitionDelay) {
		code, err := readStatus(address, id)
		switch {
		case err != nil:
			last = err.Error()
		case code == http.StatusServiceUnavailable || code == http.StatusGatewayTimeout:
			last = fmt.Sprint(code)
		case code == want:
			return
		default:
			t.Errorf("job %s: status %d, want %d", id, code, want)
			return
		}
	}
	t.Errorf("the state of job %s is not answered; the last attempt: %s", id, last)
}

// submitBody submits a job and returns the status of the response.
func submitBody(address netip.AddrPort, id, body string) (code int, err error) {
	client := http.Client{Timeout: requestTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	request, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s/p/%s", address, id), strings.NewReader(body))
	if err != nil {
		return 0, err
	}
	request.Host = "h.example"
	response, err := client.Do(request)
	if err != nil {
		return 0, err
	}
	_ = response.Body.Close()
	return response.StatusCode, nil
}

func readStatus(address netip.AddrPort, id string) (code int, err error) {
	c, err := net.DialTimeout("tcp", address.String(), requestTimeout)
	if err != nil {
		return 0, err
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(requestTimeout))
	if _, err := fmt.Fprintf(c, "GET /p/%s HTTP/1.1\r\nHost: h.example\r\nConnection: close\r\n\r\n", id); err != nil {
		return 0, err
	}
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, err
	}
	_ = response.Body.Close()
	return response.StatusCode, nil
}
