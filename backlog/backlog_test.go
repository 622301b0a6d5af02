package backlog_test

import (
	"reflect"
	"testing"
	"time"

	"fuchsiacross/backlog"
)

var start = time.Date(2026, 12, 7, 8, 0, 0, 0, time.UTC)

// Guards against jobs without end that take the memory of a leader, and against a queue that
// nothing runs and that closes the others.
func TestMeterRefusals(t *testing.T) {
	tests := []struct {
		name     string
		limit    int64
		bytes    map[string]int64
		released int64 // of the queue "a" in the second before
		want     []backlog.Refusal
	}{
		{"below the open part", 100, map[string]int64{"a": 74}, 0, nil},
		{"one queue above its share", 100, map[string]int64{"a": 70, "b": 9}, 0, []backlog.Refusal{{Queue: "a", Wait: 30 * time.Second}}},
		{"all queues at the limit", 100, map[string]int64{"a": 60, "b": 40}, 0, []backlog.Refusal{{Queue: "a", Wait: 30 * time.Second}, {Queue: "b", Wait: 30 * time.Second}}},
		{"jobs that end", 100, map[string]int64{"a": 78, "b": 9}, 10, []backlog.Refusal{{Queue: "a", Wait: 4 * time.Second}}},
		{"jobs that end fast", 100, map[string]int64{"a": 70, "b": 9}, 1000, []backlog.Refusal{{Queue: "a", Wait: time.Second}}},
		{"no limit", 0, map[string]int64{"a": 1 << 40}, 0, nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			m := backlog.NewMeter(test.limit)
			m.Refusals(start, 3)
			m.Add("a", test.released)
			m.Add("a", -test.released)
			for queue, bytes := range test.bytes {
				m.Add(queue, bytes)
			}
			if got := m.Refusals(start.Add(time.Second), 3); !reflect.DeepEqual(got, test.want) {
				t.Errorf("refusals %v, want %v", got, test.want)
			}
		})
	}
}

// Guards against a limit that a lost leader leaves behind.
func TestGateForgetsASilentLeader(t *testing.T) {
	g := backlog.NewGate(0)
	g.Announce(1, backlog.Announcement{Refusals: []backlog.Refusal{{Queue: "a", Wait: 3 * time.Second}}, At: start})
	tests := []struct {
		shard   int
		queue   string
		after   time.Duration
		refused bool
	}{
		{1, "a", 0, true},
		{1, "a", 2 * time.Second, true},
		{1, "a", 2*time.Second + 1, false},
		{1, "b", 0, false},
		{0, "a", 0, false},
	}
	for _, test := range tests {
		wait, refused := g.Admit(start.Add(test.after), test.shard, test.queue, 1<<40)
		if refused != test.refused || refused && wait != 3*time.Second {
			t.Errorf("%+v: refused %t, wait %s", test, refused, wait)
		}
	}
}

// Guards against jobs that are accepted without bound while no leader is heard.
func TestGateBoundsJobsWithoutLeader(t *testing.T) {
	g := backlog.NewGate(800)
	size := int64(10)
	admitted := func(shard int) (count int) {
		for range 20 {
			if _, refused := g.Admit(start, shard, "a", size); !refused {
				count++
			}
		}
		return count
	}
	steps := []struct {
		name  string
		act   func()
		shard int
		want  int
	}{
		{"before a leader is heard", func() {}, 0, 10},
		{"again", func() {}, 0, 0},
		{"of another shard", func() {}, 1, 10},
		{"once it is heard, of any size", func() { g.Heard(1); size = 1000 }, 1, 1},
		{"small ones again", func() { g.Heard(1); size = 10 }, 1, 10},
		{"once it is heard", func() { g.Heard(0) }, 0, 10},
		{"once it announces no refusals", func() { g.Announce(0, backlog.Announcement{At: start}) }, 0, 10},
	}
	for _, s := range steps {
		s.act()
		if got := admitted(s.shard); got != s.want {
			t.Errorf("%s: %d jobs are admitted, want %d", s.name, got, s.want)
		}
	}
}
