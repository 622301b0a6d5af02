package instance

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"fuchsiacross/logevent"
)

var _ = Describe("A leader's load", func() {
	start := time.UnixMilli(0)
	tests := []struct {
		name      string
		decided   time.Duration // in two seconds
		tickDelay time.Duration
		event     logevent.Event
	}{
		{"a usual load", 400 * time.Millisecond, 5 * time.Millisecond, logevent.LeaderLoad},
		{"decisions that take most of the time", 1200 * time.Millisecond, 5 * time.Millisecond, logevent.LeaderOverloaded},
		{"events that wait", 400 * time.Millisecond, 300 * time.Millisecond, logevent.LeaderOverloaded},
	}
	for _, test := range tests {
		It("is logged every two seconds: "+test.name, func() {
			core, logs := observer.New(zapcore.DebugLevel)
			load := leaderLoad{since: start}
			load.record(100, 3, test.decided, 10*time.Millisecond)
			load.recordTick(tickInterval + test.tickDelay)
			load.report(zap.New(core), start.Add(loadReportInterval-time.Millisecond))
			Expect(logs.Len()).To(BeZero())
			load.report(zap.New(core), start.Add(loadReportInterval))
			Expect(logs.FilterMessage(test.event.Message).Len()).To(Equal(1))
			load.report(zap.New(core), start.Add(2*loadReportInterval))
			Expect(logs.FilterMessage(logevent.LeaderLoad.Message).FilterField(zap.Int("events", 0)).Len()).To(Equal(1), "counts anew")
		})
	}
})
