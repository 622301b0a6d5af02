package instance

import (
	"runtime"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"fuchsiacross/link"
	"fuchsiacross/logevent"
	"fuchsiacross/platform/operator"
	"fuchsiacross/platform/store"
)

const (
	// configurationWaitWithKeys is how long the store waits for a change of the configuration
	// if requests need keys, since a revoked key must not be accepted for long.
	configurationWaitWithKeys = 400 * time.Millisecond
	// configurationMargin is added to the wait to get the time without an answer of the store
	// after which the instance asks another one, every configurationRequestInterval.
	configurationMargin          = 300 * time.Millisecond
	configurationRequestInterval = 500 * time.Millisecond
	// configurationRequestTimeout allows for a row of some tens of kilobytes on a link of
	// 10 Mbit/s that carries other messages.
	configurationRequestTimeout = time.Second
	feedCheckInterval           = 100 * time.Millisecond
)

// configurationWait returns how long the store waits for a change of the configuration.
func (i *Instance) configurationWait() time.Duration {
	if i.keysRequired() {
		return configurationWaitWithKeys
	}
	return store.DefaultChangesWait
}

// configurationLimit returns the time without an answer of the store after which the
// configuration is overdue.
func (i *Instance) configurationLimit() time.Duration {
	return i.configurationWait() + configurationMargin
}

// recordConfigurationReading records an answered reading of the configuration.
func (i *Instance) recordConfigurationReading(sentAt time.Time) {
	now := time.Now()
	if previousAt, wasOverdue := i.feed.RecordReading(sentAt, now); wasOverdue {
		logevent.ConfigurationConfirmed.Log(i.log, zap.Int64("version", i.configurationVersion()), zap.Duration("since_answer", now.Sub(previousAt)))
	}
}

// configurationVersion returns the version in force, or zero.
func (i *Instance) configurationVersion() int64 {
	if c := i.configuration.Load(); c != nil {
		return c.Version
	}
	return 0
}

// watchConfigurationFeed logs why the configuration is not confirmed, and measures how late
// goroutines run.
func (i *Instance) watchConfigurationFeed() {
	for {
		wakeAt := time.Now().Add(feedCheckInterval)
		if !sleep(i.ctx, feedCheckInterval) {
			return
		}
		// The scheduler runs a goroutine that a timer has woken before others. Behind them is where
		// an answer of the store is handled.
		runtime.Gosched()
		now := time.Now()
		i.feed.RecordWake(now.Sub(wakeAt))
		report, due := i.feed.Report(now, i.configurationLimit())
		if !due {
			continue
		}
		fields := []zap.Field{
			zap.Int64("version", i.configurationVersion()), zap.Duration("since_answer", now.Sub(report.AnsweredAt)),
			zap.Duration("unconfirmed", i.feed.Unconfirmed(now)), zap.Duration("longest_wake", report.LongestWake), zap.Int("goroutines", runtime.NumGoroutine()),
		}
		for cause, n := range report.Failures {
			fields = append(fields, zap.Int(string(cause), n))
		}
		logevent.ConfigurationOverdue.Log(i.log, fields...)
		i.counter("configuration.overdue").Inc(1)
	}
}

// updateFeedMetrics sets the gauges of the configuration.
func (i *Instance) updateFeedMetrics() {
	metrics.GetOrRegisterGauge("configuration.version", i.metrics).Update(i.configurationVersion())
	metrics.GetOrRegisterGauge("configuration.unconfirmed_milliseconds", i.metrics).Update(i.feed.Unconfirmed(time.Now()).Milliseconds())
}

// configurationSource sends a request for the configuration to another instance and returns the
// answer.
type configurationSource func(deadline time.Time, request link.Message) (link.Message, error)

// followOtherInstances asks other instances for the newest configuration while the store does
// not answer.
func (i *Instance) followOtherInstances() {
	for turn := 0; sleep(i.ctx, feedCheckInterval); turn++ {
		if !i.feed.IsOverdue(time.Now(), i.configurationLimit()) {
			continue
		}
		sentAt := time.Now()
		if sources := i.configurationSources(); len(sources) > 0 {
			i.requestConfiguration(sources[turn%len(sources)], sentAt)
		}
		sleep(i.ctx, time.Until(sentAt.Add(configurationRequestInterval-feedCheckInterval)))
	}
}

// configurationSources returns the instances to ask, in a fixed order: the linked leaders or, if
// there is none, the instances that are linked to this one as a leader.
func (i *Instance) configurationSources() (sources []configurationSource) {
	var terms []*leadership
	i.mu.Lock()
	for _, s := range i.shards() {
		switch {
		case s.ownLeadership != nil:
			terms = append(terms, s.ownLeadership)
		case s.leaderConn != nil:
			sources = append(sources, s.callLeader)
		}
	}
	i.mu.Unlock()
	if len(sources) > 0 {
		return sources
	}
	for _, term := range terms {
		for _, conn := range term.linkedConns() {
			sources = append(sources, func(deadline time.Time, request link.Message) (link.Message, error) {
				return i.callLinked(conn, deadline, request)
			})
		}
	}
	return sources
}

// requestConfiguration asks another instance for the newest configuration and puts it in force.
func (i *Instance) requestConfiguration(ask configurationSource, sentAt time.Time) {
	request := link.Message{Kind: link.KindConfigurationRequest, Version: i.configurationVersion()}
	a, err := ask(sentAt.Add(configurationRequestTimeout), request)
	if err != nil || a.Kind != link.KindConfigurationResponse {
		return
	}
	if !a.Known && i.configuration.Load() == nil {
		// The other instance may be behind, and a process must not begin with an old version.
		return
	}
	if len(a.Data) > 0 {
		c, err := operator.DecodeWithoutKeys(a.Data)
		if err != nil {
			i.refuseConfiguration(0, err)
			return
		}
		if i.applyConfiguration(c, a.Data) {
			i.counter("configuration.relayed").Inc(1)
			logevent.ConfigurationRelayed.Log(i.log, zap.Int64("version", c.Version))
		}
	}
	if a.Known && i.configurationVersion() >= a.Version {
		i.feed.RecordRelay(sentAt)
	}
}

// configurationAnswer returns the answer to another instance's request for the configuration.
// Only the store's answers count as a confirmation: two instances that are cut off from the
// store would otherwise confirm each other.
func (i *Instance) configurationAnswer(m link.Message) link.Message {
	a := link.Message{Kind: link.KindConfigurationResponse, Number: m.Number}
	// The freshness is read first, so that the version is at least as new as what it confirms.
	a.Known = i.freshness(false).IsConfirmed(time.Now())
	if c := i.configuration.Load(); c != nil {
		a.Version = c.Version
		if c.Version > m.Version {
			a.Data = c.row
		}
	}
	return a
}
