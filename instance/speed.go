package instance

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"fuchsiacross/link"
	"fuchsiacross/logevent"
)

const (
	// gaugeInterval is between two measurements of the processor's speed. One takes
	// some tens of microseconds, less than a thousandth of the interval.
	gaugeInterval = 100 * time.Millisecond
	gaugeBytes    = 64 << 10
	// gaugeRecent is how many measurements count: their median changes half a
	// second after the processor, and not with single interruptions.
	gaugeRecent = 7
	// slowedFrom and soundBelow are how many times longer than at best measurements
	// take on a processor that has become slow, and on one that has not.
	slowedFrom = 2.5
	soundBelow = 1.5
	// slowedRanks delays the claims of an instance whose processor has become slow
	// as if so many others were larger.
	slowedRanks = 5
	// slowedSettle is how long a slow leader waits before it yields: other instances
	// that have become slow at the same time have told it by then.
	slowedSettle = 400 * time.Millisecond
)

// gauge tells from repeated measurements how many times slower than usual a
// processor is.
type gauge struct {
	best   time.Duration // the least median
	recent []time.Duration
	factor float64 // one for a sound processor
}

// observe counts a measurement and reports whether the factor has changed.
func (g *gauge) observe(took time.Duration) bool {
	g.recent = append(g.recent, took)
	if len(g.recent) < gaugeRecent {
		return false
	}
	if len(g.recent) > gaugeRecent {
		g.recent = slices.Delete(g.recent, 0, 1)
	}
	median := slices.Sorted(slices.Values(g.recent))[gaugeRecent/2]
	if g.best == 0 || median < g.best {
		g.best = max(median, 1)
	}
	ratio := float64(median) / float64(g.best)
	before := g.slowed()
	switch {
	case ratio >= slowedFrom:
		if !before {
			g.factor = ratio
		}
	case ratio < soundBelow:
		g.factor = 1
	}
	return g.slowed() != before
}

func (g *gauge) slowed() bool { return g.factor > 1 }

// measureSpeed times a fixed piece of work.
func measureSpeed(data []byte) time.Duration {
	began := time.Now()
	xxhash.Sum64(data)
	return time.Since(began)
}

// watchSpeed measures the processor and tells the leader when it becomes slow and
// when it is sound again. A leader that has become slow yields to an instance that
// has more processor time then.
func (i *Instance) watchSpeed() {
	var g gauge
	data := make([]byte, gaugeBytes)
	for sleep(i.ctx, gaugeInterval) {
		if !g.observe(measureSpeed(data)) {
			continue
		}
		i.mu.Lock()
		i.slowdown, i.slowedAt, i.resigned = g.factor, time.Now(), false
		i.mu.Unlock()
		logevent.SpeedChanged.Log(i.log, zap.Float64("slowdown", g.factor), zap.Duration("best", g.best))
		i.tellShare()
	}
}

// share is the processor time that this instance has now, of one sound processor.
func (i *Instance) share() float64 {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.settings.ProcessorShare / max(1, i.slowdown)
}

// mayYield reports whether a leader since began may leave the leadership to an
// instance with more processor time: once, and again when its own speed has changed.
func (i *Instance) mayYield(now, began time.Time) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.slowdown > 1 {
		return !i.resigned && now.Sub(began) > slowedSettle && now.Sub(i.slowedAt) > slowedSettle
	}
	return !i.resigned && now.Sub(began) > settleSpan
}

// yields notes that this instance leaves the leadership.
func (i *Instance) yields() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.resigned = true
}

// claimRank orders the claims of instances.
func (i *Instance) claimRank() int64 {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.slowdown > 1 {
		return i.rank + slowedRanks
	}
	return i.rank
}

// tellShare tells the leader, if it is another instance.
func (i *Instance) tellShare() {
	share := i.share()
	i.mu.Lock()
	leader := i.leader
	i.mu.Unlock()
	if leader != nil {
		leader.Send(link.Message{Kind: link.KindShare, Share: share})
	}
}
