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
	clientCount             = 3
	submitInterval          = 120 * time.Millisecond // delay before each job of a client
	requestTimeout          = 3 * time.Second
	maxRequestAttempts      = 6 // for submitting or cancelling one job
	retryDelay              = 350 * time.Millisecond
	pollInterval            = 40 * time.Millisecond
	visibilityTimeout       = 3 * time.Second  // time after which every instance must know an accepted job
	completionTimeout       = 45 * time.Second // for all accepted jobs, after the last fault
	cancelOneIn             = 15               // an accepted job is cancelled with probability 1/cancelOneIn
	withdrawOneIn           = 2                // a submission of unknown outcome is cancelled with probability 1/withdrawOneIn
	resubmitOneIn           = 10               // an accepted job is submitted again with probability 1/resubmitOneIn
	minEstimateMilliseconds = 150              // of a task in the urgent queue
	maxLimitedTasks         = 3                // of a step that few runners may run
	longOneIn               = 3                // a job of the batch queue has a long task with probability 1/longOneIn
	// longEstimateMilliseconds exceeds the leases that leaders grant.
	longEstimateMilliseconds = 8000
)

// submission is a job and the responses that its client received.
type submission struct {
	id, path           string
	tenant             int
	body               []byte
	acceptedAt         time.Time // zero if no attempt was accepted
	refused            bool      // every attempt was refused with status 401, 429 or 503
	cancelRequested    bool
	cancelAcknowledged bool
	gone               bool // its cancellation was answered with status 410
	state              string
	endedAt            time.Time // when the final state was first received
}

// clients submit jobs, poll their states and report responses that violate a
// guarantee.
type clients struct {
	cluster    *cluster
	quit       chan struct{}
	goroutines sync.WaitGroup

	mu                 sync.Mutex
	jobs               []*submission
	reportedViolations []string
}

func startClients(testCluster *cluster) *clients {
	c := &clients{cluster: testCluster, quit: make(chan struct{})}
	for n := range clientCount {
		random := rand.New(rand.NewPCG(uint64(testCluster.seed), uint64(100+n)))
		// Connections are kept alive and reused until their instance exits.
		transport := &http.Transport{DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
		client := &http.Client{Transport: transport, Timeout: requestTimeout}
		DeferCleanup(transport.CloseIdleConnections)
		c.goroutines.Go(func() {
			for number := 0; ; number++ {
				select {
				case <-c.quit:
					return
				case <-time.After(submitInterval):
				}
				c.submitJob(client, random, n%tenantCount, fmt.Sprintf("%016x", uint64(testCluster.seed)<<32|uint64(n)<<24|uint64(number)))
			}
		})
		c.goroutines.Go(func() {
			for {
				select {
				case <-c.quit:
					return
				case <-time.After(pollInterval):
				}
				if j := c.randomOpenJob(random); j != nil {
					c.checkJob(client, random, j)
				}
			}
		})
	}
	c.goroutines.Go(c.changeKeys)
	c.goroutines.Go(c.stormConfigurations)
	probes := &http.Client{Timeout: requestTimeout, Transport: &http.Transport{DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}}
	DeferCleanup(probes.CloseIdleConnections)
	c.goroutines.Go(func() { c.probeKeys(probes, rand.New(rand.NewPCG(uint64(testCluster.seed), 302))) })
	c.goroutines.Go(func() { c.probeRoutes(probes, rand.New(rand.NewPCG(uint64(testCluster.seed), 304))) })
	return c
}

func (c *clients) stop() {
	close(c.quit)
	c.goroutines.Wait()
}

func (c *clients) reportViolation(format string, values ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reportedViolations = append(c.reportedViolations, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, values...))
}

// randomOpenJob returns a random job that is neither refused nor known to have
// ended, or nil if there is none.
func (c *clients) randomOpenJob(r *rand.Rand) *submission {
	c.mu.Lock()
	defer c.mu.Unlock()
	var open []*submission
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

// callRandomInstance sends one request to a random instance with the key of a tenant. The
// returned status is zero if no response was received.
func (c *clients) callRandomInstance(client *http.Client, r *rand.Rand, tenant int, method, path string, body []byte) (int, map[string]any) {
	p := c.cluster.processes[r.IntN(len(c.cluster.processes))]
	key, sentAt := c.cluster.keys.current(tenant), time.Now()
	status, answer := c.call(client, p, key.text, method, path, body)
	c.judge(p, key, sentAt, status)
	return status, answer
}

// call sends one request to an instance with a key.
func (c *clients) call(client *http.Client, p *process, key, method, path string, body []byte) (int, map[string]any) {
	request, err := http.NewRequest(method, "http://"+p.callerAddress.String()+path, bytes.NewReader(body))
	if err != nil {
		c.reportViolation("create request: %v", err)
		return 0, nil
	}
	request.Host = "h.example"
	request.Header.Set("Authorization", "Bearer "+key)
	request.Header.Set("X-Deadline-Ms", fmt.Sprint(requestTimeout.Milliseconds()))
	response, err := client.Do(request)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	answer := map[string]any{}
	_ = json.Unmarshal(text, &answer) // some responses have no body
	return response.StatusCode, answer
}

// newRandomJob creates a random job and declares it to the recorder of the runners.
func (c *clients) newRandomJob(r *rand.Rand, tenant int, id string) *submission {
	type step struct {
		Count    int   `json:"Count"`
		CPU      int   `json:"Cpu"`
		MemMB    int   `json:"MemMb"`
		Estimate int   `json:"EstimateMs"`
		Gang     bool  `json:"Gang,omitempty"`
		After    []int `json:"After,omitempty"`
	}
	path := "/u/"
	steps := []step{{Count: 1 + r.IntN(3), CPU: 500 + r.IntN(3000), MemMB: 256, Estimate: minEstimateMilliseconds + r.IntN(300), Gang: r.IntN(3) == 0}}
	if r.IntN(4) == 0 {
		path = "/b/"
		steps[0].Count, steps[0].Estimate = 1+r.IntN(6), 400+r.IntN(1500)
		if r.IntN(2) == 0 {
			steps = append(steps, step{Count: 1 + r.IntN(4), CPU: 1000 + r.IntN(4000), MemMB: 256, Estimate: 300 + r.IntN(600), After: []int{0}})
		}
	}
	if limited, _ := isLimited(id); limited {
		steps[0].Count = min(steps[0].Count, maxLimitedTasks)
	}
	if limited, _ := isLimited(id); !limited && path == "/u/" && id[len(id)-1]%3 == 0 {
		path = "/d/" // without advice
	}
	if path == "/b/" && r.IntN(longOneIn) == 0 {
		steps[0].Count, steps[0].Gang, steps[0].Estimate = 1, false, longEstimateMilliseconds
	}
	var declared []standin.Step
	for _, s := range steps {
		failedRuns := 0
		if r.IntN(12) == 0 {
			failedRuns = 1 + r.IntN(maxTaskAttempts-1)
		}
		if s.Gang && s.Count > 1 {
			failedRuns = 0
		}
		declared = append(declared, standin.Step{
			Count: s.Count, MilliCPU: int64(s.CPU), Duration: time.Duration(s.Estimate) * time.Millisecond,
			After: s.After, Gang: s.Gang, FailedRuns: failedRuns,
		})
	}
	body, err := json.Marshal(map[string]any{"TaskSpec": "spec", "Steps": steps})
	if err != nil {
		c.reportViolation("encode job: %v", err)
	}
	c.cluster.recorder.DeclareJob(id, declared)
	c.cluster.recorder.DeclareTenant(id, tenantName(tenant))
	j := &submission{id: id, path: path + id, tenant: tenant, body: body}
	c.mu.Lock()
	c.jobs = append(c.jobs, j)
	c.mu.Unlock()
	return j
}

// submitJob submits a random job until it is accepted or all attempts are used. It
// submits some accepted jobs again and cancels some.
func (c *clients) submitJob(client *http.Client, r *rand.Rand, tenant int, id string) {
	j := c.newRandomJob(r, tenant, id)
	refused := true
	for range maxRequestAttempts {
		status, _ := c.callRandomInstance(client, r, j.tenant, http.MethodPost, j.path, j.body)
		switch {
		case status/100 == 2:
			c.mu.Lock()
			j.acceptedAt = time.Now()
			c.mu.Unlock()
			if r.IntN(resubmitOneIn) == 0 {
				c.callRandomInstance(client, r, j.tenant, http.MethodPost, j.path, j.body)
			}
			if r.IntN(cancelOneIn) == 0 {
				c.cancelJob(client, r, j)
			}
			return
		case status != http.StatusServiceUnavailable && status != http.StatusTooManyRequests && status != http.StatusUnauthorized:
			refused = false
			if r.IntN(withdrawOneIn) == 0 {
				c.cancelJob(client, r, j)
				return
			}
		}
		time.Sleep(retryDelay)
	}
	c.mu.Lock()
	j.refused = refused
	c.mu.Unlock()
}

func (c *clients) cancelJob(client *http.Client, r *rand.Rand, j *submission) {
	c.mu.Lock()
	j.cancelRequested = true
	c.mu.Unlock()
	for range maxRequestAttempts {
		status, _ := c.callRandomInstance(client, r, j.tenant, http.MethodDelete, j.path, nil)
		if status/100 == 2 || status == http.StatusGone {
			c.mu.Lock()
			j.cancelAcknowledged, j.gone = true, status == http.StatusGone
			c.mu.Unlock()
			return
		}
		time.Sleep(retryDelay)
	}
}

// checkJob requests the state of a job and reports a violation if the state is not
// allowed.
func (c *clients) checkJob(client *http.Client, r *rand.Rand, j *submission) {
	requestedAt := time.Now()
	status, answer := c.callRandomInstance(client, r, j.tenant, http.MethodGet, j.path, nil)
	state, _ := answer["State"].(string)
	c.mu.Lock()
	acceptedAt, cancelRequested := j.acceptedAt, j.cancelRequested
	previousState := ""
	if !j.endedAt.IsZero() && requestedAt.After(j.endedAt) {
		previousState = j.state
	}
	if state != "" && j.endedAt.IsZero() {
		j.state = state
		if state == "completed" || state == "cancelled" {
			j.endedAt = time.Now()
		}
	}
	c.mu.Unlock()
	if c.probeTenant(client, j, requestedAt) {
		c.reportViolation("tenant %d was told the state of job %s of tenant %d", otherTenant(j.tenant), j.id, j.tenant)
	}
	switch {
	case status == http.StatusGone && !acceptedAt.IsZero() && requestedAt.Sub(acceptedAt) > visibilityTimeout:
		c.reportViolation("job %s was accepted but no longer exists", j.id)
	case status != http.StatusOK:
	case state == "completed" && !c.cluster.recorder.IsComplete(j.id):
		c.reportViolation("job %s is reported as completed before its tasks are done", j.id)
	case state == "failed", state == "cancelled" && !cancelRequested:
		c.reportViolation("job %s is reported as %s without cause", j.id, state)
	case previousState != "" && state != previousState:
		c.reportViolation("job %s changed from %s to %s after it had ended", j.id, previousState, state)
	}
}

// verifyCompletion waits until all accepted jobs have ended, after the faults, and
// reports jobs that have not ended, ran although refused, or still run although
// cancelled.
func (c *clients) verifyCompletion() {
	random := rand.New(rand.NewPCG(uint64(c.cluster.seed), 99))
	client := &http.Client{Timeout: requestTimeout}
	var open []*submission
	for deadline := time.Now().Add(completionTimeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		open = open[:0]
		for _, j := range c.jobs {
			if !j.acceptedAt.IsZero() && j.state != "completed" && j.state != "cancelled" {
				c.checkJob(client, random, j)
				open = append(open, j)
			}
		}
		if len(open) == 0 {
			break
		}
	}
	for _, j := range open {
		c.reportViolation("job %s was accepted but has not ended: state %q", j.id, j.state)
	}
	for _, j := range c.jobs {
		switch {
		case j.refused && c.cluster.recorder.HasStarted(j.id):
			c.reportViolation("job %s ran although every attempt to submit it was refused", j.id)
		case j.gone && !j.acceptedAt.IsZero():
			c.reportViolation("job %s was accepted, but its cancellation found no job", j.id)
		case j.gone && c.cluster.recorder.HasStarted(j.id):
			c.reportViolation("job %s ran although its cancellation found no job", j.id)
		case j.cancelAcknowledged && len(c.cluster.recorder.RunningTasks(j.id)) > 0:
			c.reportViolation("job %s still runs after its cancellation was acknowledged", j.id)
		}
	}
	accepted := 0
	for _, j := range c.jobs {
		if !j.acceptedAt.IsZero() {
			accepted++
		}
	}
	GinkgoWriter.Printf("seed %d: %d jobs, %d accepted\n", c.cluster.seed, len(c.jobs), accepted)
}

func (c *clients) violations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reportedViolations
}
