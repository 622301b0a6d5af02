package boundedhttp

import (
	"log"
	"strings"
	"sync"
)

// errorLog counts the errors that net/http logs, since clients cause them at any rate, and
// keeps the last one.
type errorLog struct {
	mu    sync.Mutex
	count int64
	last  string
}

// logger returns the ErrorLog of a server.
func (l *errorLog) logger() *log.Logger { return log.New(l, "", 0) }

// Write counts one error.
func (l *errorLog) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.count++
	l.last = strings.TrimSuffix(string(p), "\n")
	return len(p), nil
}

// take returns the number of errors since its last call, and the last one.
func (l *errorLog) take() (count int64, last string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	count, last = l.count, l.last
	l.count, l.last = 0, ""
	return count, last
}
