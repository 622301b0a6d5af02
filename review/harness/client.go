package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	clientDeadline = 3 * time.Second
	clientAttempts = 5 // the first and four retries
	retryDelay     = 300 * time.Millisecond
)

type step struct {
	Count       int    `json:"Count"`
	CPU         int    `json:"Cpu"` // thousandths of a core
	MemMB       int    `json:"MemMb"`
	EstimateMS  int    `json:"EstimateMs"`
	After       []int  `json:"After,omitempty"`
	LongRunning bool   `json:"LongRunning,omitempty"`
	Requires    string `json:"Requires,omitempty"`
}

type submission struct {
	ID          string `json:"-"`
	Route       string `json:"-"`
	TaskSpec    string `json:"TaskSpec"`
	Steps       []step `json:"Steps"`
	RepeatCount int64  `json:"RepeatCount,omitempty"`
	StartAtMS   int64  `json:"StartAtMs,omitempty"`
	IntervalMS  int64  `json:"IntervalMs,omitempty"`

	acceptedAt time.Time
}

// clients sends requests to the instances, each try to a random one.
type clients struct {
	platform *platform
	http     *http.Client

	mu       sync.Mutex
	accepted []*submission
	next     int
}

func newClients(p *platform) *clients {
	return &clients{platform: p, http: &http.Client{Timeout: clientDeadline, Transport: &http.Transport{MaxIdleConnsPerHost: 8}}}
}

// newJob returns a job with an id of its own.
func (c *clients) newJob(route string, steps ...step) *submission {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next++
	return &submission{ID: fmt.Sprintf("%08x%08x", rand.Uint32(), c.next), Route: route, TaskSpec: "spec of " + route, Steps: steps}
}

// call sends one request to a random instance. The status is zero without an answer.
func (c *clients) call(method, path string, body []byte) (status int, answer map[string]any) {
	i := c.platform.instances[rand.IntN(len(c.platform.instances))]
	request, err := http.NewRequest(method, "http://"+i.front+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	request.Host = hostName
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("X-Deadline-Ms", fmt.Sprint(clientDeadline.Milliseconds()))
	response, err := c.http.Do(request)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	answer = map[string]any{}
	_ = json.Unmarshal(text, &answer) // some answers have no body
	return response.StatusCode, answer
}

// submit hands a job in and reports whether it was accepted.
func (c *clients) submit(j *submission) bool {
	body, err := json.Marshal(j)
	if err != nil {
		return false
	}
	path := "/" + j.Route + "/" + j.ID
	for range clientAttempts {
		status, _ := c.call(http.MethodPost, path, body)
		c.platform.record.note("client: POST %s: %d", path, status)
		if status/100 == 2 {
			j.acceptedAt = time.Now()
			c.mu.Lock()
			c.accepted = append(c.accepted, j)
			c.mu.Unlock()
			return true
		}
		time.Sleep(retryDelay)
	}
	return false
}

// submitAll hands jobs in, a few at a time, and returns how many were accepted.
func (c *clients) submitAll(jobs []*submission) int {
	const parallel = 8
	var group sync.WaitGroup
	queue := make(chan *submission)
	for range parallel {
		group.Go(func() {
			for j := range queue {
				c.submit(j)
			}
		})
	}
	for _, j := range jobs {
		queue <- j
	}
	close(queue)
	group.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.accepted)
}

// state asks for the state of a job, several times if there is no answer.
func (c *clients) state(j *submission) (status int, state string) {
	path := "/" + j.Route + "/" + j.ID
	for range clientAttempts {
		var answer map[string]any
		status, answer = c.call(http.MethodGet, path, nil)
		state, _ = answer["State"].(string)
		if status == http.StatusOK || status == http.StatusGone || status == http.StatusNotFound {
			break
		}
		time.Sleep(retryDelay)
	}
	c.platform.record.note("client: GET %s: %d %s", path, status, state)
	return status, state
}

// cancel cancels a job, in several tries if there is no answer.
func (c *clients) cancel(j *submission) {
	path := "/" + j.Route + "/" + j.ID
	for range clientAttempts {
		status, _ := c.call(http.MethodDelete, path, nil)
		c.platform.record.note("client: DELETE %s: %d", path, status)
		if status/100 == 2 || status == http.StatusGone {
			return
		}
		time.Sleep(retryDelay)
	}
}
