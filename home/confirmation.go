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
	from      model.InstanceID // sender of the update
	update    event.AttemptUpdate
	expiresAt time.Time
}

// confirmLater keeps a conclusion until the partition is confirmed, or drops it
// after confirmationTimeout. An update that already waits is not kept twice.
func (p *partition) confirmLater(now time.Time, c confirmation) {
	isSame := func(other confirmation) bool {
		return other.from == c.from && other.update.Report.Attempt == c.update.Report.Attempt
	}
	if slices.ContainsFunc(p.unconfirmed, isSame) || slices.ContainsFunc(p.confirming, isSame) {
		return
	}
	if len(p.unconfirmed)+len(p.confirming) >= maxParked {
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

// expireConfirmations drops the conclusions that were not confirmed in time.
func (p *partition) expireConfirmations(now time.Time) {
	isExpired := func(c confirmation) bool { return !now.Before(c.expiresAt) }
	p.unconfirmed = slices.DeleteFunc(p.unconfirmed, isExpired)
	p.confirming = slices.DeleteFunc(p.confirming, isExpired)
}

// dropConfirmations drops all conclusions because the partition is given up.
func (p *partition) dropConfirmations() {
	p.unconfirmed, p.confirming = nil, nil
}

// handleConfirmed acts on a confirmed conclusion unless the journal has the
// request by now.
func (t *Table) handleConfirmed(now time.Time, p *partition, c confirmation) {
	id := c.update.Report.Attempt.Request
	_, inMemory := t.requests[id]
	_, inJournal := p.journal.Entry(id)
	if inMemory || inJournal {
		t.HandleAttemptUpdate(now, c.from, c.update)
		return
	}
	t.acknowledgeResult(c.from, c.update)
}
