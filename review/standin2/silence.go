package main

import (
	"bytes"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"

	"fuchsiacross/platform/standin"
)

// Transactions that the store receives while it is silent are carried out after minLate to
// maxLate.
const (
	minLate = time.Second
	maxLate = 6 * time.Second
)

// frontedStore is the store behind a server that can fall silent: then it answers nothing, and
// carries out late what it has received.
type frontedStore struct {
	store  *standin.Store
	server *httptest.Server

	mu     sync.Mutex
	silent bool
	random *rand.Rand
}

func newFrontedStore(s *standin.Store) *frontedStore {
	f := &frontedStore{store: s, random: rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), 1))}
	f.server = httptest.NewServer(f)
	return f
}

// setSilent begins or ends the silence.
func (f *frontedStore) setSilent(silent bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.silent = silent
}

// ServeHTTP serves a call, or leaves it without an answer.
func (f *frontedStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	silent := f.silent
	late := minLate + time.Duration(f.random.Int64N(int64(maxLate-minLate)))
	f.mu.Unlock()
	if !silent {
		f.store.ServeHTTP(w, r)
		return
	}
	if r.Method == http.MethodPost {
		if body, err := io.ReadAll(r.Body); err == nil {
			time.AfterFunc(late, func() {
				request := httptest.NewRequest(r.Method, r.URL.String(), bytes.NewReader(body))
				f.store.ServeHTTP(httptest.NewRecorder(), request)
			})
		}
	}
	<-r.Context().Done()
}
