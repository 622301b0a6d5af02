package dispatch

import (
	"fmt"
	"math"
	"slices"
	"time"

	"fuchsiacross/job"
)

const (
	// suspectThreshold is the number of consecutive failed jobs after which a worker gets no
	// tasks with few attempts; after pauseThreshold it gets no tasks at all for a while. Jobs
	// that can never succeed fail on healthy workers too.
	suspectThreshold = 2
	pauseThreshold   = 3
	// suspectDuration is how long a worker stays suspect after its last failure, or after the
	// pause that follows it. Meanwhile, tasks with more attempts show whether runs still fail
	// on it.
	suspectDuration = 2500 * time.Millisecond
	// serviceProbation is how long a task that lasts has to have run for its failure to say
	// nothing about its worker: such tasks may fail at any time.
	serviceProbation  = 3 * time.Second
	failurePause      = 1500 * time.Millisecond // doubles with each further failure, maxPauseDoublings times at most
	maxPauseDoublings = 2
	maxFailures       = pauseThreshold + maxPauseDoublings
	// failsAnywhereThreshold is the number of workers on which the tasks of a step have to fail,
	// and none succeed, for their failures to say nothing about workers. Otherwise the tasks of a
	// few jobs that can never succeed would make all workers suspect.
	failsAnywhereThreshold = 3

	averageWeight = 0.3 // of the newest observation in a moving average

	// slowThreshold is the slowdown above which a worker counts as slow. Estimates of one job
	// in nine are off by as much, so several jobs have to agree. The runs of one step differ
	// by far less, so one job is enough if its step runs on other workers for comparison.
	slowThreshold = 3.0
	// minEvidenceWeight is the evidence that a slowdown needs. A job weighs one if it is
	// compared with its estimate, and one more for each other worker that its step runs on, up
	// to maxOthersWeight.
	minEvidenceWeight = 3
	maxOthersWeight   = 2
	// stalledRatio is the slowdown that a run without progress counts as.
	stalledRatio = 20.0
	// maxRecentJobs is the number of recent jobs that count as evidence.
	maxRecentJobs = 6
	// slowPause is how long a slow worker gets no new tasks. After that it gets some once no run
	// is left whose pace shows whether it is still slow, or slowVerdictDuration after such a run
	// last showed that it was.
	slowPause           = 2500 * time.Millisecond
	slowVerdictDuration = 10 * time.Second
	// minProgressInterval is the shortest time over which progress is measured.
	minProgressInterval = 200 * time.Millisecond
	// Progress is measured only over a time in which minExpectedPercent is expected, because
	// workers report whole percents.
	minExpectedPercent = 8

	// unansweredThreshold is the fraction of recent orders without an answer above which a
	// worker is unreliable: it gets no urgent tasks and no members of gangs, until
	// unansweredWindow passes without another unanswered order.
	unansweredThreshold = 0.15
	unansweredWindow    = 4 * time.Second
)

// health is what recent runs and orders show about a worker.
type health struct {
	pausedUntil        time.Time
	failed             []*failureRecord // of the jobs that failed in a row, maxFailures at most
	failedAt           time.Time        // when the last of them failed
	suspectUntil       time.Time        // until when it gets no tasks with few attempts
	unansweredFraction float64          // moving average of the fraction of orders without an answer
	unansweredUntil    time.Time        // until when unansweredFraction counts
	recent             []evidence
	slowdown           float64   // how many times longer than expected runs take; zero before the first run
	slow               bool      // runs take much longer than expected, with enough evidence
	slowUntil          time.Time // until when a slow worker gets no new tasks
	slowExpires        time.Time // until when it gets none beside runs whose pace is observed
}

// evidence is the pace of one job's runs on a worker: the logarithm of their time relative to
// the expected time.
type evidence struct {
	job      job.ID
	logRatio float64
	weight   int
}

// isClosedAsSlow reports whether a worker gets no new tasks because it is slow.
func (w *worker) isClosedAsSlow(now time.Time) bool {
	h := &w.health
	return h.slow && (now.Before(h.slowUntil) || w.hasComparableRuns() && now.Before(h.slowExpires))
}

// hasComparableRuns reports whether the pace of any run on a worker shows whether it is slow.
func (w *worker) hasComparableRuns() bool {
	for _, run := range w.runs {
		if run.step.hasComparablePace() {
			return true
		}
	}
	return false
}

func (h *health) pause(until time.Time) {
	if until.After(h.pausedUntil) {
		h.pausedUntil = until
	}
}

// addEvidence records the pace of a job's runs relative to the pace of its step on other
// workers. The latest observation of a job replaces earlier ones.
func (h *health) addEvidence(now time.Time, s *stepState, w *worker, logRatio float64) {
	expected, others := s.paceOnOthers(w)
	id := s.id.Job
	h.recent = slices.DeleteFunc(h.recent, func(e evidence) bool { return e.job == id })
	h.recent = append(h.recent, evidence{id, logRatio - expected, 1 + min(others, maxOthersWeight)})
	if len(h.recent) > maxRecentJobs {
		h.recent = slices.Delete(h.recent, 0, 1)
	}
	if h.updateSlowdown(); h.slow {
		h.slowExpires = now.Add(slowVerdictDuration)
	}
}

// updateSlowdown sets the slowdown to the weighted median of the evidence.
func (h *health) updateSlowdown() {
	sorted := slices.Clone(h.recent)
	slices.SortFunc(sorted, func(a, b evidence) int { return compare(a.logRatio, b.logRatio) })
	weight := 0
	for _, e := range sorted {
		weight += e.weight
	}
	remaining := weight
	for _, e := range sorted {
		if remaining -= 2 * e.weight; remaining <= 0 {
			h.slowdown = math.Exp(e.logRatio)
			break
		}
	}
	h.slow = weight >= minEvidenceWeight && h.slowdown > slowThreshold
}

// observeOrder counts an order as answered or unanswered.
func (h *health) observeOrder(now time.Time, answered bool) {
	unanswered := 0.0
	if !answered {
		unanswered = 1
		h.unansweredUntil = now.Add(unansweredWindow)
	}
	h.unansweredFraction += averageWeight * (unanswered - h.unansweredFraction)
}

// isUnreliable reports whether a worker leaves too many orders unanswered.
func (h *health) isUnreliable(now time.Time) bool {
	return h.unansweredFraction > unansweredThreshold && now.Before(h.unansweredUntil)
}

// isSuspect reports whether several jobs in a row have failed on a worker recently.
func (h *health) isSuspect(now time.Time) bool {
	return h.countFailures() >= suspectThreshold && now.Before(h.suspectUntil)
}

// countFailures returns how many jobs have failed in a row, without those whose tasks fail on
// any worker.
func (h *health) countFailures() int {
	n := 0
	for _, f := range h.failed {
		if !f.failsAnywhere() {
			n++
		}
	}
	return n
}

// isClosedAsFailing reports whether a worker gets no new tasks after a pause because jobs failed
// on it: it has a run whose end will show whether they still do, and is suspect.
func (w *worker) isClosedAsFailing(now time.Time) bool {
	h := &w.health
	return h.countFailures() >= pauseThreshold && w.hasEndingRuns() && now.Before(h.suspectUntil)
}

// hasEndingRuns reports whether a worker has a run that ends by itself.
func (w *worker) hasEndingRuns() bool {
	for _, run := range w.runs {
		if !run.step.step.LongRunning {
			return true
		}
	}
	return false
}

// failureRecord lists the workers on which runs of a step have failed, in any occurrence, since
// one last succeeded.
type failureRecord struct {
	job     job.ID
	workers []job.WorkerID // failsAnywhereThreshold at most
}

// failsAnywhere reports whether the failures of a step's tasks say something about the tasks, and
// not about the workers.
func (f *failureRecord) failsAnywhere() bool { return len(f.workers) >= failsAnywhereThreshold }

func (f *failureRecord) add(id job.WorkerID) {
	if !f.failsAnywhere() && !slices.Contains(f.workers, id) {
		f.workers = append(f.workers, id)
	}
}

// failureRecord returns the record of a step's failures.
func (s *stepState) failureRecord() *failureRecord {
	j := s.job
	if j.failureRecords == nil {
		j.failureRecords = make([]failureRecord, len(j.job.Definition.Steps))
	}
	f := &j.failureRecords[s.id.Step]
	f.job = j.job.ID
	return f
}

// observeEnd counts the end of a run. Consecutive failures of the same job count once.
func (h *health) observeEnd(now time.Time, run *run, kind job.EndKind) {
	if run.step.step.LongRunning && kind == job.EndFailed && now.Sub(run.orderedAt) >= serviceProbation {
		kind = job.EndDone // it has worked here
	}
	switch kind {
	case job.EndFailed:
		f := run.step.failureRecord()
		f.add(run.worker.registration.ID)
		if n := len(h.failed); f.failsAnywhere() || n > 0 && h.failed[n-1].job == f.job {
			return
		}
		h.failed, h.failedAt = append(h.failed, f), now
		if len(h.failed) > maxFailures {
			h.failed = slices.Delete(h.failed, 0, 1)
		}
		failures := h.countFailures()
		if failures >= pauseThreshold {
			h.pause(now.Add(failurePause << min(failures-pauseThreshold, maxPauseDoublings)))
		}
		if failures >= suspectThreshold {
			h.suspectUntil = now.Add(max(0, h.pausedUntil.Sub(now)) + suspectDuration)
		}
	case job.EndDone:
		h.observeSuccess(run)
	}
}

// observeSuccess records that a run shows its worker and its step to be sound.
func (h *health) observeSuccess(run *run) {
	h.failed = nil
	if run.step.job.failureRecords != nil {
		run.step.failureRecord().workers = nil
	}
}

// observeService records that a task that lasts, and was started after the last failure on its
// worker, has worked for a while. It may never end.
func (h *health) observeService(now time.Time, run *run) {
	if len(h.failed) > 0 && run.step.step.LongRunning && run.presentSince.After(h.failedAt) && now.Sub(run.presentSince) >= serviceProbation {
		h.observeSuccess(run)
	}
}

// healthState is the leader's assessment of a worker's fitness for new tasks.
type healthState int

const (
	healthSound      healthState = iota
	healthLeaving                // it is draining
	healthFailing                // jobs fail on it
	healthSlow                   // its runs take too long
	healthUnreliable             // it leaves orders unanswered
)

func (r *Reducer) healthStateOf(w *worker) healthState {
	switch {
	case w.registration.Leaving:
		return healthLeaving
	case w.suspect:
		return healthFailing
	case w.health.slow:
		return healthSlow
	case w.unreliable:
		return healthUnreliable
	}
	return healthSound
}

// noteHealthChange logs a change of a worker's health state and the cause.
func (r *Reducer) noteHealthChange(w *worker) {
	state := r.healthStateOf(w)
	if state == w.healthState {
		return
	}
	w.healthState = state
	detail := "sound"
	switch state {
	case healthLeaving:
		detail = "leaves"
		if !w.registration.LeavesAt.IsZero() {
			detail = fmt.Sprintf("leaves, in %s at the earliest", w.registration.LeavesAt.Sub(r.now).Round(time.Millisecond))
		}
	case healthFailing:
		if n := len(w.health.failed); n > 0 {
			detail = fmt.Sprintf("%d jobs failed in a row, last %s", w.health.countFailures(), w.health.failed[n-1].job)
		}
	case healthSlow:
		detail = fmt.Sprintf("runs of %d jobs take %.1f times as long as expected", len(w.health.recent), w.health.slowdown)
	case healthUnreliable:
		detail = fmt.Sprintf("fraction of orders without an answer: %.2f", w.health.unansweredFraction)
	}
	r.addNote(Note{Kind: NoteWorkerHealthChanged, Worker: w.registration.ID, Detail: detail})
}

// movingAverage is a moving average of logarithms of ratios. The first observations have equal
// weights.
type movingAverage struct {
	logRatio float64
	count    int
}

func (a *movingAverage) observe(logRatio float64) {
	a.count++
	a.logRatio += max(averageWeight, 1/float64(a.count)) * (logRatio - a.logRatio)
}

// workerPace is the pace of a step's runs on one worker, relative to its estimate.
type workerPace struct {
	worker *worker
	movingAverage
}

// paceOnOthers returns the mean pace of a step on other workers and the number of these
// workers. Without any, the estimate is taken to be right.
func (s *stepState) paceOnOthers(w *worker) (logRatio float64, count int) {
	sum := 0.0
	for i := range s.paces {
		if s.paces[i].worker != w {
			sum += s.paces[i].logRatio
			count++
		}
	}
	return sum / float64(max(1, count)), count
}

func (s *stepState) observePace(w *worker, logRatio float64) {
	for i := range s.paces {
		if s.paces[i].worker == w {
			s.paces[i].observe(logRatio)
			return
		}
	}
	s.paces = append(s.paces, workerPace{w, movingAverage{logRatio, 1}})
}

// hasComparablePace reports whether the pace of a step's runs depends on their workers only.
// Fillers wait for other tasks.
func (s *stepState) hasComparablePace() bool {
	return !s.step.Fills && !s.step.LongRunning && s.step.EstimateMilliseconds > 0
}

// observeRunLength compares the length of a completed run with the expected length. The
// members of a gang end together, so their ends say nothing about single workers. Of an
// adopted or resumed run only the rest was seen.
func (r *Reducer) observeRunLength(run *run) {
	s, w := run.step, run.worker
	if !s.hasComparablePace() || s.step.Gang || run.presentSince.IsZero() || run.resumed {
		return
	}
	logRatio := math.Log(float64(max(time.Millisecond, r.now.Sub(run.orderedAt))) / float64(s.expectedLength()))
	w.health.addEvidence(r.now, s, w, logRatio)
	s.observePace(w, logRatio)
}

// progress is the progress of a run at its first and its latest reading.
type progress struct {
	firstAt      time.Time // zero before the first reading
	firstPercent float64   // at the first reading
	at           time.Time
	percent      float64
	movedAt      time.Time // when percent last rose
}

// stalledFor returns how long a run has made no progress.
func (p *progress) stalledFor() time.Duration { return p.at.Sub(p.movedAt) }

// projectedLength returns how long the whole run takes at the pace between the readings.
func (p *progress) projectedLength() time.Duration {
	return time.Duration(100 * float64(p.at.Sub(p.firstAt)) / max(p.percent-p.firstPercent, 100/stalledRatio))
}

// observeProgress compares a run's progress since its last reading with its estimate and with
// the runs of its step on other workers.
func (r *Reducer) observeProgress(run *run, percent float64) {
	s, w, p := run.step, run.worker, &run.progress
	if run.stopping || !s.hasComparablePace() || s.step.Gang && !s.allPresent() {
		return
	}
	if p.firstAt.IsZero() {
		*p = progress{firstAt: r.now, firstPercent: percent, at: r.now, percent: percent, movedAt: r.now}
		return
	}
	interval := r.now.Sub(p.at)
	expected := 100 * float64(interval) / float64(s.expectedLength())
	if interval < minProgressInterval || expected < minExpectedPercent {
		return
	}
	gained := percent - p.percent
	p.at, p.percent = r.now, percent
	if gained > 0 {
		p.movedAt = r.now
	}
	if percent >= 100 {
		// The run waits for the other members of its gang.
		return
	}
	logRatio := math.Log(min(stalledRatio, expected/max(gained, expected/stalledRatio)))
	w.health.addEvidence(r.now, s, w, logRatio)
	s.observePace(w, logRatio)
	r.observeSpeedInProgress(run)
	if w.health.slow {
		w.health.slowUntil = r.now.Add(slowPause)
	}
}
