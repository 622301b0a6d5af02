package intake

import "container/list"

// Verdict is the decision on bytes that a body asks for.
type Verdict int

// The verdicts.
const (
	Granted Verdict = iota
	Delayed         // bodies are being evicted; ask again when one has been released
	Refused
)

// Body is a body that is being received or whose request is being processed.
type Body struct {
	held    int64
	whole   bool
	evicted bool
	element *list.Element // in Ledger.incomplete; nil if the body is whole or evicted
}

// Ledger decides which bodies are kept. It addresses clients that send large bodies and stop
// short of their end. The oldest incomplete bodies are evicted first, since an ordinary body
// arrives within milliseconds. Whole bodies are not evicted: their job may have been stored.
type Ledger struct {
	limit      int64
	held       int64
	wholeBytes int64     // part of held
	leaving    int64     // part of held that evicted bodies are about to release
	incomplete list.List // of *Body, the oldest first
}

// NewLedger returns a ledger without bodies.
func NewLedger(limit int64) *Ledger { return &Ledger{limit: limit} }

// Held returns the bytes that all bodies hold.
func (l *Ledger) Held() int64 { return l.held }

// Open adds an incomplete body without bytes. It returns nil if the declared length does not
// fit even if all older incomplete bodies are evicted. The length is negative if unknown.
func (l *Ledger) Open(declared int64) *Body {
	if declared > l.limit-l.wholeBytes {
		return nil
	}
	b := &Body{}
	b.element = l.incomplete.PushBack(b)
	return b
}

// Grow requests further bytes for a body. It returns the bodies that it evicts; these keep
// their bytes until they are released. A body that is itself the oldest one, or that needs
// more than all older ones hold, is refused.
func (l *Ledger) Grow(b *Body, n int64) (Verdict, []*Body) {
	if b.evicted {
		return Refused, nil
	}
	if l.held+n <= l.limit {
		l.held += n
		b.held += n
		return Granted, nil
	}
	missing := l.held - l.leaving + n - l.limit
	var victims []*Body
	for element := l.incomplete.Front(); missing > 0; element = element.Next() {
		if element == nil || element.Value == b {
			return Refused, nil
		}
		if victim := element.Value.(*Body); victim.held > 0 {
			victims = append(victims, victim)
			missing -= victim.held
		}
	}
	for _, victim := range victims {
		l.incomplete.Remove(victim.element)
		victim.element, victim.evicted = nil, true
		l.leaving += victim.held
	}
	return Delayed, victims
}

// Shrink returns bytes of a body that has not been released.
func (l *Ledger) Shrink(b *Body, n int64) {
	l.held -= n
	b.held -= n
	if b.evicted {
		l.leaving -= n
	}
	if b.whole {
		l.wholeBytes -= n
	}
}

// Complete marks a body as whole, so that it is no longer evicted. It returns false if the
// body has been evicted.
func (l *Ledger) Complete(b *Body) bool {
	if b.evicted {
		return false
	}
	l.incomplete.Remove(b.element)
	b.element, b.whole = nil, true
	l.wholeBytes += b.held
	return true
}

// Release removes a body with all its bytes.
func (l *Ledger) Release(b *Body) {
	l.Shrink(b, b.held)
	if b.element != nil {
		l.incomplete.Remove(b.element)
		b.element = nil
	}
}
