//go:build crowd

package crowd

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	bodyConnections    = 400
	decodedConnections = 100
	headerConnections  = 2000
	frameConnections   = 60
	framesPerPeer      = 50
	emptyMessages      = 60_000 // of one byte each; a frame before the hello may have 64 KiB
	shortBy            = 144    // bytes that are missing from each body
	pieceBytes         = 4 << 10
	largeChunkBytes    = 64 << 10
	smallChunkBytes    = 16
	headerBytes        = 12 << 10 // the limit is 16 KiB
	frameBytes         = 4 << 20  // the limit is 8 MiB
	sendTimeout        = 30 * time.Second
	settlingTime       = time.Second // for the process to read what is in the buffers of its sockets
)

// A send function writes part of a request or several requests to a connection, which stays
// open afterwards.
type send func(w io.Writer, number int) error

// The tests guard against the loss of a process whose memory or descriptors untrusted clients
// use up.
func TestCrowd(t *testing.T) {
	callers := func(p *instanceProcess) netip.AddrPort { return p.caller }
	peers := func(p *instanceProcess) netip.AddrPort { return p.peer }
	readiness := func(p *instanceProcess) netip.AddrPort { return p.readiness }
	counters := func(p *instanceProcess) netip.AddrPort { return p.counters }
	tests := []struct {
		name        string
		address     func(*instanceProcess) netip.AddrPort
		connections int
		send        send
	}{
		{"bodies that stop short", callers, bodyConnections, sendBody},
		{"bodies that stop short, piece by piece", callers, bodyConnections, sendPieces},
		{"large chunks", callers, bodyConnections, sendLargeChunks},
		{"very small chunks", callers, bodyConnections, sendSmallChunks},
		{"whole bodies of many empty steps", callers, decodedConnections, sendManySteps},
		{"half headers of clients", callers, headerConnections, sendHalfHeader},
		{"half headers of peers", peers, headerConnections, sendHalfHeader},
		{"half headers at the readiness address", readiness, headerConnections, sendHalfHeader},
		{"half headers at the metrics address", counters, headerConnections, sendHalfHeader},
		{"frames of peers that stop short", peers, frameConnections, sendHalfFrame},
		{"frames of peers with many empty messages", peers, frameConnections, sendEmptyMessages},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := startInstance(t)
			t.Logf("before: %d MB", p.peakMegabytes(t))
			connections := openCrowd(test.address(p), test.connections, test.send)
			time.Sleep(settlingTime)
			p.requireOrdinaryAnswer(t)
			p.requireWithinBounds(t)
			for _, c := range connections {
				_ = c.Close()
			}
			p.requireOrdinaryAnswer(t)
			p.requireWithinBounds(t)
		})
	}
}

// openCrowd opens connections at the same time and returns those that are open when each has
// sent its part or was closed by the process. Refused and closed connections are no errors.
func openCrowd(address netip.AddrPort, count int, send send) []net.Conn {
	var mu sync.Mutex
	var open []net.Conn
	var senders sync.WaitGroup
	for number := range count {
		senders.Go(func() {
			c, err := net.DialTimeout("tcp", address.String(), sendTimeout)
			if err != nil {
				return
			}
			_ = c.SetWriteDeadline(time.Now().Add(sendTimeout))
			if send(c, number) != nil {
				_ = c.Close()
				return
			}
			mu.Lock()
			defer mu.Unlock()
			open = append(open, c)
		})
	}
	senders.Wait()
	return open
}

func writeHead(w io.Writer, number int, framing string) error {
	_, err := fmt.Fprintf(w, "POST /p/f%015x HTTP/1.1\r\nHost: h.example\r\nX-Deadline-Ms: 60000\r\n%s\r\n\r\n", number, framing)
	return err
}

func bodyFraming() string { return fmt.Sprintf("Content-Length: %d", maxBodyBytes) }

func sendBody(w io.Writer, number int) error {
	if err := writeHead(w, number, bodyFraming()); err != nil {
		return err
	}
	_, err := w.Write(bytes.Repeat([]byte{' '}, maxBodyBytes-shortBy))
	return err
}

func sendPieces(w io.Writer, number int) error {
	if err := writeHead(w, number, bodyFraming()); err != nil {
		return err
	}
	piece := bytes.Repeat([]byte{' '}, pieceBytes)
	for sent := 0; sent+pieceBytes < maxBodyBytes; sent += pieceBytes {
		if _, err := w.Write(piece); err != nil {
			return err
		}
		time.Sleep(time.Millisecond)
	}
	return nil
}

func sendLargeChunks(w io.Writer, number int) error { return sendChunks(w, number, largeChunkBytes) }

func sendSmallChunks(w io.Writer, number int) error { return sendChunks(w, number, smallChunkBytes) }

func sendChunks(w io.Writer, number, chunkBytes int) error {
	if err := writeHead(w, number, "Transfer-Encoding: chunked"); err != nil {
		return err
	}
	chunk := fmt.Appendf(nil, "%x\r\n%s\r\n", chunkBytes, strings.Repeat(" ", chunkBytes))
	perWrite := max(1, largeChunkBytes/len(chunk))
	for sent := 0; sent+chunkBytes <= maxBodyBytes-shortBy; sent += perWrite * chunkBytes {
		count := min(perWrite, (maxBodyBytes-shortBy-sent)/chunkBytes)
		if _, err := w.Write(bytes.Repeat(chunk, count)); err != nil {
			return err
		}
	}
	return nil
}

// sendManySteps sends a whole body whose decoded form is far larger than its text. A job has
// at most 64 steps.
func sendManySteps(w io.Writer, number int) error {
	body := []byte(`{"Steps":[{}` + strings.Repeat(",{}", maxBodyBytes/3-10) + `]}`)
	if err := writeHead(w, number, fmt.Sprintf("Content-Length: %d", len(body))); err != nil {
		return err
	}
	_, err := w.Write(body)
	return err
}

func sendHalfHeader(w io.Writer, number int) error {
	_, err := fmt.Fprintf(w, "GET /p/f%015x HTTP/1.1\r\nHost: h.example\r\nX-Filler: %s", number, strings.Repeat("x", headerBytes))
	return err
}

// sendHalfFrame opens a link as a leader does and sends a masked binary WebSocket frame
// without its last bytes.
func sendHalfFrame(w io.Writer, _ int) error {
	if err := openWebSocket(w, "/link"); err != nil {
		return err
	}
	_, err := w.Write(appendWebSocketFrame(nil, frameBytes, make([]byte, frameBytes-shortBy)))
	return err
}
