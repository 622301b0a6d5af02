package instance

import (
	"time"

	"go.uber.org/zap"

	"fuchsiacross/logevent"
)

const (
	// loadReportInterval is the time between two log lines on a leader's load.
	loadReportInterval = 2 * time.Second
	// overloadedFraction of the time in the control goroutine counts as overload: the rest
	// is needed to send orders and to decode answers.
	overloadedFraction = 0.5
	// overloadedDelay is the delay of an event that counts as overload.
	overloadedDelay = 150 * time.Millisecond
)

// leaderLoad measures how much of its time a leader's control goroutine works.
type leaderLoad struct {
	since        time.Time
	reducerTime  time.Duration
	effectsTime  time.Duration
	events       int
	longestQueue int
	longestDelay time.Duration // of a tick
	longestBatch time.Duration
}

// record counts one batch of events.
func (l *leaderLoad) record(events, queued int, reducerTime, effectsTime time.Duration) {
	l.events += events
	l.longestQueue = max(l.longestQueue, queued)
	l.reducerTime += reducerTime
	l.effectsTime += effectsTime
	l.longestBatch = max(l.longestBatch, reducerTime+effectsTime)
}

// recordTick counts a tick that came later than its interval.
func (l *leaderLoad) recordTick(sincePrevious time.Duration) {
	l.longestDelay = max(l.longestDelay, sincePrevious-tickInterval)
}

// isOverloaded reports whether the leader falls behind with its work.
func (l *leaderLoad) isOverloaded(now time.Time) bool {
	busy := l.reducerTime + l.effectsTime
	return float64(busy) > overloadedFraction*float64(now.Sub(l.since)) || l.longestDelay > overloadedDelay
}

// report logs the load since the last report, at most once per loadReportInterval.
func (l *leaderLoad) report(log *zap.Logger, now time.Time) {
	interval := now.Sub(l.since)
	if interval < loadReportInterval {
		return
	}
	event := logevent.LeaderLoad
	if l.isOverloaded(now) {
		event = logevent.LeaderOverloaded
	}
	event.Log(log,
		zap.Float64("deciding", fraction(l.reducerTime, interval)), zap.Float64("sending", fraction(l.effectsTime, interval)),
		zap.Int("events", l.events), zap.Int("queued", l.longestQueue),
		zap.Duration("batch", l.longestBatch), zap.Duration("delay", l.longestDelay))
	*l = leaderLoad{since: now}
}

func fraction(part, whole time.Duration) float64 { return float64(part) / float64(whole) }
