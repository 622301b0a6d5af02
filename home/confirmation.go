package home

import (
	"slices"
	"time"

	"fuchsiacross/event"
	"fuchsiacross/model"
)

// confirmationTimeout is how long a conclusion waits for its confirmation. Owners
// repeat their updates within that time.
const confirmationTimeout = 2 * time.Second

// confirmation is a conclusion from the absence of a request in the journal of a
// held partition. Another instance may have claimed the partition unnoticed and
// accepted the request, so the conclusion counts only once an append that was
// sent after it was drawn has been committed.
type confirmation struct {
	waiter    Waiter // that asked for the status of a request, or the zero Waiter
	request   model.RequestID
	from      model.InstanceID // sender of the update, if there is no waiter
	update    event.AttemptUpdate
	expiresAt time.Time
}

// reject tells a waiter that its answer could not be confirmed.
func (c confirmation) reject(emit func(event.Effect)) {
	if c.waiter != (Waiter{}) {
		c.waiter.Reject(emit, event.CodeUnavailable, "", "the journal has no record of the request, and whether it is current could not be confirmed; ask again")
	}
}

// confirmLater keeps a conclusion until the partition is confirmed, or gives it up
// after confirmationTimeout. An update that already waits is not kept twice.
func (p *partition) confirmLater(now time.Time, c confirmation) {
	isSame := func(other confirmation) bool {
		return other.waiter == c.waiter && other.from == c.from && other.update.Report.Attempt == c.update.Report.Attempt
	}
	if slices.ContainsFunc(p.unconfirmed, isSame) || slices.ContainsFunc(p.confirming, isSame) {
		return
	}
	if len(p.unconfirmed)+len(p.confirming) >= maxParked {
		c.reject(p.table.opts.Emit)
		return
	}
	c.expiresAt = now.Add(confirmationTimeout)
	p.unconfirmed = append(p.unconfirmed, c)
}

// requestConfirmation appends a claim if conclusions wait and no other append is
// due that would confirm them.
func (p *partition) requestConfirmation(now time.Time) {
	if len(p.unconfirmed) > 0 && !p.journal.HasDueRecords() {
		p.appendClaim(now)
	}
}

// startConfirming notes that a write is sent which confirms the conclusions drawn
// until now.
func (p *partition) startConfirming() {
	p.confirming = append(p.confirming, p.unconfirmed...)
	p.unconfirmed = nil
}

// finishConfirming acts on the conclusions that a committed write has confirmed.
func (p *partition) finishConfirming(now time.Time) {
	confirmed := p.confirming
	p.confirming = nil
	for _, c := range confirmed {
		p.table.handleConfirmed(now, p, c)
	}
}

// restartConfirming makes conclusions wait for another write after one has
// failed.
func (p *partition) restartConfirming() {
	p.unconfirmed = append(p.confirming, p.unconfirmed...)
	p.confirming = nil
}

// expireConfirmations gives up the conclusions that were not confirmed in time.
func (p *partition) expireConfirmations(now time.Time) {
	isExpired := func(c confirmation) bool {
		expired := !now.Before(c.expiresAt)
		if expired {
			c.reject(p.table.opts.Emit)
		}
		return expired
	}
	p.unconfirmed = slices.DeleteFunc(p.unconfirmed, isExpired)
	p.confirming = slices.DeleteFunc(p.confirming, isExpired)
}

// dropConfirmations gives up all conclusions because the partition is given up.
func (p *partition) dropConfirmations() {
	p.restartConfirming()
	for _, c := range p.unconfirmed {
		c.reject(p.table.opts.Emit)
	}
	p.unconfirmed = nil
}

// handleConfirmed acts on a confirmed conclusion unless the request is known by
// now.
func (t *Table) handleConfirmed(now time.Time, p *partition, c confirmation) {
	_, inMemory := t.requests[c.request]
	_, inJournal := p.journal.Entry(c.request)
	isKnown := inMemory || inJournal
	switch {
	case c.waiter != (Waiter{}) && isKnown:
		t.AnswerStatus(now, c.waiter, c.request)
	case c.waiter != (Waiter{}):
		c.waiter.SendOutcome(t.opts.Emit, model.Outcome{
			Status: model.StatusNotFound,
			Reason: "no journal has the request; an urgent idempotent request is known only to the instance that took it",
		})
	case isKnown:
		t.HandleAttemptUpdate(now, c.from, c.update)
	default:
		t.acknowledgeResult(c.from, c.update)
	}
}
