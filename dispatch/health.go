package dispatch

import (
	"fmt"
	"math"
	"slices"
	"time"

	"fuchsiacross/job"
)

const (
	// suspectFailures is how many jobs must fail one after another before a worker
	// gets no tasks that can ill afford a failure; avoidFailures, before it gets
	// none at all. Jobs that can never succeed fail on sound workers too.
	suspectFailures = 2
	avoidFailures   = 3
	// suspectSpan is how long after the last failure, or the pause that follows it, a
	// worker gets no such tasks. Other tasks find out meanwhile whether it still fails.
	suspectSpan   = 2500 * time.Millisecond
	avoidFirst    = 1500 * time.Millisecond // doubles with each further failure
	avoidDoubling = 2

	slowShare = 0.3 // weight of the newest run or observation in an average

	// slowRatio is how many times longer than expected the runs of a slow worker
	// take. Estimates of one job in nine are off by as much, so several jobs have
	// to agree; the runs of one step differ by far less, so one job tells enough
	// if its step runs on others to compare with.
	slowRatio = 3.0
	// slowWeight is how much evidence a judgement needs: one for a job compared
	// with its estimate, and one more for each other worker, up to othersMost.
	slowWeight = 3
	othersMost = 2
	// stillRatio stands for a run that makes no progress.
	stillRatio = 20.0
	// recentJobs is how many jobs a judgement looks back.
	recentJobs = 6
	// slowAvoid is how long a slow worker gets no new tasks.
	slowAvoid = 2500 * time.Millisecond
	// progressLeast is the shortest span over which progress is measured.
	progressLeast = 200 * time.Millisecond
	// progressPercent is the least that is expected over it: readings are whole percents.
	progressPercent = 8

	// silentShare of the recent orders must have got no answer for a worker to get
	// no urgent tasks and no members of gangs, until silentSpan has passed without
	// another one.
	silentShare = 0.15
	silentSpan  = 4 * time.Second
)

// health is what a worker's recent runs say of it.
type health struct {
	pausedUntil time.Time
	failures    int       // of different jobs in a row
	failedJob   job.ID    // the last of them
	suspectTo   time.Time // until when it gets no tasks with few attempts
	silence     float64   // moving share of the orders that got no answer
	silentTo    time.Time // until when this counts
	recent      []evidence
	ratio       float64   // how many times longer than expected runs take; zero before the first
	slow        bool      // the runs of several jobs take much longer than expected
	slowTo      time.Time // until when a slow worker gets no new tasks
}

// evidence is what the runs of one job say of a worker's pace: the logarithm of
// their time against what was expected.
type evidence struct {
	job    job.ID
	log    float64
	weight int
}

func (h *health) pause(until time.Time) {
	if until.After(h.pausedUntil) {
		h.pausedUntil = until
	}
}

// judge notes how a job's runs get on. The newest observation of a job counts.
func (h *health) judge(s *stepState, w *worker, log float64) {
	expected, others := s.paceElsewhere(w)
	id := s.id.Job
	h.recent = slices.DeleteFunc(h.recent, func(e evidence) bool { return e.job == id })
	h.recent = append(h.recent, evidence{id, log - expected, 1 + min(others, othersMost)})
	if len(h.recent) > recentJobs {
		h.recent = slices.Delete(h.recent, 0, 1)
	}
	h.conclude()
}

// conclude derives the pace from the weighted median of the evidence.
func (h *health) conclude() {
	sorted := slices.Clone(h.recent)
	slices.SortFunc(sorted, func(a, b evidence) int { return compare(a.log, b.log) })
	weight := 0
	for _, e := range sorted {
		weight += e.weight
	}
	half := weight
	for _, e := range sorted {
		if half -= 2 * e.weight; half <= 0 {
			h.ratio = math.Exp(e.log)
			break
		}
	}
	h.slow = weight >= slowWeight && h.ratio > slowRatio
}

// ordered counts an order by whether it got an answer.
func (h *health) ordered(now time.Time, answered bool) {
	missing := 0.0
	if !answered {
		missing = 1
		h.silentTo = now.Add(silentSpan)
	}
	h.silence += slowShare * (missing - h.silence)
}

// unreliable reports whether a worker leaves orders unanswered.
func (h *health) unreliable(now time.Time) bool {
	return h.silence > silentShare && now.Before(h.silentTo)
}

// suspect reports whether a worker may fail what it starts.
func (h *health) suspect(now time.Time) bool {
	return h.failures >= suspectFailures && now.Before(h.suspectTo)
}

// observe counts the end of a run.
func (h *health) observe(now time.Time, id job.ID, how job.EndKind) {
	switch how {
	case job.EndFailed:
		if h.failedJob == id {
			return
		}
		h.failures, h.failedJob = h.failures+1, id
		if h.failures >= avoidFailures {
			h.pause(now.Add(avoidFirst << min(h.failures-avoidFailures, avoidDoubling)))
		}
		if h.failures >= suspectFailures {
			h.suspectTo = now.Add(max(0, h.pausedUntil.Sub(now)) + suspectSpan)
		}
	case job.EndDone:
		h.failures, h.failedJob = 0, ""
	}
}

// standing is what the leader believes of a worker's fitness for new tasks.
type standing int

const (
	standingSound   standing = iota
	standingLeaving          // it drains
	standingFailing          // what it starts fails
	standingSlow             // its runs take too long
	standingSilent           // it leaves orders unanswered
)

func (r *Reducer) standing(w *worker) standing {
	switch {
	case w.worker.Leaving:
		return standingLeaving
	case w.suspect:
		return standingFailing
	case w.health.slow:
		return standingSlow
	case w.unreliable:
		return standingSilent
	}
	return standingSound
}

// noteStanding notes a change of a worker's standing with what decided it.
func (r *Reducer) noteStanding(w *worker) {
	now := r.standing(w)
	if now == w.standing {
		return
	}
	w.standing = now
	detail := "sound"
	switch now {
	case standingLeaving:
		detail = "leaves"
		if !w.worker.LeavesAt.IsZero() {
			detail = fmt.Sprintf("leaves, in %s at the earliest", w.worker.LeavesAt.Sub(r.now).Round(time.Millisecond))
		}
	case standingFailing:
		detail = fmt.Sprintf("%d jobs failed in a row, last %s", w.health.failures, w.health.failedJob)
	case standingSlow:
		detail = fmt.Sprintf("runs of %d jobs take %.1f times as long as expected", len(w.health.recent), w.health.ratio)
	case standingSilent:
		detail = fmt.Sprintf("a share of %.2f of the orders has no answer", w.health.silence)
	}
	r.note(Note{Kind: NoteWorkerHealthChanged, Worker: w.worker.ID, Detail: detail})
}

// average is a moving average of logarithms of ratios.
type average struct {
	log   float64
	count int
}

func (a *average) observe(log float64) {
	a.count++
	a.log += max(slowShare, 1/float64(a.count)) * (log - a.log)
}

// workerPace is how a step gets on at one worker, against its estimate.
type workerPace struct {
	worker *worker
	average
}

// paceElsewhere is how a step gets on at other workers, and how many they are.
// Without any, its estimate is taken to be right.
func (s *stepState) paceElsewhere(w *worker) (log float64, count int) {
	sum := 0.0
	for i := range s.paces {
		if s.paces[i].worker != w {
			sum += s.paces[i].log
			count++
		}
	}
	return sum / float64(max(1, count)), count
}

func (s *stepState) observePace(w *worker, log float64) {
	for i := range s.paces {
		if s.paces[i].worker == w {
			s.paces[i].observe(log)
			return
		}
	}
	s.paces = append(s.paces, workerPace{w, average{log, 1}})
}

// comparable reports whether the pace of a step's runs is that of their workers:
// fillers wait for other tasks.
func (s *stepState) comparable() bool {
	return !s.step.Fills && !s.step.LongRunning && s.step.EstimateMilliseconds > 0
}

// observeEnd compares the length of a complete run with what was expected. The
// members of a gang end together, so their ends tell nothing, and of a run that
// was adopted or resumed only the rest was seen.
func (r *Reducer) observeEnd(run *run) {
	s, w := run.step, run.worker
	if !s.comparable() || s.step.Gang || run.present.IsZero() || run.resumed {
		return
	}
	log := math.Log(float64(max(time.Millisecond, r.now.Sub(run.orderedAt))) / float64(s.expected()))
	w.health.judge(s, w, log)
	s.observePace(w, log)
}

// progress is how far a run was at the first and the last of its readings.
type progress struct {
	firstAt time.Time // zero before the first reading
	first   float64   // percent
	at      time.Time
	percent float64
	movedAt time.Time // when the percentage last rose
}

// still returns how long a run has made no progress.
func (p *progress) still() time.Duration { return p.at.Sub(p.movedAt) }

// whole returns how long a complete run takes at the pace of the readings.
func (p *progress) whole() time.Duration {
	return time.Duration(100 * float64(p.at.Sub(p.firstAt)) / max(p.percent-p.first, 100/stillRatio))
}

// observeProgress compares a run's progress since its last reading with its
// estimate and with the runs of its step on other workers.
func (r *Reducer) observeProgress(run *run, percent float64) {
	s, w, p := run.step, run.worker, &run.progress
	if run.stopping || !s.comparable() || s.step.Gang && !s.present() {
		return
	}
	if p.firstAt.IsZero() {
		*p = progress{firstAt: r.now, first: percent, at: r.now, percent: percent, movedAt: r.now}
		return
	}
	span := r.now.Sub(p.at)
	expected := 100 * float64(span) / float64(s.expected())
	if span < progressLeast || expected < progressPercent {
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
	log := math.Log(min(stillRatio, expected/max(gained, expected/stillRatio)))
	w.health.judge(s, w, log)
	s.observePace(w, log)
	if w.health.slow {
		w.health.slowTo = r.now.Add(slowAvoid)
	}
}
