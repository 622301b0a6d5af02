package intake

import "testing"

// Guards against bodies that stay open just short of their end and leave no bytes to others.
func TestLedgerEvictsOldestIncompleteBodies(t *testing.T) {
	l := NewLedger(100)
	idle, oldest, whole, newest := l.Open(10), l.Open(40), l.Open(30), l.Open(-1)
	for _, step := range []struct {
		body  *Body
		bytes int64
	}{{oldest, 40}, {whole, 30}, {newest, 30}} {
		if verdict, _ := l.Grow(step.body, step.bytes); verdict != Granted {
			t.Fatalf("%d bytes are not granted", step.bytes)
		}
	}
	if !l.Complete(whole) {
		t.Fatal("a body that was not evicted does not count as whole")
	}
	next := l.Open(20)
	verdict, evicted := l.Grow(next, 20)
	if verdict != Delayed || len(evicted) != 1 || evicted[0] != oldest {
		t.Fatalf("verdict %d, %d evicted; want the oldest body that holds bytes", verdict, len(evicted))
	}
	if verdict, evicted = l.Grow(next, 20); verdict != Delayed || len(evicted) != 0 {
		t.Fatal("further bodies are evicted while the bytes of the first one are not released")
	}
	if verdict, _ = l.Grow(oldest, 1); verdict != Refused || l.Complete(oldest) {
		t.Fatal("an evicted body goes on")
	}
	l.Release(oldest)
	if verdict, _ = l.Grow(next, 20); verdict != Granted || l.Held() != 80 {
		t.Fatalf("verdict %d, %d bytes held", verdict, l.Held())
	}
	for _, b := range []*Body{idle, whole, newest, next} {
		l.Release(b)
	}
	if l.Held() != 0 || l.leaving != 0 || l.wholeBytes != 0 || l.incomplete.Len() != 0 {
		t.Fatalf("bytes are left: %+v", l)
	}
}

// Guards against the eviction of bodies whose job may have been stored, and against bodies
// that are begun although they can never fit.
func TestLedgerKeepsWholeBodies(t *testing.T) {
	l := NewLedger(100)
	whole, incomplete := l.Open(70), l.Open(20)
	l.Grow(whole, 70)
	l.Grow(incomplete, 20)
	l.Complete(whole)
	if l.Open(31) != nil {
		t.Fatal("a declared length is admitted that needs the bytes of whole bodies")
	}
	late := l.Open(30)
	if late == nil {
		t.Fatal("a declared length is refused that fits after evictions")
	}
	if verdict, evicted := l.Grow(late, 31); verdict != Refused || len(evicted) != 0 {
		t.Fatal("bodies are evicted for a body that does not fit even so")
	}
	if verdict, _ := l.Grow(incomplete, 11); verdict != Refused {
		t.Fatal("a newer body is evicted for the oldest one")
	}
}

// Guards against bytes that count as free before they are, while buffers are replaced.
func TestLedgerCountsShrunkBodies(t *testing.T) {
	l := NewLedger(100)
	first, second := l.Open(-1), l.Open(-1)
	l.Grow(first, 90)
	l.Grow(second, 60)
	l.Shrink(first, 30)
	if l.Held() != 60 || l.leaving != 60 {
		t.Fatalf("%d held, %d leaving", l.Held(), l.leaving)
	}
	if verdict, _ := l.Grow(second, 40); verdict != Granted {
		t.Fatal("released bytes are not granted")
	}
}
