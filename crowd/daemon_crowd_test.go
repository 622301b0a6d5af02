//go:build crowd

package crowd

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/base64"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	daemonBodyBytes       = 4_000_000 // the limit of a field is 4 MiB
	daemonBodyConnections = 100
	daemonConnections     = 4000 // above the descriptors of the machine
	streamConnections     = 8
	streamsPerConnection  = 250
	streamBodyBytes       = 500_000
	frameConnectionsHTTP2 = 400
	largeFrameBytes       = 1_000_000
	unreadConnections     = 100
	resetConnections      = 16
	resetsPerConnection   = 25000

	submitPath = "/fuchsiacross.caller.v1.CallerService/Submit"
	statusPath = "/fuchsiacross.caller.v1.CallerService/Status"
	editPath   = "/fuchsiacross.operator.v1.OperatorService/EditSection"
)

// An attack opens a crowd of connections to an address and returns a function that closes them.
type attack func(address netip.AddrPort) (closeAll func())

// sendEach returns an attack that calls a send function on each of its connections.
func sendEach(connections int, send send) attack {
	return func(address netip.AddrPort) func() {
		open := openCrowd(address, connections, send)
		return func() {
			for _, c := range open {
				_ = c.Close()
			}
		}
	}
}

func TestDaemonCrowd(t *testing.T) {
	callers := func(p *daemonProcess) netip.AddrPort { return p.caller }
	operators := func(p *daemonProcess) netip.AddrPort { return p.operator }
	peers := func(p *daemonProcess) netip.AddrPort { return p.peer }
	counters := func(p *daemonProcess) netip.AddrPort { return p.counters }
	authorised := "\r\nAuthorization: Bearer " + operatorsToken
	tests := []struct {
		name      string
		encrypted bool
		address   func(*daemonProcess) netip.AddrPort
		attack    attack
	}{
		{"bodies that stop short", false, callers, sendEach(daemonBodyConnections, rpcBody(submitPath, "", daemonBodyBytes, daemonBodyBytes))},
		{"bodies that stop short, piece by piece", false, callers, sendEach(daemonBodyConnections, rpcBody(submitPath, "", daemonBodyBytes, pieceBytes))},
		{"large chunks", false, callers, sendEach(daemonBodyConnections, rpcChunks(submitPath, "", daemonBodyBytes, largeChunkBytes))},
		{"very small chunks", false, callers, sendEach(daemonBodyConnections, rpcChunks(submitPath, "", daemonBodyBytes, smallChunkBytes))},
		{"whole bodies that wait", false, callers, sendEach(daemonBodyConnections, sendWaitingRequest)},
		{"requests of many tasks", false, callers, sendEach(2*daemonBodyConnections, sendManyTasks)},
		{"compressed bodies", false, callers, sendEach(2*daemonBodyConnections, sendCompressed)},
		{"bodies of HTTP/2 streams", false, callers, openStreams},
		{"half frames of HTTP/2", false, callers, sendEach(frameConnectionsHTTP2, sendHalfFrameHTTP2)},
		{"half headers of HTTP/2", false, callers, sendEach(daemonConnections, sendHalfHeaderHTTP2)},
		{"resets of HTTP/2 streams", false, callers, sendEach(resetConnections, sendResets)},
		{"responses of HTTP/2 streams that are not read", false, callers, sendEach(unreadConnections, sendStreamsWithoutWindow)},
		{"responses that are not read", false, callers, sendEach(bodyConnections, sendStatusCalls)},
		{"half headers of callers", false, callers, sendEach(daemonConnections, sendHalfHeader)},
		{"half handshakes of callers", true, callers, sendEach(daemonConnections, sendHalfHandshake)},
		{"half headers of operators", false, operators, sendEach(daemonConnections, sendHalfHeader)},
		{"bodies of operators without credentials", false, operators, sendEach(bodyConnections, rpcBody(editPath, "", streamBodyBytes, streamBodyBytes))},
		{"bodies of operators that stop short", false, operators, sendEach(daemonBodyConnections, rpcBody(editPath, authorised, 2_000_000, 2_000_000))},
		{"half headers of peers", false, peers, sendEach(daemonConnections, sendHalfHeader)},
		{"frames of peers that stop short", false, peers, sendEach(daemonBodyConnections, sendHalfPeerFrame)},
		{"frames of peers with many empty reports", false, peers, sendEach(frameConnectionsHTTP2, sendEmptyReports)},
		{"half headers at the metrics address", false, counters, sendEach(daemonConnections, sendHalfHeader)},
		{"metrics that are not read", false, counters, sendEach(bodyConnections, sendMetricsCalls)},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := startDaemon(t, test.encrypted)
			t.Logf("before: %d MB", p.peakMegabytes(t))
			closeAll := test.attack(test.address(p))
			time.Sleep(settlingTime)
			p.requireOrdinaryAnswer(t)
			p.requireWithinBounds(t)
			closeAll()
			p.requireOrdinaryAnswer(t)
			p.requireWithinBounds(t)
		})
	}
}

func writeRPCHead(w io.Writer, path, headers, framing string) error {
	_, err := fmt.Fprintf(w, "POST %s HTTP/1.1\r\nHost: entry-1\r\nContent-Type: application/json\r\n%s%s\r\n\r\n", path, framing, headers)
	return err
}

// rpcBody sends a body with a length in pieces, without its last bytes.
func rpcBody(path, headers string, length, piece int) send {
	return func(w io.Writer, _ int) error {
		if err := writeRPCHead(w, path, headers, fmt.Sprintf("Content-Length: %d", length)); err != nil {
			return err
		}
		spaces := bytes.Repeat([]byte{' '}, piece)
		for sent := 0; sent < length-shortBy; sent += piece {
			if _, err := w.Write(spaces[:min(piece, length-shortBy-sent)]); err != nil {
				return err
			}
		}
		return nil
	}
}

// rpcChunks sends a body in chunks, without its end.
func rpcChunks(path, headers string, length, chunkBytes int) send {
	return func(w io.Writer, _ int) error {
		if err := writeRPCHead(w, path, headers, "Transfer-Encoding: chunked"); err != nil {
			return err
		}
		chunk := fmt.Appendf(nil, "%x\r\n%s\r\n", chunkBytes, strings.Repeat(" ", chunkBytes))
		perWrite := max(1, largeChunkBytes/len(chunk))
		chunks := bytes.Repeat(chunk, perWrite)
		for sent := 0; sent+chunkBytes <= length-shortBy; sent += perWrite * chunkBytes {
			count := min(perWrite, (length-shortBy-sent)/chunkBytes)
			if _, err := w.Write(chunks[:count*len(chunk)]); err != nil {
				return err
			}
		}
		return nil
	}
}

// sendWaitingRequest submits an urgent request, which is kept in memory until its deadline.
func sendWaitingRequest(w io.Writer, number int) error {
	body := base64.StdEncoding.EncodeToString(make([]byte, daemonBodyBytes))
	text := fmt.Sprintf(`{"requestId":"waiting-%d","team":"gates","workload":"moisture_check","body":%q}`, number, body)
	if err := writeRPCHead(w, submitPath, "", fmt.Sprintf("Content-Length: %d", len(text))); err != nil {
		return err
	}
	_, err := io.WriteString(w, text)
	return err
}

// sendManyTasks submits a request with as many tasks as the limit allows. No worker runs them.
func sendManyTasks(w io.Writer, number int) error {
	text := fmt.Sprintf(`{"requestId":"tasks-%d","team":"agronomy","workload":"drying_model","tasks":10000,"noWait":true}`, number)
	if err := writeRPCHead(w, submitPath, "", fmt.Sprintf("Content-Length: %d", len(text))); err != nil {
		return err
	}
	_, err := io.WriteString(w, text)
	return err
}

// sendCompressed sends a whole body whose decompressed form is almost as large as the limit.
func sendCompressed(w io.Writer, _ int) error {
	var compressed bytes.Buffer
	z := gzip.NewWriter(&compressed)
	if _, err := z.Write(bytes.Repeat([]byte{' '}, 2*daemonBodyBytes)); err != nil {
		return err
	}
	if err := z.Close(); err != nil {
		return err
	}
	if err := writeRPCHead(w, submitPath, "\r\nContent-Encoding: gzip", fmt.Sprintf("Content-Length: %d", compressed.Len())); err != nil {
		return err
	}
	_, err := w.Write(compressed.Bytes())
	return err
}

const pipelinedCalls = 2000

// sendStatusCalls sends calls one after the other and reads no response.
func sendStatusCalls(w io.Writer, _ int) error {
	const body = `{"requestId":"unknown"}`
	for range pipelinedCalls {
		if err := writeRPCHead(w, statusPath, "", fmt.Sprintf("Content-Length: %d", len(body))); err != nil {
			return err
		}
		if _, err := io.WriteString(w, body); err != nil {
			return err
		}
	}
	return nil
}

func sendMetricsCalls(w io.Writer, _ int) error {
	_, err := io.WriteString(w, strings.Repeat("GET /metrics HTTP/1.1\r\nHost: entry-1\r\n\r\n", pipelinedCalls))
	return err
}

// sendHalfHandshake sends the begin of a TLS ClientHello.
func sendHalfHandshake(w io.Writer, _ int) error {
	const helloBytes = 8 << 10
	record := []byte{0x16, 0x03, 0x01, byte(helloBytes >> 8), 0, 0x01, 0, byte((helloBytes - 4) >> 8), byte((helloBytes - 4) & 0xff)}
	_, err := w.Write(append(record, make([]byte, helloBytes-shortBy)...))
	return err
}

// openStreams opens connections of HTTP/2 with many streams, each of which sends a body without
// its end.
func openStreams(address netip.AddrPort) (closeAll func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var sent, ended sync.WaitGroup
	for range streamConnections {
		protocols := &http.Protocols{}
		protocols.SetUnencryptedHTTP2(true)
		transport := &http.Transport{Protocols: protocols}
		for range streamsPerConnection {
			sent.Add(1)
			done := sync.OnceFunc(sent.Done)
			ended.Go(func() {
				defer done()
				body := io.MultiReader(io.LimitReader(spaces{}, streamBodyBytes-shortBy), &stalledReader{ctx, done})
				request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address.String()+submitPath, body)
				if err != nil {
					return
				}
				request.ContentLength = streamBodyBytes
				request.Header.Set("Content-Type", "application/json")
				if response, err := transport.RoundTrip(request); err == nil {
					_ = response.Body.Close()
				}
			})
		}
	}
	allSent := make(chan struct{})
	go func() {
		sent.Wait()
		close(allSent)
	}()
	select {
	case <-allSent:
	case <-time.After(sendTimeout):
	}
	return func() {
		cancel()
		ended.Wait()
	}
}

// spaces is an endless reader of spaces.
type spaces struct{}

func (spaces) Read(p []byte) (int, error) {
	for n := range p {
		p[n] = ' '
	}
	return len(p), nil
}

// stalledReader reports its first read and then blocks until the context ends.
type stalledReader struct {
	ctx     context.Context
	reached func()
}

func (r *stalledReader) Read([]byte) (int, error) {
	r.reached()
	<-r.ctx.Done()
	return 0, r.ctx.Err()
}

// TestDaemonSeries plays the crowds at all addresses at once and in series.
func TestDaemonSeries(t *testing.T) {
	p := startDaemon(t, false)
	for range waves {
		closeAll := openAllDaemonCrowds(p)
		time.Sleep(settlingTime)
		p.requireOrdinaryAnswer(t)
		p.requireWithinBounds(t)
		closeAll()
	}
	p.requireOrdinaryAnswer(t)
	p.requireWithinBounds(t)
}

// TestDaemonStop asks a process to stop while clients press on it, some of which come back until
// it is gone.
func TestDaemonStop(t *testing.T) {
	p := startDaemon(t, false)
	closeAll := openAllDaemonCrowds(p)
	defer closeAll()
	stop := keepCrowd(p.caller, unreadCallers, sendStatusCalls)
	defer stop()
	time.Sleep(settlingTime)
	p.requireWithinBounds(t)
	p.requireStop(t)
}

func openAllDaemonCrowds(p *daemonProcess) (closeAll func()) {
	crowds := []struct {
		address netip.AddrPort
		attack  attack
	}{
		{p.caller, sendEach(daemonBodyConnections/4, rpcBody(submitPath, "", daemonBodyBytes, daemonBodyBytes))},
		{p.caller, sendEach(daemonBodyConnections/4, rpcBody(submitPath, "", daemonBodyBytes, pieceBytes))},
		{p.caller, sendEach(daemonBodyConnections/4, rpcChunks(submitPath, "", daemonBodyBytes, largeChunkBytes))},
		{p.caller, sendEach(daemonBodyConnections/4, rpcChunks(submitPath, "", daemonBodyBytes, smallChunkBytes))},
		{p.caller, sendEach(daemonBodyConnections/4, sendCompressed)},
		{p.caller, sendEach(daemonBodyConnections/4, sendWaitingRequest)},
		{p.caller, sendEach(frameConnectionsHTTP2/4, sendHalfFrameHTTP2)},
		{p.caller, sendEach(unreadConnections/4, sendStreamsWithoutWindow)},
		{p.caller, sendEach(daemonConnections/8, sendHalfHeader)},
		{p.operator, sendEach(daemonConnections/8, sendHalfHeader)},
		{p.peer, sendEach(daemonConnections/8, sendHalfHeader)},
		{p.peer, sendEach(daemonBodyConnections/4, sendHalfPeerFrame)},
		{p.peer, sendEach(frameConnectionsHTTP2/4, sendEmptyReports)},
		{p.counters, sendEach(daemonConnections/8, sendHalfHeader)},
	}
	var mu sync.Mutex
	var closers []func()
	var attacks sync.WaitGroup
	for _, c := range crowds {
		attacks.Go(func() {
			closeCrowd := c.attack(c.address)
			mu.Lock()
			defer mu.Unlock()
			closers = append(closers, closeCrowd)
		})
	}
	attacks.Wait()
	return func() {
		for _, closeCrowd := range closers {
			closeCrowd()
		}
	}
}
