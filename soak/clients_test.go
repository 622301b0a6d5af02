package soak

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"

	"fuchsiacross/platform/standin"
)

const (
	clientCount    = 3
	submitPause    = 120 * time.Millisecond // between two jobs of a client
	requestLimit   = 3 * time.Second
	mostTries      = 6 // of one job
	retryPause     = 350 * time.Millisecond
	pollPause      = 40 * time.Millisecond
	visibleSpan    = 3 * time.Second // after which an accepted job must be known
	settleSpan     = 45 * time.Second
	cancelOneIn    = 15
	againOneIn     = 10 // jobs that are sent again after their acceptance
	millisPerCheck = 150
)

// sent is a job with what its client has been told.
type sent struct {
	id, path   string
	body       []byte
	accepted   time.Time // zero unless an answer was positive
	refused    bool      // every answer was a refusal
	cancelling bool
	cancelled  bool // the cancellation was acknowledged
	state      string
	endedAt    time.Time // when the final state was first told
}

// clients submit jobs, follow them and note what contradicts a promise.
type clients struct {
	site *site
	quit chan struct{}
	busy sync.WaitGroup

	mu     sync.Mutex
	jobs   []*sent
	broken []string
}

func newClients(s *site) *clients {
	c := &clients{site: s, quit: make(chan struct{})}
	for n := range clientCount {
		random := rand.New(rand.NewPCG(uint64(s.seed), uint64(100+n)))
		// Open connections are used until their instance is gone.
		transport := &http.Transport{DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
		connection := &http.Client{Transport: transport, Timeout: requestLimit}
		DeferCleanup(transport.CloseIdleConnections)
		c.busy.Go(func() {
			for number := 0; ; number++ {
				select {
				case <-c.quit:
					return
				case <-time.After(submitPause):
				}
				c.submit(connection, random, fmt.Sprintf("%016x", uint64(s.seed)<<32|uint64(n)<<24|uint64(number)))
			}
		})
		c.busy.Go(func() {
			for {
				select {
				case <-c.quit:
					return
				case <-time.After(pollPause):
				}
				if j := c.some(random); j != nil {
					c.look(connection, random, j)
				}
			}
		})
	}
	return c
}

func (c *clients) stop() {
	close(c.quit)
	c.busy.Wait()
}

func (c *clients) complain(format string, values ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.broken = append(c.broken, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, values...))
}

// some returns a random job that is not known to have ended.
func (c *clients) some(r *rand.Rand) *sent {
	c.mu.Lock()
	defer c.mu.Unlock()
	var open []*sent
	for _, j := range c.jobs {
		if j.state != "completed" && j.state != "cancelled" && !j.refused {
			open = append(open, j)
		}
	}
	if len(open) == 0 {
		return nil
	}
	return open[r.IntN(len(open))]
}

// call sends one request to a random instance. The status is zero if there was no
// answer.
func (c *clients) call(connection *http.Client, r *rand.Rand, method, path string, body []byte) (int, map[string]any) {
	p := c.site.processes[r.IntN(len(c.site.processes))]
	request, err := http.NewRequest(method, "http://"+p.caller.String()+path, bytes.NewReader(body))
	if err != nil {
		c.complain("request: %v", err)
		return 0, nil
	}
	request.Host = "h.example"
	request.Header.Set("X-Deadline-Ms", fmt.Sprint(requestLimit.Milliseconds()))
	response, err := connection.Do(request)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	answer := map[string]any{}
	_ = json.Unmarshal(text, &answer) // some answers have no body
	return response.StatusCode, answer
}

// newJob draws a job and declares it to the runners.
func (c *clients) newJob(r *rand.Rand, id string) *sent {
	type step struct {
		Count    int   `json:"Count"`
		CPU      int   `json:"Cpu"`
		MemMB    int   `json:"MemMb"`
		Estimate int   `json:"EstimateMs"`
		Gang     bool  `json:"Gang,omitempty"`
		After    []int `json:"After,omitempty"`
	}
	path := "/u/"
	steps := []step{{Count: 1 + r.IntN(3), CPU: 500 + r.IntN(3000), MemMB: 256, Estimate: millisPerCheck + r.IntN(300), Gang: r.IntN(3) == 0}}
	if r.IntN(4) == 0 {
		path = "/b/"
		steps[0].Count, steps[0].Estimate = 1+r.IntN(6), 400+r.IntN(1500)
		if r.IntN(2) == 0 {
			steps = append(steps, step{Count: 1 + r.IntN(4), CPU: 1000 + r.IntN(4000), MemMB: 256, Estimate: 300 + r.IntN(600), After: []int{0}})
		}
	}
	var declared []standin.Step
	for _, s := range steps {
		fails := 0
		if r.IntN(12) == 0 {
			fails = 1 + r.IntN(maxAttempts-1)
		}
		if s.Gang && s.Count > 1 {
			fails = 0
		}
		declared = append(declared, standin.Step{
			Count: s.Count, MilliCPU: int64(s.CPU), Duration: time.Duration(s.Estimate) * time.Millisecond,
			After: s.After, Gang: s.Gang, FailedRuns: fails,
		})
	}
	body, err := json.Marshal(map[string]any{"TaskSpec": "spec", "Steps": steps})
	if err != nil {
		c.complain("job: %v", err)
	}
	c.site.recorder.DeclareJob(id, declared)
	j := &sent{id: id, path: path + id, body: body}
	c.mu.Lock()
	c.jobs = append(c.jobs, j)
	c.mu.Unlock()
	return j
}

// submit hands a job in until it is accepted or given up.
func (c *clients) submit(connection *http.Client, r *rand.Rand, id string) {
	j := c.newJob(r, id)
	refused := true
	for range mostTries {
		status, _ := c.call(connection, r, http.MethodPost, j.path, j.body)
		switch {
		case status/100 == 2:
			c.mu.Lock()
			j.accepted = time.Now()
			c.mu.Unlock()
			if r.IntN(againOneIn) == 0 {
				c.call(connection, r, http.MethodPost, j.path, j.body)
			}
			if r.IntN(cancelOneIn) == 0 {
				c.cancel(connection, r, j)
			}
			return
		case status != http.StatusServiceUnavailable && status != http.StatusTooManyRequests:
			refused = false
		}
		time.Sleep(retryPause)
	}
	c.mu.Lock()
	j.refused = refused
	c.mu.Unlock()
}

func (c *clients) cancel(connection *http.Client, r *rand.Rand, j *sent) {
	c.mu.Lock()
	j.cancelling = true
	c.mu.Unlock()
	for range mostTries {
		if status, _ := c.call(connection, r, http.MethodDelete, j.path, nil); status/100 == 2 {
			c.mu.Lock()
			j.cancelled = true
			c.mu.Unlock()
			return
		}
		time.Sleep(retryPause)
	}
}

// look asks for a job's state and compares the answer with what must hold.
func (c *clients) look(connection *http.Client, r *rand.Rand, j *sent) {
	asked := time.Now()
	status, answer := c.call(connection, r, http.MethodGet, j.path, nil)
	state, _ := answer["State"].(string)
	c.mu.Lock()
	accepted, cancelling := j.accepted, j.cancelling
	before := ""
	if !j.endedAt.IsZero() && asked.After(j.endedAt) {
		before = j.state
	}
	if state != "" && j.endedAt.IsZero() {
		j.state = state
		if state == "completed" || state == "cancelled" {
			j.endedAt = time.Now()
		}
	}
	c.mu.Unlock()
	switch {
	case status == http.StatusGone && !accepted.IsZero() && asked.Sub(accepted) > visibleSpan:
		c.complain("%s was accepted and does not exist any more", j.id)
	case status != http.StatusOK:
	case state == "completed" && !c.site.recorder.IsComplete(j.id):
		c.complain("%s is shown as completed before its tasks are done", j.id)
	case state == "failed", state == "cancelled" && !cancelling:
		c.complain("%s is shown as %s without cause", j.id, state)
	case before != "" && state != before:
		c.complain("%s was %s and is %s", j.id, before, state)
	}
}

// settle waits until all accepted jobs have ended, without faults.
func (c *clients) settle() {
	random := rand.New(rand.NewPCG(uint64(c.site.seed), 99))
	connection := &http.Client{Timeout: requestLimit}
	var open []*sent
	for end := time.Now().Add(settleSpan); time.Now().Before(end); time.Sleep(pollPause) {
		open = open[:0]
		for _, j := range c.jobs {
			if !j.accepted.IsZero() && j.state != "completed" && j.state != "cancelled" {
				c.look(connection, random, j)
				open = append(open, j)
			}
		}
		if len(open) == 0 {
			break
		}
	}
	for _, j := range open {
		c.complain("%s was accepted and is %q in the end", j.id, j.state)
	}
	for _, j := range c.jobs {
		switch {
		case j.refused && c.site.recorder.HasStarted(j.id):
			c.complain("%s was refused each time and ran", j.id)
		case j.cancelled && len(c.site.recorder.RunningTasks(j.id)) > 0:
			c.complain("%s was cancelled and runs on", j.id)
		}
	}
	accepted := 0
	for _, j := range c.jobs {
		if !j.accepted.IsZero() {
			accepted++
		}
	}
	GinkgoWriter.Printf("seed %d: %d jobs, %d accepted\n", c.site.seed, len(c.jobs), accepted)
}

func (c *clients) violations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.broken
}
