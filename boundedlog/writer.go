// Package boundedlog writes log lines without ever blocking the caller: lines
// wait in a buffer of bounded size, and those that find it full are dropped and
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
	bufferBytes   = 512 << 10
	chunkBytes    = 4 << 10 // of one write, in whole lines: a pipe takes it at once
	flushInterval = 200 * time.Millisecond
)

// Writer is a bounded buffer before a writer. Its methods are safe for
// concurrent use.
type Writer struct {
	mu      sync.Mutex
	buffer  []byte
	spare   []byte
	dropped int64
	total   int64
	writing sync.Mutex
	out     io.Writer
}

// New returns a writer that flushes to out from a goroutine of its own.
func New(out io.Writer) *Writer {
	w := &Writer{out: out}
	go func() {
		for range time.Tick(flushInterval) {
			_ = w.Sync()
		}
	}()
	return w
}

// Write takes one line or drops it.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.buffer)+len(line) > bufferBytes {
		w.dropped++
		w.total++
		return len(line), nil
	}
	w.buffer = append(w.buffer, line...)
	return len(line), nil
}

// Dropped returns how many lines have been dropped.
func (w *Writer) Dropped() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.total
}

// Sync writes what waits.
func (w *Writer) Sync() error {
	w.writing.Lock()
	defer w.writing.Unlock()
	w.mu.Lock()
	text, dropped := w.buffer, w.dropped
	w.buffer, w.dropped = w.spare[:0], 0
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
		if len(chunk) > chunkBytes {
			chunk = chunk[:bytes.LastIndexByte(chunk[:chunkBytes], '\n')+1]
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
