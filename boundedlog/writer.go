// Package boundedlog writes log lines without blocking the caller on a slow output. Lines
// are buffered in memory; lines that exceed the size of the buffer are dropped and
// counted.
//
// # Usage
//
//	w := boundedlog.New(os.Stdout)
//	log := zap.New(zapcore.NewCore(encoder, w, level))
//	defer w.Sync()
package boundedlog

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	maxBufferBytes = 512 << 10
	maxChunkBytes  = 4 << 10 // size of one write, in complete lines: a write of this size to a pipe is atomic
	flushInterval  = 200 * time.Millisecond
)

// Writer buffers lines for an underlying writer. It is safe for concurrent use.
type Writer struct {
	mu              sync.Mutex // guards buffer and the counts of dropped lines
	buffer          []byte
	spare           []byte // the array of the last Sync, reused as the next buffer; guarded by syncMu
	unreportedDrops int64  // lines dropped since the last Sync
	totalDropped    int64
	syncMu          sync.Mutex // held during Sync, so that writes to out do not overlap
	out             io.Writer
}

// New returns a writer that flushes to out periodically in a goroutine that never ends.
func New(out io.Writer) *Writer {
	w := &Writer{out: out}
	go func() {
		for range time.Tick(flushInterval) {
			_ = w.Sync()
		}
	}()
	return w
}

// Write buffers one line, or drops it if the buffer is full. It never returns an error.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.buffer)+len(line) > maxBufferBytes {
		w.unreportedDrops++
		w.totalDropped++
		return len(line), nil
	}
	w.buffer = append(w.buffer, line...)
	return len(line), nil
}

// Dropped returns the number of lines that have been dropped since New.
func (w *Writer) Dropped() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.totalDropped
}

// Sync writes the buffered lines to the underlying writer, followed by a line with the
// number of lines dropped since the last Sync, if any. It may block.
func (w *Writer) Sync() error {
	w.syncMu.Lock()
	defer w.syncMu.Unlock()
	w.mu.Lock()
	text, dropped := w.buffer, w.unreportedDrops
	w.buffer, w.unreportedDrops = w.spare[:0], 0
	w.mu.Unlock()
	if dropped > 0 {
		text = fmt.Appendf(text, "{\"level\":\"warn\",\"msg\":\"log lines were dropped\",\"count\":%d}\n", dropped)
	}
	if len(text) == 0 {
		w.spare = text
		return nil
	}
	w.spare = text
	for len(text) > 0 {
		chunk := text
		if len(chunk) > maxChunkBytes {
			chunk = chunk[:bytes.LastIndexByte(chunk[:maxChunkBytes], '\n')+1]
			if len(chunk) == 0 {
				chunk = text
			}
		}
		if _, err := w.out.Write(chunk); err != nil {
			return err
		}
		text = text[len(chunk):]
	}
	return nil
}
