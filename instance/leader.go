package instance

import (
	"cmp"
	"context"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"fuchsiacross/backlog"
	"fuchsiacross/dispatch"
	"fuchsiacross/job"
	"fuchsiacross/jobstore"
	"fuchsiacross/link"
	"fuchsiacross/logevent"
)

const (
	eventQueueLength            = 8192
	maxEventBatch               = 256 // maximum number of events in a batch; tasks are placed after each batch
	tickInterval                = 25 * time.Millisecond
	dialRetryDelay              = 400 * time.Millisecond
	preferredConfirmInterval    = 200 * time.Millisecond // interval of confirmations to the instances that prefer the shard
	nonPreferredConfirmInterval = time.Second            // interval of confirmations to the others
	slowSaveThreshold           = 600 * time.Millisecond // a slower write is logged; above the time of one transaction of a slow store
	loadTimeout                 = 5 * time.Second
	loadRetryDelay              = 200 * time.Millisecond
	// maxLoaderAge and a last loadTimeout are shorter than the time for which the reducer knows
	// jobs whose rows are removed: a row that was read earlier would bring such a job back.
	maxLoaderAge = 20 * time.Second
	// pendingStartsPerProcessor limits, for each processor, the starts that wait for their
	// answers at the same time. At 0.1 s for an answer this makes 800 starts a second, which
	// a processor sustains at 1.2 ms for each start. The limit of a leader is at least
	// minPendingStartsLimit.
	pendingStartsPerProcessor = 80
	minPendingStartsLimit     = 8
	// jobChangesInterval is the time between two reads of the changes of jobs.
	jobChangesInterval = 300 * time.Millisecond
	// resignTimeout allows for a slow store; the instance keeps leading in the meantime.
	resignTimeout = 2500 * time.Millisecond
	// announceDelay gives the announcement of a release time to be sent before the links
	// close.
	announceDelay     = 40 * time.Millisecond
	yieldDelay        = 2 * time.Second        // time that a leader leads before it may yield to a larger instance
	yieldFactor       = 1.3                    // ratio of capacities above which a leader yields to another instance
	lateTickThreshold = 500 * time.Millisecond // a tick that is later is logged
)

// leadership is one term of this instance as the leader of a shard. One goroutine owns the
// reducer; all others post events to it.
type leadership struct {
	instance *Instance
	shard    *shard
	token    int64 // fencing token; higher than that of each earlier term
	events   chan any
	// configurations holds the newest configuration that the reducer has not applied.
	configurations chan *job.Configuration
	ctx            context.Context
	cancel         context.CancelFunc
	goroutines     sync.WaitGroup
	saver          *jobstore.Saver
	released       atomic.Bool // the release is stored: a successor may already act
	// confirmedAt is the last time at which the store is known to have had this leader.
	confirmedAt atomic.Pointer[time.Time]

	mu                   sync.Mutex
	members              map[string]*member
	preferredConfirmedAt time.Time     // last confirmation to the instances that prefer the shard
	allConfirmedAt       time.Time     // last confirmation to all instances
	lastWriteTime        time.Duration // duration of the last write to the store
	resigning            bool
	admission            *dispatch.Admission // the last one; nil without tenants
	backlogRefusals      []backlog.Refusal

	load leaderLoad // of the control goroutine, which alone uses it
}

// member is another instance, as a leader knows it.
type member struct {
	address     netip.AddrPort
	incarnation int64
	capacity    float64 // share of a full shard's load that it can lead
	cancel      context.CancelFunc
	conn        *link.Conn // nil while no link is open
}

// reducerQuery is an event that reads the state of the reducer.
type reducerQuery func(*dispatch.Reducer)

// runTerm leads the shard until the term ends. The claim was sent at claimedAt; it replaced
// the row of previousVersion, or created the row if that is zero, and was stored as
// version.
func (s *shard) runTerm(claimed jobstore.LeaderRow, previousVersion, version int64, claimedAt time.Time) {
	i := s.instance
	ctx, cancel := context.WithCancel(i.ctx)
	l := &leadership{
		instance: i, shard: s, token: claimed.Token, events: make(chan any, eventQueueLength),
		configurations: make(chan *job.Configuration, 1), ctx: ctx, cancel: cancel, members: map[string]*member{},
	}
	l.confirmedAt.Store(&claimedAt)
	reducer := dispatch.New(dispatch.Options{
		Token: l.token, ClaimedAt: claimedAt, PredecessorSuspectedAt: claimedAt, FirstLeader: previousVersion == 0,
		ClaimVersion: version, PredecessorVersion: previousVersion,
		MaxHoldMilliseconds: i.settings.MaxHoldMilliseconds, StopTimeoutMilliseconds: i.settings.StopTimeoutMilliseconds,
		RetentionSeconds: i.settings.RetentionSeconds, LeaderCount: s.table.shardMap.Shards, Shard: s.number,
		MaxRowBytes:      i.settings.MaxRowBytes,
		MaxBacklogBytes:  maxBacklogBytes(&i.settings),
		MaxPendingStarts: max(minPendingStartsLimit, int(pendingStartsPerProcessor*s.availableProcessorShare())),
	})
	l.saver = jobstore.NewSaver(s.jobs, claimed, version, l.handleSaveReport)
	// A configuration that comes into force meanwhile would otherwise reach neither the term nor
	// its first event.
	i.configurationMutex.Lock()
	i.mu.Lock()
	previousConn := s.leaderConn
	s.leaderConn, s.ownLeadership, s.token = nil, l, claimed.Token
	i.mu.Unlock()
	first := i.configuration.Load().Configuration
	i.configurationMutex.Unlock()
	l.applyEvents(reducer, time.Now(), dispatch.ConfigurationChanged{Configuration: first})
	if previousConn != nil {
		previousConn.Close()
	}
	s.reportUnreportedJobs()
	i.sendProcessorShares()
	l.goroutines.Go(func() { l.followJobs(version) })
	l.goroutines.Go(l.followWorkers)
	l.goroutines.Go(l.followMembers)
	l.postAdviceLanes()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	lastTick := time.Now()
	termStart := lastTick
	l.load.since = lastTick
	batch := make([]any, 0, maxEventBatch)
	for running := true; running; {
		select {
		case <-ctx.Done():
			running = false
		case c := <-l.configurations:
			l.applyEvents(reducer, time.Now(), dispatch.ConfigurationChanged{Configuration: c})
		case e := <-l.events:
			batch = append(batch[:0], e)
			for len(batch) < maxEventBatch && len(l.events) > 0 {
				batch = append(batch, <-l.events)
			}
			l.applyBatch(reducer, batch)
		case <-ticker.C:
			if late := time.Since(lastTick); late > lateTickThreshold {
				logevent.LeaderDelayed.Log(s.log, zap.Duration("since_last_tick", late))
			}
			now := time.Now()
			l.load.recordTick(now.Sub(lastTick))
			lastTick = now
			l.applyEvents(reducer, lastTick, dispatch.Tick{})
			l.load.report(s.log, time.Now())
			if !s.canYield(lastTick, termStart) {
				continue
			}
			if name, capacity := l.largerMember(); name != "" {
				s.recordYield(lastTick)
				logevent.LeadershipYielded.Log(s.log, zap.Int64("token", l.token), zap.Float64("capacity", s.availableCapacity()), zap.String("successor", name), zap.Float64("successor_capacity", capacity))
				go l.resign()
			}
		}
	}
	i.mu.Lock()
	s.ownLeadership = nil
	i.mu.Unlock()
	cancel()
	i.sendProcessorShares()
	l.saver.Stop()
	l.mu.Lock()
	for _, m := range l.members {
		m.cancel()
		if m.conn != nil {
			m.conn.Close()
		}
	}
	l.mu.Unlock()
	s.clearCapacity()
	s.clearRunTimes()
	logevent.LeadershipEnded.Log(s.log, zap.Int64("token", l.token))
}

// applyBatch applies a batch of events to the reducer and then runs the queries among them.
func (l *leadership) applyBatch(r *dispatch.Reducer, batch []any) {
	l.instance.histogram("event_batch").Update(int64(len(batch)))
	events := make([]any, 0, len(batch))
	for _, e := range batch {
		if _, ok := e.(reducerQuery); !ok {
			events = append(events, e)
		}
	}
	if len(events) > 0 {
		l.applyEvents(r, time.Now(), events...)
	}
	for _, e := range batch {
		if f, ok := e.(reducerQuery); ok {
			f(r)
		}
	}
}

// applyEvents applies events to the reducer and executes the effects.
func (l *leadership) applyEvents(r *dispatch.Reducer, now time.Time, events ...any) {
	effects := r.Apply(now, events...)
	applied := time.Now()
	l.instance.timer("reducer").Update(applied.Sub(now))
	l.executeEffects(effects)
	l.load.record(len(events), len(l.events), applied.Sub(now), time.Since(applied))
}

// post queues an event for the reducer, unless the term has ended.
func (l *leadership) post(e any) {
	select {
	case l.events <- e:
	case <-l.ctx.Done():
	}
}

// stepDown ends the term because another instance has claimed the leadership.
func (l *leadership) stepDown(reason string) {
	logevent.LeadershipLost.Log(l.shard.log, zap.Int64("token", l.token), zap.String("reason", reason), zap.Duration("confirmed_ago", time.Since(*l.confirmedAt.Load())))
	l.cancel()
}

// resign releases the leadership and asks another instance to claim it at once. This
// instance keeps leading until the release is stored.
func (l *leadership) resign() {
	l.mu.Lock()
	if l.resigning {
		l.mu.Unlock()
		return
	}
	l.resigning = true
	l.mu.Unlock()
	defer l.cancel()
	l.post(dispatch.Resigning{})
	ctx, cancel := context.WithTimeout(context.Background(), resignTimeout)
	defer cancel()
	version, released := l.saver.Release(ctx)
	if !released {
		logevent.LeadershipReleaseFailed.Log(l.shard.log, errorField(ctx.Err()))
		return
	}
	l.released.Store(true)
	successor := l.announceRelease(version)
	logevent.LeadershipReleased.Log(l.shard.log, zap.Int64("token", l.token), zap.String("successor", successor))
	sleep(l.ctx, announceDelay)
}

// announceRelease notifies the linked instances that the leadership is free, and asks one
// of them to claim it at once: the one that can lead most; among equals one that
// prefers the shard, then the one that was started last, since instances restart in turn.
func (l *leadership) announceRelease(version int64) (successor string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var best *member
	for name, m := range l.members {
		if m.conn == nil {
			continue
		}
		if best == nil || cmp.Or(cmp.Compare(m.capacity, best.capacity),
			-cmp.Compare(l.shard.preferenceDistance(name), l.shard.preferenceDistance(successor)), cmp.Compare(m.incarnation, best.incarnation)) > 0 {
			best, successor = m, name
		}
	}
	for _, m := range l.members {
		if m.conn != nil {
			m.conn.Send(link.Message{Kind: link.KindLeadershipReleased, Shard: l.shard.number, Token: l.token, Version: version, Known: m == best})
		}
	}
	return successor
}

// handleSaveReport handles the outcome of a write of the saver.
func (l *leadership) handleSaveReport(r jobstore.Report) {
	l.instance.recordStoreCall(r.Err)
	if r.Err != nil || r.WriteDuration > slowSaveThreshold {
		logevent.SaveDelayed.Log(l.shard.log, zap.Duration("took", r.WriteDuration), zap.Int("copies", r.Attempts), errorField(r.Err))
	}
	if r.Deposed {
		l.stepDown("the leader's row was claimed")
		return
	}
	if !r.ConfirmedAt.IsZero() {
		l.confirmedAt.Store(&r.ConfirmedAt)
		l.post(dispatch.LeadershipConfirmed{At: r.ConfirmedAt, Version: r.Version})
		l.sendConfirmations(r.WriteDuration)
	}
	if r.SavedNumber != 0 {
		l.post(dispatch.Saved{Number: r.SavedNumber})
	}
	if r.RejectedNumber != 0 {
		l.post(dispatch.SaveRejected{Number: r.RejectedNumber, Err: r.Err})
	}
}

// sendConfirmations notifies the linked instances that the leader reaches the store, and
// how long its writes take.
func (l *leadership) sendConfirmations(writeTime time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastWriteTime = writeTime
	now := time.Now()
	if now.Sub(l.preferredConfirmedAt) < preferredConfirmInterval {
		return
	}
	l.preferredConfirmedAt = now
	all := now.Sub(l.allConfirmedAt) >= nonPreferredConfirmInterval
	if all {
		l.allConfirmedAt = now
	}
	order := l.successionOrder()
	for name, m := range l.members {
		if m.conn != nil && (all || l.shard.preferenceDistance(name) == 0) {
			rank, _ := slices.BinarySearchFunc(order, m, compareSuccessors)
			m.conn.Send(l.confirmationMessage(int64(rank)))
			l.sendAdmission(m.conn)
			l.sendBacklog(m.conn)
		}
	}
}

// confirmationMessage returns the confirmation for a linked instance with the given rank.
// The caller holds the mutex.
func (l *leadership) confirmationMessage(rank int64) link.Message {
	return link.Message{Kind: link.KindLeadershipConfirmed, Shard: l.shard.number, Token: l.token, Count: rank, WriteDuration: l.lastWriteTime}
}

// linkedConns returns the links to other instances, in the order of their names.
func (l *leadership) linkedConns() (conns []*link.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(l.members)) {
		if c := l.members[name].conn; c != nil {
			conns = append(conns, c)
		}
	}
	return conns
}

// successionOrder returns the linked instances in the order in which they are to claim. The
// caller holds the mutex.
func (l *leadership) successionOrder() []*member {
	linked := make([]*member, 0, len(l.members))
	for _, m := range l.members {
		if m.conn != nil {
			linked = append(linked, m)
		}
	}
	slices.SortFunc(linked, compareSuccessors)
	return linked
}

// compareSuccessors returns a negative number if a is to claim before b: instances that
// can lead more come first, and among equals those that were started later, since instances restart in
// turn.
func compareSuccessors(a, b *member) int {
	return cmp.Or(cmp.Compare(b.capacity, a.capacity), cmp.Compare(b.incarnation, a.incarnation))
}

// successionRank returns the number of linked instances that are to claim before m. A new
// leader calls it for each instance that links, so it avoids sorting. The caller holds the
// mutex.
func (l *leadership) successionRank(m *member) int64 {
	n := int64(0)
	for _, other := range l.members {
		if other.conn != nil && compareSuccessors(other, m) < 0 {
			n++
		}
	}
	return n
}

// largerMember returns the linked instance with the largest capacity if it can lead much more
// than this one, and an empty name otherwise.
func (l *leadership) largerMember() (name string, capacity float64) {
	threshold := l.shard.availableCapacity() * yieldFactor
	l.mu.Lock()
	defer l.mu.Unlock()
	for memberName, m := range l.members {
		if m.conn != nil && m.capacity > max(threshold, capacity) {
			name, capacity = memberName, m.capacity
		}
	}
	return name, capacity
}

// postConfiguration passes a newer configuration to the reducer. It does not wait for the
// reducer's queue, since requests must not be held to the old configuration either. The caller
// holds the mutex of the configuration.
func (l *leadership) postConfiguration(c *job.Configuration) {
	select {
	case <-l.configurations:
	default:
	}
	l.configurations <- c
}

// handleMemberMessage handles a message from another instance.
func (l *leadership) handleMemberMessage(name string, c *link.Conn, m link.Message) {
	switch m.Kind {
	case link.KindWelcome:
		l.mu.Lock()
		known := l.members[name]
		l.mu.Unlock()
		if known != nil {
			if l.shard.preferenceDistance(name) > 0 {
				c.ExtendTimeouts()
			}
			l.setMemberConn(name, known, c)
			l.mu.Lock()
			confirmed := l.confirmationMessage(l.successionRank(known))
			l.mu.Unlock()
			c.Send(confirmed)
			logevent.InstanceLinked.Log(l.shard.log, zap.String("member", name))
		}
	case link.KindProcessorShare:
		l.mu.Lock()
		if known := l.members[name]; known != nil {
			known.capacity = m.LeaderCapacity
		}
		l.mu.Unlock()
	case link.KindStatusRequest, link.KindQueueLengthRequest:
		l.answerQuery(m, c.Send)
	case link.KindConfigurationRequest:
		c.Send(l.instance.configurationAnswer(m))
	case link.KindConfigurationResponse:
		l.instance.deliverAnswer(m)
	case link.KindAdviceResponse:
		l.post(adviceAnswer(m))
	case link.KindStoreJobRequest, link.KindStoreCancellationRequest:
		go l.writeForMember(m, c.Send)
	case link.KindStoredStateRequest:
		go l.readStateForMember(m, c.Send)
	default:
		l.handleNotification(m)
	}
}

// handleNotification handles a job or a cancellation that an instance reports to the
// leader.
func (l *leadership) handleNotification(m link.Message) {
	switch m.Kind {
	case link.KindJobOffered, link.KindJobStored:
		j, err := jobstore.DecodeJob(m.Data)
		switch {
		case err != nil:
			logevent.JobUnreadable.Log(l.shard.log, zap.String("key", string(m.Job)), errorField(err))
		case m.Kind == link.KindJobOffered:
			l.post(dispatch.JobOffered{Job: j})
		default:
			j.Version = m.Version
			l.post(dispatch.JobAccepted{Job: j, Notified: m.Known})
		}
	case link.KindCancellationStored:
		l.post(dispatch.CancelAccepted{ID: m.Job, Tenant: m.Tenant})
	}
}

// writeForMember stores a job or a cancellation for an instance that cannot reach the
// store.
func (l *leadership) writeForMember(m link.Message, answer func(link.Message)) {
	ctx, cancel := context.WithTimeout(l.ctx, storeTimeout)
	defer cancel()
	a := link.Message{Kind: link.KindStoreResponse, Number: m.Number, Job: m.Job}
	if m.Kind == link.KindStoreJobRequest {
		a.Outcome = l.storeJobForMember(ctx, m)
	} else {
		a.Outcome = l.shard.storeCancellation(ctx, m.Job, m.Tenant)
	}
	answer(a)
}

// storeJobForMember stores a job unless its tenant's quota never lets it run. The instance has
// checked it too, but maybe by an earlier configuration.
func (l *leadership) storeJobForMember(ctx context.Context, m link.Message) job.Outcome {
	j, err := jobstore.DecodeJob(m.Data)
	if err != nil {
		return job.OutcomeRefused
	}
	if response, refused := l.shard.refuseForQuota(time.Now().Add(storeTimeout), &j); refused {
		return response.Outcome
	}
	return l.shard.storeJob(ctx, l.shard.jobs.Homes(m.Job)[0], m.Job, m.Tenant, m.Data)
}

// answerQuery answers a status or queue length request from the reducer's state.
func (l *leadership) answerQuery(m link.Message, answer func(link.Message)) {
	l.post(reducerQuery(func(r *dispatch.Reducer) {
		a := link.Message{Number: m.Number, Job: m.Job, Queue: m.Queue}
		switch {
		case m.Kind == link.KindStatusRequest && r.IsHidden(m.Job, m.Tenant):
			a.Kind, a.Outcome = link.KindStatusResponse, job.OutcomeNoJob
		case m.Kind == link.KindStatusRequest:
			a.Kind = link.KindStatusResponse
			a.State, a.Known = r.Status(m.Job)
		default:
			a.Kind = link.KindQueueLengthResponse
			a.Count, a.Known = r.Pending(m.Queue)
		}
		answer(a)
	}))
}

func adviceAnswer(m link.Message) dispatch.AdviceAnswered {
	e := dispatch.AdviceAnswered{Number: m.Number, Tickets: m.Tickets}
	if m.Error != "" {
		e.Err = adviceError(m.Error)
	}
	return e
}

// adviceError is the error of a call for advice through another instance.
type adviceError string

func (e adviceError) Error() string { return string(e) }
