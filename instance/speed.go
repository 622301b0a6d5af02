package instance

import (
	"time"

	"go.uber.org/zap"

	"fuchsiacross/link"
	"fuchsiacross/logevent"
	"fuchsiacross/processorspeed"
)

const (
	// gaugeInterval is between two measurements of the processor's speed. One takes
	// some tens of microseconds, less than a thousandth of the interval.
	gaugeInterval = 100 * time.Millisecond
	// slowedSettle is how long a slow leader waits before it yields: other instances
	// that have become slow at the same time have told it by then.
	slowedSettle = 400 * time.Millisecond
)

// watchSpeed measures the processor and tells the leaders when it becomes slow and
// when it is sound again. A leader that has become slow yields to an instance that
// has more processor time then.
func (i *Instance) watchSpeed() {
	g := processorspeed.New()
	for sleep(i.ctx, gaugeInterval) {
		if !g.Observe(g.Measure()) {
			continue
		}
		i.mu.Lock()
		i.slowdown, i.slowedAt = g.Slowdown(), time.Now()
		for _, s := range i.shards() {
			s.resigned = false
		}
		i.mu.Unlock()
		logevent.SpeedChanged.Log(i.log, zap.Float64("slowdown", g.Slowdown()), zap.Duration("best", g.BestMedian()))
		i.tellShare()
	}
}

// share is the processor time that this instance has for the shard now, of one sound
// processor.
func (s *shard) share() float64 {
	s.i.mu.Lock()
	defer s.i.mu.Unlock()
	return s.i.settings.ProcessorShare / max(1, s.i.slowdown) / float64(1+s.burden())
}

// mayYield reports whether a leader since began may leave the leadership to an
// instance with more processor time: once, and again when its own speed has changed.
func (s *shard) mayYield(now, began time.Time) bool {
	s.i.mu.Lock()
	defer s.i.mu.Unlock()
	if s.i.slowdown > 1 {
		return !s.resigned && now.Sub(began) > slowedSettle && now.Sub(s.i.slowedAt) > slowedSettle
	}
	return !s.resigned && now.Sub(began) > settleSpan
}

// yields notes that this instance leaves the leadership.
func (s *shard) yields() {
	s.i.mu.Lock()
	defer s.i.mu.Unlock()
	s.resigned = true
}

// tellShare tells the leaders of all shards that other instances lead.
func (i *Instance) tellShare() {
	for _, s := range i.shards() {
		s.tellShare()
	}
}

func (s *shard) tellShare() {
	share := s.share()
	s.i.mu.Lock()
	leader := s.leader
	s.i.mu.Unlock()
	if leader != nil {
		leader.Send(link.Message{Kind: link.KindShare, Share: share})
	}
}
