package intake

import (
	"io"
	"sync"
	"time"
)

const (
	// writeTimeout is how long a client may take to receive writePieceBytes of a response.
	writeTimeout    = 5 * time.Second
	writePieceBytes = 64 << 10
	// evictedWriteTimeout replaces writeTimeout once the connection or stream is evicted, since
	// it counts until it has ended.
	evictedWriteTimeout = 20 * time.Millisecond
)

// sending limits the time of the writes of one connection or stream.
type sending struct {
	mu          sync.Mutex
	setDeadline func(time.Time) error // nil once it must not be called any more
	evicted     bool
	since       time.Time // when the write that is open began; zero if none is
}

// write writes p in pieces, each with a deadline of its own.
func (s *sending) write(w io.Writer, owner *request, p []byte) (int, error) {
	owner.move(PhaseServing, PhaseSending)
	defer owner.move(PhaseSending, PhaseServing)
	defer s.endWrite()
	written := 0
	for {
		s.beginWrite()
		n, err := w.Write(p[written:min(len(p), written+writePieceBytes)])
		written += n
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

// beginWrite sets the deadline of the next write.
func (s *sending) beginWrite() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.since = time.Now()
	s.updateLocked()
}

func (s *sending) endWrite() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.since = time.Time{}
}

// evict shortens the write that is open, and later ones. A write that has been open for
// evictedWriteTimeout fails at once.
func (s *sending) evict() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.evicted = true
	s.updateLocked()
}

// finish ends the use of setDeadline.
func (s *sending) finish() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setDeadline = nil
}

func (s *sending) updateLocked() {
	if s.since.IsZero() || s.setDeadline == nil {
		return
	}
	timeout := writeTimeout
	if s.evicted {
		timeout = evictedWriteTimeout
	}
	_ = s.setDeadline(s.since.Add(timeout))
}
