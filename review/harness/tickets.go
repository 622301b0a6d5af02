package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// maxAdvisedWorkers is how many runners a call for advice may name.
const maxAdvisedWorkers = 100

// tickets is the stand-in of the advice service. It allows every runner to run a
// step.
type tickets struct {
	mu        sync.Mutex
	required  map[string]bool // jobs on queues with advice
	issued    map[string]time.Time
	decision  time.Duration
	perWorker time.Duration
	validity  time.Duration
}

func newTickets() *tickets {
	return &tickets{
		required: map[string]bool{}, issued: map[string]time.Time{},
		decision: 58 * time.Millisecond, perWorker: 820 * time.Microsecond, validity: 2500 * time.Millisecond,
	}
}

// advice returns the field of a route whose queue has advice.
func (t *tickets) advice() map[string]any {
	return map[string]any{"DecisionMs": 58, "PeriodMs": 0.82, "ValidityMs": t.validity.Milliseconds()}
}

// require makes runners demand tickets for the tasks of a job.
func (t *tickets) require(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.required[id] = true
}

// valid reports whether a start of a task of a step on a runner may go ahead.
func (t *tickets) valid(step, runner, ticket string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	id, _, _ := strings.Cut(step, ".")
	if !t.required[id] {
		return true
	}
	return ticket != "" && strings.HasPrefix(ticket, step+"/"+runner+"/") && time.Since(t.issued[ticket]) < t.validity
}

// ServeHTTP answers POST /advise.
func (t *tickets) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var request struct {
		Step    string   `json:"Step"`
		Workers []string `json:"Workers"`
	}
	if r.URL.Path != "/advise" || json.NewDecoder(r.Body).Decode(&request) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if len(request.Workers) > maxAdvisedWorkers {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(t.decision + time.Duration(len(request.Workers))*t.perWorker)
	good := [][2]string{}
	t.mu.Lock()
	for _, id := range request.Workers {
		ticket := fmt.Sprintf("%s/%s/%d", request.Step, id, len(t.issued))
		t.issued[ticket] = time.Now()
		good = append(good, [2]string{id, ticket})
	}
	t.mu.Unlock()
	_ = json.NewEncoder(w).Encode(map[string]any{"Good": good})
}
