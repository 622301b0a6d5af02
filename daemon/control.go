package daemon

import (
	"time"

	"go.uber.org/zap"

	"fuchsiacross/event"
	"fuchsiacross/logevent"
)

// control owns the reducer until the daemon quits.
func (d *Daemon) control() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	var spare []event.Event
	var measured time.Time
	woken := time.Now()
	for {
		select {
		case <-d.quit:
			return
		case <-ticker.C:
			d.apply(event.Tick{})
		case <-d.mailbox.signal:
		}
		woken = d.noteDelay(woken)
		events := d.mailbox.take(spare[:0])
		for i, e := range events {
			d.apply(e)
			events[i] = nil
		}
		spare = events
		if now := time.Now(); now.Sub(measured) >= measureInterval {
			measured = now
			d.measure()
		}
	}
}

// noteDelay logs when the control goroutine has not run for long, because it is
// overloaded or the process was paused, and returns the present time.
func (d *Daemon) noteDelay(woken time.Time) time.Time {
	now := time.Now()
	if delay := now.Sub(woken); delay > delayLimit {
		logevent.ControlEventsDelayed.Log(d.log, zap.Duration("delay", delay))
	}
	return now
}

// apply carries out one event and its effects.
func (d *Daemon) apply(e event.Event) {
	now := time.Now()
	if read, ok := e.(event.PlatformListRead); ok {
		d.links.SetPeers(read.Instances)
	}
	effects := d.reducer.Apply(now, e)
	if current := d.reducer.Document(); current.Revision > d.document.Load().Revision {
		d.document.Store(current)
	}
	for _, effect := range effects {
		d.carryOut(now, effect)
	}
}

func (d *Daemon) carryOut(now time.Time, e event.Effect) {
	switch e := e.(type) {
	case event.Trace:
		d.trace(now, e)
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
