package instance

import (
	"cmp"
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"fuchsiacross/dispatch"
	"fuchsiacross/job"
	"fuchsiacross/jobstore"
	"fuchsiacross/link"
	"fuchsiacross/logevent"
)

const (
	eventQueue   = 8192
	eventBatch   = 256 // events after which work is placed
	tickInterval = 25 * time.Millisecond
	dialRetry    = 400 * time.Millisecond
	confirmSpan  = 200 * time.Millisecond // between two confirmations sent to the instances that prefer the shard
	distantSpan  = time.Second            // the same for the others
	slowSave     = 600 * time.Millisecond // of a write that is logged: longer than one transaction of a slow store
	loadTimeout  = 5 * time.Second
	loadRetry    = 200 * time.Millisecond
	// startsPerProcessor may wait for an answer at once, for 0.1 s each: 800 a second,
	// what a processor gives at 1.2 ms for a start. Small machines give startsLeast.
	startsPerProcessor = 80
	startsLeast        = 8
	// changesInterval is between two readings of the changes of jobs.
	changesInterval = 300 * time.Millisecond
	// resignTimeout is for a slow store; the instance leads on meanwhile.
	resignTimeout = 2500 * time.Millisecond
	// announceSpan lets the announcement of a release out before the links close.
	announceSpan   = 40 * time.Millisecond
	settleSpan     = 2 * time.Second        // before a leader yields to a larger instance
	largerFactor   = 1.3                    // by which another instance must be larger
	delayedWarning = 500 * time.Millisecond // after which a late tick is logged
)

// leadership is one term of this instance as the leader of a shard. One goroutine
// owns the reducer; everything else posts events to it.
type leadership struct {
	i       *Instance
	shard   *shard
	token   int64
	events  chan any
	ctx     context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup
	saver   *jobstore.Saver

	mu          sync.Mutex
	members     map[string]*member
	confirmedAt time.Time     // to the instances that prefer the shard
	distantAt   time.Time     // to all
	saves       time.Duration // time that the last write to the store took
	resigned    bool
}

// member is another instance.
type member struct {
	address netip.AddrPort
	life    int64
	share   float64 // of a processor
	stop    context.CancelFunc
	conn    *link.Conn // nil while there is no link
}

// call runs a function with the reducer.
type call func(*dispatch.Reducer)

// lead runs a term until it is lost. The claim was sent at claimedAt; it replaced a
// row of the version before, zero if there was none.
func (s *shard) lead(claimed jobstore.Leader, before, version int64, claimedAt time.Time) {
	i := s.i
	ctx, cancel := context.WithCancel(i.ctx)
	l := &leadership{
		i: i, shard: s, token: claimed.Token, events: make(chan any, eventQueue),
		ctx: ctx, cancel: cancel, members: map[string]*member{},
	}
	reducer := dispatch.New(dispatch.Options{
		Token: l.token, ClaimedAt: claimedAt, PredecessorSuspectedAt: time.Now(), FirstLeader: before == 0,
		ClaimVersion: version, PredecessorVersion: before,
		MaxHoldMilliseconds: i.settings.MaxHoldMilliseconds, StopTimeoutMilliseconds: i.settings.StopMilliseconds,
		RetentionSeconds: i.settings.RetentionSeconds, LeaderCount: s.division.shardMap.Shards,
		MaxPendingStarts: max(startsLeast, int(startsPerProcessor*s.share())),
	})
	l.post(dispatch.ConfigurationChanged{Configuration: i.configuration.Load()})
	l.saver = jobstore.NewSaver(s.jobs, claimed, version, l.report)
	i.mu.Lock()
	old := s.leader
	s.leader, s.leading, s.token = nil, l, claimed.Token
	i.mu.Unlock()
	if old != nil {
		old.Close()
	}
	s.tellKept()
	i.tellShare()
	l.running.Go(func() { l.followJobs(version) })
	l.running.Go(l.followWorkers)
	l.running.Go(l.followMembers)
	l.lanes()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	ticked := time.Now()
	began := ticked
	batch := make([]any, 0, eventBatch)
	for running := true; running; {
		select {
		case <-ctx.Done():
			running = false
		case e := <-l.events:
			batch = append(batch[:0], e)
			for len(batch) < eventBatch && len(l.events) > 0 {
				batch = append(batch, <-l.events)
			}
			l.apply(reducer, batch)
		case <-ticker.C:
			if late := time.Since(ticked); late > delayedWarning {
				logevent.LeaderDelayed.Log(s.log, zap.Duration("since_last_tick", late))
			}
			ticked = time.Now()
			l.carryOut(reducer.Apply(ticked, dispatch.Tick{}))
			if s.mayYield(ticked, began) && l.outgrown() {
				s.yields()
				logevent.LeadershipYielded.Log(s.log, zap.Int64("token", l.token), zap.Float64("processor_share", s.share()))
				go l.resign()
			}
		}
	}
	i.mu.Lock()
	s.leading = nil
	i.mu.Unlock()
	cancel()
	i.tellShare()
	l.saver.Stop()
	l.mu.Lock()
	for _, m := range l.members {
		m.stop()
		if m.conn != nil {
			m.conn.Close()
		}
	}
	l.mu.Unlock()
	logevent.LeadershipEnded.Log(s.log, zap.Int64("token", l.token))
}

// apply has the reducer handle a batch of events and then answers the questions
// among them.
func (l *leadership) apply(r *dispatch.Reducer, batch []any) {
	l.i.histogram("event_batch").Update(int64(len(batch)))
	events := make([]any, 0, len(batch))
	for _, e := range batch {
		if _, ok := e.(call); !ok {
			events = append(events, e)
		}
	}
	if len(events) > 0 {
		began := time.Now()
		effects := r.Apply(began, events...)
		l.i.timer("reducer").UpdateSince(began)
		l.carryOut(effects)
	}
	for _, e := range batch {
		if f, ok := e.(call); ok {
			f(r)
		}
	}
}

func (l *leadership) post(e any) {
	select {
	case l.events <- e:
	case <-l.ctx.Done():
	}
}

// depose ends the term.
func (l *leadership) depose(reason string) {
	logevent.LeadershipLost.Log(l.shard.log, zap.Int64("token", l.token), zap.String("reason", reason))
	l.cancel()
}

// resign gives the leadership up and tells another instance to claim it at once.
// This one leads on until the release is stored.
func (l *leadership) resign() {
	l.mu.Lock()
	if l.resigned {
		l.mu.Unlock()
		return
	}
	l.resigned = true
	l.mu.Unlock()
	defer l.cancel()
	ctx, cancel := context.WithTimeout(context.Background(), resignTimeout)
	defer cancel()
	version, released := l.saver.Release(ctx)
	if !released {
		logevent.ResignFailed.Log(l.shard.log, failure(ctx.Err()))
		return
	}
	successor := l.announce(version)
	logevent.LeadershipReleased.Log(l.shard.log, zap.Int64("token", l.token), zap.String("successor", successor))
	sleep(l.ctx, announceSpan)
}

// announce tells the instances that the leadership is free, and one of them to
// claim it: the largest, and among these one that prefers the shard and was started
// last, since instances restart in turn.
func (l *leadership) announce(version int64) (successor string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var best *member
	for name, m := range l.members {
		if m.conn == nil {
			continue
		}
		if best == nil || cmp.Or(cmp.Compare(m.share, best.share),
			-cmp.Compare(l.shard.distance(name), l.shard.distance(successor)), cmp.Compare(m.life, best.life)) > 0 {
			best, successor = m, name
		}
	}
	for _, m := range l.members {
		if m.conn != nil {
			m.conn.Send(link.Message{Kind: link.KindReleased, Shard: l.shard.number, Token: l.token, Version: version, Known: m == best})
		}
	}
	return successor
}

// report handles what the saver tells.
func (l *leadership) report(r jobstore.Report) {
	l.i.reached(r.Err)
	if r.Err != nil || r.Took > slowSave {
		logevent.SaveDelayed.Log(l.shard.log, zap.Duration("took", r.Took), zap.Int("copies", r.Copies), failure(r.Err))
	}
	if r.Deposed {
		l.depose("the leader's row was claimed")
		return
	}
	if !r.Confirmed.IsZero() {
		l.post(dispatch.LeadershipConfirmed{At: r.Confirmed, Version: r.Version})
		l.confirm(r.Took)
	}
	if r.Saved != 0 {
		l.post(dispatch.Saved{Number: r.Saved})
	}
}

// confirm tells the instances that the leader reaches the store, and how long its
// writes take.
func (l *leadership) confirm(took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.saves = took
	now := time.Now()
	if now.Sub(l.confirmedAt) < confirmSpan {
		return
	}
	l.confirmedAt = now
	all := now.Sub(l.distantAt) >= distantSpan
	if all {
		l.distantAt = now
	}
	order := l.successors()
	for name, m := range l.members {
		if m.conn != nil && (all || l.shard.distance(name) == 0) {
			rank, _ := slices.BinarySearchFunc(order, m, compareSuccessors)
			m.conn.Send(l.confirmed(int64(rank)))
		}
	}
}

// confirmed is what a linked instance with a rank is told. The mutex is held.
func (l *leadership) confirmed(rank int64) link.Message {
	return link.Message{Kind: link.KindConfirmed, Shard: l.shard.number, Token: l.token, Count: rank, Took: l.saves}
}

// successors lists the linked instances in the order in which they are to claim. The
// mutex is held.
func (l *leadership) successors() []*member {
	linked := make([]*member, 0, len(l.members))
	for _, m := range l.members {
		if m.conn != nil {
			linked = append(linked, m)
		}
	}
	slices.SortFunc(linked, compareSuccessors)
	return linked
}

// compareSuccessors is negative if a is to claim before b: larger instances first, and
// of those with as much processor time the ones that were started later, since
// instances restart in turn.
func compareSuccessors(a, b *member) int {
	return cmp.Or(cmp.Compare(b.share, a.share), cmp.Compare(b.life, a.life))
}

// rank is the number of linked instances that are to claim before a member. Sorting
// them for each that links would cost a new leader more. The mutex is held.
func (l *leadership) rank(m *member) int64 {
	n := int64(0)
	for _, other := range l.members {
		if other.conn != nil && compareSuccessors(other, m) < 0 {
			n++
		}
	}
	return n
}

// outgrown reports whether a linked instance has much more processor time.
func (l *leadership) outgrown() bool {
	share := l.shard.share()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, m := range l.members {
		if m.conn != nil && m.share > share*largerFactor {
			return true
		}
	}
	return false
}

func (l *leadership) configured(c *job.Configuration) {
	l.post(dispatch.ConfigurationChanged{Configuration: c})
}

// received handles a message of another instance.
func (l *leadership) received(name string, c *link.Conn, m link.Message) {
	switch m.Kind {
	case link.KindWelcome:
		l.mu.Lock()
		known := l.members[name]
		l.mu.Unlock()
		if known != nil {
			if l.shard.distance(name) > 0 {
				c.Relax()
			}
			l.setConn(name, known, c)
			l.mu.Lock()
			confirmed := l.confirmed(l.rank(known))
			l.mu.Unlock()
			c.Send(confirmed)
			logevent.MemberFound.Log(l.shard.log, zap.String("member", name))
		}
	case link.KindShare:
		l.mu.Lock()
		if known := l.members[name]; known != nil {
			known.share = m.Share
		}
		l.mu.Unlock()
	case link.KindStatus, link.KindPending:
		l.question(m, c.Send)
	case link.KindAdvice:
		l.post(adviceEvent(m))
	case link.KindAccept, link.KindCancel:
		go l.write(m, c.Send)
	default:
		l.told(m)
	}
}

// told handles what an instance tells the leader.
func (l *leadership) told(m link.Message) {
	switch m.Kind {
	case link.KindOffered, link.KindAccepted:
		j, err := jobstore.DecodeJob(m.Data)
		switch {
		case err != nil:
			logevent.JobUnreadable.Log(l.shard.log, zap.String("key", string(m.Job)), failure(err))
		case m.Kind == link.KindOffered:
			l.post(dispatch.JobOffered{Job: j})
		default:
			j.Version = m.Version
			l.post(dispatch.JobAccepted{Job: j, Notified: true})
		}
	case link.KindCancelled:
		l.post(dispatch.CancelAccepted{ID: m.Job})
	}
}

// write stores a job or a cancellation for an instance that the store does not
// answer.
func (l *leadership) write(m link.Message, answer func(link.Message)) {
	ctx, cancel := context.WithTimeout(l.ctx, storeTimeout)
	defer cancel()
	a := link.Message{Kind: link.KindStored, Number: m.Number, Job: m.Job}
	if m.Kind == link.KindAccept {
		a.Outcome = l.shard.storeJob(ctx, l.shard.jobs.Homes(m.Job)[0], m.Job, m.Data)
	} else {
		a.Outcome = l.shard.storeCancel(ctx, m.Job)
	}
	answer(a)
}

// question answers from the reducer's state.
func (l *leadership) question(m link.Message, answer func(link.Message)) {
	l.post(call(func(r *dispatch.Reducer) {
		a := link.Message{Number: m.Number, Job: m.Job, Queue: m.Queue}
		if m.Kind == link.KindStatus {
			a.Kind = link.KindStatusIs
			a.State, a.Known = r.Status(m.Job)
		} else {
			a.Kind = link.KindPendingIs
			a.Count, a.Known = r.Pending(m.Queue)
		}
		answer(a)
	}))
}

func adviceEvent(m link.Message) dispatch.AdviceAnswered {
	e := dispatch.AdviceAnswered{Number: m.Number, Tickets: m.Tickets}
	if m.Error != "" {
		e.Err = adviceError(m.Error)
	}
	return e
}

// adviceError is an error that another instance reported.
type adviceError string

func (e adviceError) Error() string { return string(e) }
