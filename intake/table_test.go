package intake

import "testing"

func openEntry(t *testing.T, table *Table) *Entry {
	t.Helper()
	e, evicted := table.Open()
	if e == nil || evicted != nil {
		t.Fatal("a connection below the limit is refused or evicts another one")
	}
	return e
}

// Guards against clients that keep connections with nothing or half a header and leave none
// to others.
func TestTableEvictsIncompleteRequestsFirst(t *testing.T) {
	table := NewTable(16)
	entries := make([]*Entry, 16)
	for n := range entries {
		entries[n] = openEntry(t, table)
	}
	for _, e := range entries[:14] {
		table.Move(e, PhaseLinked)
	}
	table.Move(entries[15], PhaseReceiving)
	for n, want := range []*Entry{entries[15], entries[14]} {
		e, evicted := table.Open()
		if e == nil || evicted != want || want.Phase() != PhaseEvicted {
			t.Fatalf("connection %d evicts another one than expected", n)
		}
		table.Move(e, PhaseLinked)
	}
	if e, _ := table.Open(); e != nil {
		t.Fatal("connections that are not closed yet do not count")
	}
	table.Remove(entries[15])
	if e, _ := table.Open(); e != nil {
		t.Fatal("a link is evicted")
	}
	table.Remove(entries[0])
	table.Remove(entries[0])
	openEntry(t, table)
	if table.Len() != 17 {
		t.Fatalf("%d connections are counted", table.Len())
	}
}

// Guards against clients that send one whole request after the other on all connections, and
// against the eviction of a client that waits for its answer in their place.
func TestTableEvictsNewestWholeRequest(t *testing.T) {
	table := NewTable(8)
	var entries []*Entry
	for range 8 {
		entries = append(entries, openEntry(t, table))
	}
	for _, n := range []int{0, 1, 2, 3, 4, 5, 6, 7, 3} {
		table.Move(entries[n], PhaseIdle)
		table.Move(entries[n], PhaseServing)
	}
	if e, evicted := table.Open(); e == nil || evicted != entries[3] {
		t.Fatal("the connection that began a request last is not evicted")
	}
}

// Guards against a client that delays its eviction by sending more of its header.
func TestTableCountsAgeFromBeginOfPhase(t *testing.T) {
	table := NewTable(8)
	var entries []*Entry
	for range 8 {
		entries = append(entries, openEntry(t, table))
	}
	for _, n := range []int{3, 5, 3} {
		table.Move(entries[n], PhaseReceiving)
	}
	if _, evicted := table.Open(); evicted != entries[3] {
		t.Fatal("the connection with the oldest incomplete request is not evicted")
	}
}

// Guards against bounds that ordinary clients meet or that do not fit the smallest machines.
func TestDefaultBounds(t *testing.T) {
	for _, test := range []struct {
		memory, descriptors           int64
		callers, peers, bodyMegabytes int
	}{
		{144, 3075, 384, 96, 9},
		{184, 3075, 490, 122, 11},
		{284, 10250, 757, 189, 17},
		{536, 10250, 1429, 256, 33},
		{144, 0, 384, 96, 9},
		{144, 600, 200, 96, 9},
		{16, 0, 192, 32, 2},
		{65536, 0, 4096, 256, 4096},
	} {
		b := DefaultBounds(test.memory, test.descriptors)
		if b.CallerConnections != test.callers || b.PeerConnections != test.peers || int(b.BodyBytes>>20) != test.bodyMegabytes {
			t.Errorf("%d MB, %d descriptors: %+v", test.memory, test.descriptors, b)
		}
	}
}

// Guards against bounds that the 95 clients of a zone meet on the smallest machine, with four
// connections and two requests of 8 KB each at a time.
func TestOrdinaryClientsMeetNoBound(t *testing.T) {
	const clients, bodyBytes = 95, 8 << 10
	bounds := DefaultBounds(144, 3075)
	table, ledger := NewTable(bounds.CallerConnections), NewLedger(bounds.BodyBytes)
	for range 4 * clients {
		openEntry(t, table)
	}
	for range 2 * clients {
		b := ledger.Open(bodyBytes)
		if b == nil {
			t.Fatal("a body is refused")
		}
		if verdict, _ := ledger.Grow(b, wholeFactor*bodyBytes); verdict != Granted || !ledger.Complete(b) {
			t.Fatal("a body does not fit")
		}
	}
}
