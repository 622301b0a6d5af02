package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits and times of the store, as the users' pages give them for a small deployment.
const (
	storeWritesPerSecond = 600
	storeReadsPerSecond  = 2000
	storeTransactionTime = 5 * time.Millisecond // a partition takes 200 transactions a second
	storeAnswerTime      = 4 * time.Millisecond
	storeHistory         = 20 * time.Second
	storeRowBytes        = 65536
	storeCallBytes       = 1 << 20
	storeCallEntries     = 100
	storePageRows        = 500
)

type rowKey struct{ table, partition, key string }

type row struct {
	Table     string `json:"Table"`
	Partition string `json:"part"`
	Key       string `json:"Key"`
	Value     []byte `json:"Value,omitempty"`
	Version   int64  `json:"SchemaVersion"`
	Deleted   bool   `json:"Deleted,omitempty"`
	at        time.Time
}

type storeAnswer struct {
	Rows            []row `json:"rows"`
	HasMore         bool  `json:"HasMore"`
	Version         int64 `json:"SchemaVersion"`
	NowMilliseconds int64 `json:"NowMs"`
}

// rate admits a number of calls in each second.
type rate struct {
	limit, used int
	second      int64
}

func (r *rate) admit(now time.Time) bool {
	if second := now.Unix(); second != r.second {
		r.second, r.used = second, 0
	}
	r.used++
	return r.used <= r.limit
}

// store is the stand-in of the platform's table store.
type store struct {
	record *record
	server *http.Server
	listen string // address
	began  time.Time

	mu             sync.Mutex
	rows           map[rowKey]row
	history        []row
	droppedVersion int64
	version        int64
	changed        chan struct{}
	partitions     map[string]*sync.Mutex
	writes, reads  rate
	oversized      int // refused rows that exceed storeRowBytes
}

func newStore(l net.Listener, r *record) *store {
	s := &store{
		record: r, listen: l.Addr().String(), began: time.Now(), rows: map[rowKey]row{}, changed: make(chan struct{}), partitions: map[string]*sync.Mutex{},
		writes: rate{limit: storeWritesPerSecond}, reads: rate{limit: storeReadsPerSecond},
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /rows-tx", s.handleTransaction)
	mux.HandleFunc("GET /rows-get", s.handleGet)
	mux.HandleFunc("GET /rows-feed", s.handleFeed)
	s.server = &http.Server{Handler: mux}
	go func() { _ = s.server.Serve(l) }()
	return s
}

func (s *store) address() string { return s.listen }

// put writes a row as the operator or a runner does.
func (s *store) put(table, key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.apply(row{Table: table, Key: key, Value: text})
	s.notify()
}

// remove removes a row that the operator or a runner wrote.
func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.apply(row{Table: table, Key: key, Deleted: true})
	s.notify()
}

// apply stores or deletes a row with the current version. s.mu is held.
func (s *store) apply(r row) {
	r.Version, r.at = s.version, time.Now()
	key := rowKey{r.Table, r.Partition, r.Key}
	if r.Deleted {
		delete(s.rows, key)
	} else {
		s.rows[key] = r
	}
	s.history = append(s.history, r)
	for len(s.history) > 0 && time.Since(s.history[0].at) > storeHistory {
		s.droppedVersion = s.history[0].Version
		s.history = s.history[1:]
	}
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// leaderRow returns the value of the row that names the leader of the only shard.
func (s *store) leaderRow() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return string(s.rows[rowKey{"leader", "leader-0", "leader"}].Value)
}

func (s *store) answer(w http.ResponseWriter, status int, a storeAnswer) {
	if a.Rows == nil {
		a.Rows = []row{}
	}
	a.NowMilliseconds = time.Since(s.began).Milliseconds() + 1
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(a)
}

func (s *store) admits(r *rate) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return r.admit(time.Now())
}

func (s *store) handleTransaction(w http.ResponseWriter, r *http.Request) {
	if !s.admits(&s.writes) {
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, storeCallBytes+1))
	var t struct {
		Expected []row `json:"ExpectedRev"`
		Writes   []row `json:"Writes"`
		Removals []row `json:"Remove"`
	}
	if err != nil || len(body) > storeCallBytes || json.Unmarshal(body, &t) != nil || len(t.Expected)+len(t.Writes)+len(t.Removals) > storeCallEntries {
		s.record.note("store: a transaction of %d bytes is refused with 400", len(body))
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	all := slices.Concat(t.Expected, t.Writes, t.Removals)
	for _, e := range all {
		switch {
		case e.Partition != all[0].Partition:
			w.WriteHeader(http.StatusBadRequest)
			return
		case len(e.Value) > storeRowBytes:
			s.mu.Lock()
			s.oversized++
			first := s.oversized == 1
			s.mu.Unlock()
			if first {
				s.record.note("store: row %s/%s has %d bytes, more than RowBytes %d; its transaction is refused with 400", e.Table, e.Key, len(e.Value), storeRowBytes)
			}
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	for _, e := range slices.Concat(t.Writes, t.Removals) {
		if e.Table == "op" || e.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	partition := s.partition(all[0].Partition)
	partition.Lock()
	time.Sleep(storeTransactionTime)
	partition.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range t.Expected {
		if s.rows[rowKey{e.Table, e.Partition, e.Key}].Version == e.Version {
			continue
		}
		var current []row
		for _, e := range t.Expected {
			if found, ok := s.rows[rowKey{e.Table, e.Partition, e.Key}]; ok {
				current = append(current, found)
			}
		}
		s.answer(w, http.StatusPreconditionFailed, storeAnswer{Rows: current, Version: s.version})
		return
	}
	s.version++
	for _, e := range t.Writes {
		e.Deleted = false
		s.apply(e)
	}
	for _, e := range t.Removals {
		s.apply(row{Table: e.Table, Partition: e.Partition, Key: e.Key, Deleted: true})
	}
	s.notify()
	s.answer(w, http.StatusOK, storeAnswer{Version: s.version})
}

func (s *store) partition(name string) *sync.Mutex {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.partitions[name] == nil {
		s.partitions[name] = &sync.Mutex{}
	}
	return s.partitions[name]
}

func (s *store) handleGet(w http.ResponseWriter, r *http.Request) {
	if !s.admits(&s.reads) {
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	time.Sleep(storeAnswerTime)
	q := r.URL.Query()
	limit := storePageRows
	if n, err := strconv.Atoi(q.Get("Limit")); err == nil && n > 0 {
		limit = min(n, limit)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	a := storeAnswer{Version: s.version}
	for key, found := range s.rows {
		if key.table == q.Get("Table") && key.partition == q.Get("part") && key.key >= q.Get("From") && (q.Get("Target") == "" || key.key < q.Get("Target")) {
			a.Rows = append(a.Rows, found)
		}
	}
	slices.SortFunc(a.Rows, func(x, y row) int { return strings.Compare(x.Key, y.Key) })
	size := 0
	for n := range a.Rows {
		if size += len(a.Rows[n].Value) * 4 / 3; n == limit || n > 0 && size > storeCallBytes {
			a.Rows, a.HasMore = a.Rows[:n], true
			break
		}
	}
	s.answer(w, http.StatusOK, a)
}

func (s *store) handleFeed(w http.ResponseWriter, r *http.Request) {
	if !s.admits(&s.reads) {
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	q := r.URL.Query()
	after, err := strconv.ParseInt(q.Get("After"), 10, 64)
	wait, waitErr := strconv.ParseInt(q.Get("WaitMs"), 10, 64)
	if err != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for waiting := true; ; {
		s.mu.Lock()
		a, changed, gone := storeAnswer{Version: s.version}, s.changed, after < s.droppedVersion
		from, _ := slices.BinarySearchFunc(s.history, after+1, func(h row, v int64) int { return int(h.Version - v) })
		for _, h := range s.history[from:] {
			if h.Table == q.Get("Table") {
				a.Rows = append(a.Rows, h)
			}
		}
		s.mu.Unlock()
		switch {
		case gone:
			w.WriteHeader(http.StatusGone)
			return
		case len(a.Rows) > 0 || !waiting:
			time.Sleep(storeAnswerTime)
			s.answer(w, http.StatusOK, a)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}
