package daemon

import (
	"time"

	"go.uber.org/zap"

	"fuchsiacross/event"
	"fuchsiacross/logevent"
)

// runControlLoop applies events to the reducer until quit is closed. It is the only
// goroutine that uses the reducer.
func (d *Daemon) runControlLoop() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	var spare []event.Event
	var metricsUpdatedAt time.Time
	lastWakeup := time.Now()
	for {
		select {
		case <-d.quit:
			return
		case <-ticker.C:
			d.applyEvent(event.Tick{})
		case <-d.mailbox.notify:
		}
		lastWakeup = d.logControlDelay(lastWakeup)
		events := d.mailbox.takeAll(spare[:0])
		for i, e := range events {
			d.applyEvent(e)
			events[i] = nil
		}
		spare = events
		if now := time.Now(); now.Sub(metricsUpdatedAt) >= metricsInterval {
			metricsUpdatedAt = now
			d.updateMetrics()
		}
	}
}

// logControlDelay logs if the control goroutine has not run for longer than
// controlDelayThreshold, because the process is overloaded or was paused. It returns
// the current time.
func (d *Daemon) logControlDelay(lastWakeup time.Time) time.Time {
	now := time.Now()
	if delay := now.Sub(lastWakeup); delay > controlDelayThreshold {
		logevent.ControlEventsDelayed.Log(d.log, zap.Duration("delay", delay))
	}
	return now
}

// applyEvent applies one event to the reducer and executes the resulting effects.
func (d *Daemon) applyEvent(e event.Event) {
	now := time.Now()
	if read, ok := e.(event.PlatformListRead); ok {
		d.links.SetPeers(read.Instances)
	}
	effects := d.reducer.Apply(now, e)
	if current := d.reducer.Document(); current.Revision > d.document.Load().Revision {
		d.document.Store(current)
	}
	for _, effect := range effects {
		d.executeEffect(now, effect)
	}
}

// executeEffect hands an effect to the adapter that implements it. It must not block.
func (d *Daemon) executeEffect(now time.Time, e event.Effect) {
	switch e := e.(type) {
	case event.Trace:
		d.recordTrace(now, e)
	case event.Stopped:
		close(d.stopped)
	case event.Reply, event.Reject:
		if !d.callers.Apply(e) {
			d.operators.Apply(e)
		}
	case event.AnswerQuery:
		d.operators.Apply(e)
	case event.SendPeer:
		d.links.Apply(e)
	case event.FetchDocument:
		if !d.links.Apply(e) {
			d.platform.Apply(e)
		}
	case event.LoadJournal, event.CommitJournal, event.CompactJournal:
		d.platform.Apply(e)
	default:
		if !d.workers.Apply(e) {
			logevent.EffectUnhandled.Log(d.log, zap.Any("effect", e))
		}
	}
}
