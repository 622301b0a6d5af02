package instance

import (
	"time"

	"go.uber.org/zap"

	"fuchsiacross/election"
	"fuchsiacross/leadercapacity"
	"fuchsiacross/link"
	"fuchsiacross/logevent"
	"fuchsiacross/processorspeed"
)

const (
	// speedInterval is the time between two measurements of the processor's speed. A
	// measurement takes some tens of microseconds, less than a thousandth of the interval.
	speedInterval = 100 * time.Millisecond
	// slowYieldDelay is how long a slow leader waits before it yields. By then, other
	// instances that became slow at the same time have reported it.
	slowYieldDelay = 400 * time.Millisecond
)

// monitorProcessorSpeed measures the processor and notifies the leaders when it becomes
// slow and when it is normal again. A leader that has become slow yields to an instance
// that now can lead more.
func (i *Instance) monitorProcessorSpeed() {
	monitor := processorspeed.New()
	for sleep(i.ctx, speedInterval) {
		if !monitor.Observe(monitor.Measure()) {
			continue
		}
		i.mu.Lock()
		i.slowdown, i.slowdownChangedAt = monitor.Slowdown(), time.Now()
		for _, s := range i.shards() {
			s.handovers = election.Handovers{}
		}
		i.mu.Unlock()
		logevent.ProcessorSpeedChanged.Log(i.log, zap.Float64("slowdown", monitor.Slowdown()), zap.Duration("best", monitor.BestMedian()))
		i.sendProcessorShares()
	}
}

// availableProcessorShare returns the processor time that this instance has for the shard
// now, as a share of one processor at normal speed.
func (s *shard) availableProcessorShare() float64 {
	s.instance.mu.Lock()
	defer s.instance.mu.Unlock()
	return s.instance.settings.ProcessorShare / max(1, s.instance.slowdown) / float64(1+s.countOtherLedShards())
}

// canYield reports whether a leader whose term began at termStart may yield to an instance
// that can lead more. It may do so again after each change of its own speed, and otherwise
// after a delay that grows with each time.
func (s *shard) canYield(now, termStart time.Time) bool {
	s.instance.mu.Lock()
	defer s.instance.mu.Unlock()
	if s.instance.slowdown > 1 {
		return s.handovers.Allows(now) && now.Sub(termStart) > slowYieldDelay && now.Sub(s.instance.slowdownChangedAt) > slowYieldDelay
	}
	return s.handovers.Allows(now) && now.Sub(termStart) > yieldDelay
}

// recordYield records that this instance yields the leadership.
func (s *shard) recordYield(now time.Time) {
	s.instance.mu.Lock()
	defer s.instance.mu.Unlock()
	s.handovers.Record(now)
}

// availableCapacity returns the share of a full shard's load that this instance can lead for
// the shard now.
func (s *shard) availableCapacity() float64 {
	s.instance.mu.Lock()
	defer s.instance.mu.Unlock()
	return s.instance.settings.leaderCapacity(s.instance.slowdown, s.countOtherLedShards())
}

// leaderCapacity returns the share of a full shard's load that the instance can lead beside
// other shards while its processor is slower than at its best.
func (s *Settings) leaderCapacity(slowdown float64, otherShards int64) float64 {
	return leadercapacity.Estimate(s.ProcessorShare, slowdown, s.LinkMegabits, s.MemoryMegabytes, s.MaxDescriptors, otherShards)
}

// sendProcessorShares notifies the leaders of all shards that other instances lead.
func (i *Instance) sendProcessorShares() {
	for _, s := range i.shards() {
		s.sendProcessorShare()
	}
}

func (s *shard) sendProcessorShare() {
	capacity := s.availableCapacity()
	s.instance.mu.Lock()
	leaderConn := s.leaderConn
	s.instance.mu.Unlock()
	if leaderConn != nil {
		leaderConn.Send(link.Message{Kind: link.KindProcessorShare, LeaderCapacity: capacity})
	}
}
