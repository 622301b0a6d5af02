package runtimes_test

import (
	"testing"
	"time"

	"fuchsiacross/runtimes"
)

// BenchmarkScore measures the score of a place, which a leader with 350 workers computes some
// hundred thousand times a second.
func BenchmarkScore(b *testing.B) {
	f := newFleet(350, 1/0.7, 1/0.7, 1/1.7)
	f.run(30, 1, f.all()...)
	queue := &runtimes.Forecast{}
	for n := range 100 {
		queue.ObserveRun(time.Second, time.Duration(1+n%3)*time.Second)
	}
	p := f.speeds.Placement(runtimes.Need{Expected: time.Second, First: 2 * time.Second, Second: 6 * time.Second}, queue)
	pace, sum := runtimes.Pace{}, 0.0
	for n := range b.N {
		sum += p.Score(&pace, f.workers[n%len(f.workers)])
	}
	if sum == 0 {
		b.Fatal("no score")
	}
}
