package scheduler

import (
	"math/rand/v2"
	"time"

	"fuchsiacross/admission"
	"fuchsiacross/document"
	"fuchsiacross/entry"
	"fuchsiacross/event"
	"fuchsiacross/home"
	"fuchsiacross/lease"
	"fuchsiacross/membership"
	"fuchsiacross/model"
	"fuchsiacross/placement"
	"fuchsiacross/requestjournal"
)

// Options configure a Reducer.
type Options struct {
	Self                 model.Instance
	Incarnation          model.Incarnation
	Seed                 uint64
	Partitions           uint32  // of the journal, the same at all instances
	StoreWritesPerSecond float64 // of the whole cell, for the journal
	MaxQueued            int     // requests held by this instance
	Timing               membership.Timing
}

const (
	// fetchRetry is the wait before a newer document is asked for again.
	fetchRetry = 300 * time.Millisecond
	// behindLimit is how long an instance goes on placing all work by an
	// outdated document while it fetches the newer one.
	behindLimit = 2 * time.Second
	// pauseLimit is the time between two events that shows a pause of the
	// process; a tick comes every 10 ms.
	pauseLimit = 500 * time.Millisecond
	// backlogLimit is how long events that arrived during a pause may take.
	backlogLimit = 100 * time.Millisecond
	// listLimit is how long starts are held after a pause when no list arrives.
	listLimit = 1500 * time.Millisecond
)

// Reducer is the control state of one instance. It is used by one goroutine.
type Reducer struct {
	o        Options
	random   *rand.Rand
	effects  []event.Effect
	now      time.Time
	members  *membership.View
	index    *placement.Index
	leases   *lease.Holder
	homes    *home.Table
	entries  *entry.Table
	queue    *admission.Queue
	quota    *admission.Quota
	retries  *admission.RetryBudget
	writes   *requestjournal.Budget
	document *document.Document
	call     event.CallID
	tokens   map[event.Token]model.RequestID
	live     int     // instances, this one included
	share    float64 // of the store's write budget

	behindSince time.Time // zero while no newer document is known
	behind      bool      // the newer document could not be had for a while
	fetchAt     time.Time
	resumedAt   time.Time // zero unless starts are held after a pause
	stopping    bool
	stopped     bool
}

// New returns the state of an instance that knows nothing yet.
func New(now time.Time, o Options) *Reducer {
	r := &Reducer{
		o:        o,
		random:   rand.New(rand.NewPCG(o.Seed, uint64(o.Incarnation))),
		now:      now,
		document: document.Default(),
		tokens:   map[event.Token]model.RequestID{},
		live:     1,
		call:     event.CallID(o.Incarnation) << 20,
	}
	r.members = membership.New(o.Self, o.Incarnation, o.Seed)
	if o.Timing != (membership.Timing{}) {
		r.members.SetTiming(o.Timing)
	}
	r.index = placement.New(placement.Policy{}, o.Seed)
	r.quota = admission.NewQuota()
	r.queue = admission.NewQueue(admission.DefaultOptions(), r.teamShare)
	r.retries = admission.NewRetryBudget(0)
	r.writes = requestjournal.NewBudget(now, o.StoreWritesPerSecond)
	r.leases = lease.New(lease.Options{
		Self:              o.Self.ID,
		Index:             r.index,
		Quota:             r.quota,
		PreferredOwner:    r.members.PreferredOwner,
		OwnerGeneration:   r.members.Generation,
		HomeOf:            r.homeOf,
		DocumentRevision:  func() model.Revision { return r.document.Revision },
		Emit:              r.emit,
		DeliverUpdate:     r.deliverUpdate,
		DeliverFenceReply: r.deliverFenced,
	})
	r.homes = home.New(home.Options{
		Self:        o.Self.ID,
		Incarnation: o.Incarnation,
		Partitions:  o.Partitions,
		Index:       r.index,
		Leases:      r.leases,
		Members:     r.members,
		Queue:       r.queue,
		Quota:       r.quota,
		Retries:     r.retries,
		Writes:      r.writes,
		NextCall:    r.nextCall,
		Random:      r.random.Uint64,
		Emit:        r.emit,
		Reroute:     func(now time.Time, q *model.Request, ws []home.Waiter) { r.entries.Reroute(now, q, ws) },
		MaxQueued:   o.MaxQueued,
	})
	r.entries = entry.New(entry.Options{
		Self:        o.Self.ID,
		Members:     r.members,
		HomeOf:      r.homeOf,
		HandleLocal: r.callHere,
		NextCall:    r.nextCall,
		Random:      r.random.Uint64,
		Emit:        r.emit,
	})
	r.setDocument(r.document)
	return r
}

// emit appends an effect. A token is forgotten once its call is answered.
func (r *Reducer) emit(e event.Effect) {
	switch e := e.(type) {
	case event.Reply:
		delete(r.tokens, e.Token)
	case event.Reject:
		delete(r.tokens, e.Token)
	}
	r.effects = append(r.effects, e)
}

func (r *Reducer) nextCall() event.CallID {
	r.call++
	return r.call
}

func (r *Reducer) homeOf(id model.RequestID) model.InstanceID { return r.homes.HomeOf(id) }

// teamShare returns the dominant share of the cell that a team takes.
func (r *Reducer) teamShare(team model.Team) float64 {
	total := r.members.PeerCapacity().Add(r.index.TotalCapacity())
	return r.quota.Used(team).Add(r.members.PeerTeamUsage(team)).DominantShare(total)
}

// Apply changes the state by one event and returns the effects to carry out in
// order. Time never runs backwards: an event with an earlier time than the last
// one is taken at the time of the last.
func (r *Reducer) Apply(now time.Time, e event.Event) []event.Effect {
	r.effects = r.effects[:0]
	if now.Before(r.now) {
		now = r.now
	}
	r.noticePause(now, e)
	r.now = now
	r.route(now, e)
	r.step(now)
	return r.effects
}

// noticePause holds all starts after a pause of the process until the
// platform's list has been read again or has failed: the last list may not name
// a worker that has begun to leave. Lists that arrived during the pause are as
// old as the pause.
func (r *Reducer) noticePause(now time.Time, e event.Event) {
	if now.After(r.now.Add(pauseLimit)) {
		r.resumedAt = now
		r.leases.SetStartsSuspended(true)
	}
	if r.resumedAt.IsZero() {
		return
	}
	fresh := now.After(r.resumedAt.Add(backlogLimit))
	switch e.(type) {
	case event.PlatformListRead, event.PlatformListFailed:
	default:
		fresh = now.After(r.resumedAt.Add(listLimit))
	}
	if fresh {
		r.resumedAt = time.Time{}
		r.leases.SetStartsSuspended(false)
		r.homes.ScheduleDispatch()
	}
}

func (r *Reducer) route(now time.Time, e event.Event) {
	switch e := e.(type) {
	case event.Tick:
	case event.Submit, event.Status, event.Cancel, event.CallAbandoned:
		r.routeCaller(now, e)
	case event.Query:
		r.query(now, e)
	case event.DocumentChanged:
		r.documentChanged(e.Document)
	case event.PeerUp:
		r.emit(event.Trace{Kind: event.TracePeerUp, Peer: e.Peer})
		r.members.BroadcastNextHeartbeat()
	case event.PeerDown:
		r.members.MarkLinkDown(now, e.Peer)
	case event.PeerReceived:
		r.receive(now, e.From, e.Message)
	case event.PlatformListRead:
		r.members.UpdateList(now, e.Instances)
		r.leases.SetWorkerList(now, e.Workers)
		r.leases.SetDrainedWorkers(r.drained)
	case event.PlatformListFailed:
		r.members.MarkListStale(now)
	case event.JournalLoaded:
		r.homes.HandleJournalLoaded(now, e)
	case event.JournalLoadFailed:
		r.homes.HandleJournalLoadFailed(now, e)
	case event.CommitDone:
		r.homes.HandleCommitDone(now, e)
	case event.Shutdown:
		r.shutdown()
	default:
		r.routeWorker(now, e)
	}
}

func (r *Reducer) routeCaller(now time.Time, e event.Event) {
	switch e := e.(type) {
	case event.Submit:
		r.submit(now, e)
	case event.Status:
		r.status(now, e)
	case event.Cancel:
		r.cancel(now, e)
	case event.CallAbandoned:
		r.entries.HandleCallAbandoned(e.Token)
		r.homes.HandleCallAbandoned(now, e.Token, r.tokens[e.Token])
		delete(r.tokens, e.Token)
	}
}

func (r *Reducer) routeWorker(now time.Time, e event.Event) {
	switch e := e.(type) {
	case event.LeaseGranted:
		r.leases.HandleLeaseGranted(now, e)
		r.homes.ScheduleDispatch()
	case event.LeaseDenied:
		r.leases.HandleLeaseDenied(now, e)
	case event.LeaseLost:
		r.leases.HandleLeaseLost(now, e)
	case event.TaskStarted:
		r.leases.HandleTaskStarted(now, e)
	case event.TaskFinished:
		r.leases.HandleTaskFinished(now, e)
		r.homes.ScheduleDispatch()
	case event.StartRefused:
		r.leases.HandleStartRefused(now, e)
	case event.StartUncertain:
		r.leases.HandleStartUncertain(now, e)
	case event.AttemptFenced:
		r.leases.HandleAttemptFenced(now, e)
		r.homes.ScheduleDispatch()
	case event.WorkerUsage:
		r.leases.HandleWorkerUsage(e)
	case event.WorkerLeaving:
		r.leases.HandleWorkerLeaving(e)
	}
}

// step carries out what is due after any event.
func (r *Reducer) step(now time.Time) {
	r.checkMembers(now)
	if r.members.HasConverged(now) {
		r.leases.Step(now)
	}
	r.homes.Step(now)
	r.entries.Step(now)
	r.followDocument(now)
	r.heartbeat(now)
	r.stepShutdown()
}

func (r *Reducer) checkMembers(now time.Time) {
	suspected, returned := r.members.UpdateLiveness(now)
	for _, id := range suspected {
		r.emit(event.Trace{Kind: event.TracePeerSuspected, Peer: id})
	}
	if len(suspected)+len(returned) > 0 {
		r.leases.ScheduleScan()
		r.homes.HandleMembersChanged(now)
	}
	r.live = max(1, len(r.members.ServingInstances()))
	if share := r.homes.HeldPartitionFraction(); share != r.share {
		r.share = share
		r.writes.SetShare(now, r.o.StoreWritesPerSecond*share)
	}
}

func (r *Reducer) heartbeat(now time.Time) {
	targets := r.members.HeartbeatTargets(now)
	if len(targets) == 0 {
		return
	}
	h := event.Heartbeat{
		Instance:        r.o.Self.ID,
		Incarnation:     r.o.Incarnation,
		DataCentre:      r.o.Self.DataCentre,
		Revision:        r.document.Revision,
		Draining:        r.stopping,
		Workers:         uint32(r.leases.HeldCount()),
		TotalCapacity:   r.index.TotalCapacity(),
		LargestCapacity: r.index.LargestCapacity(),
		FreeCapacity:    r.index.FreeCapacity(),
		Usage:           r.quota.UsageByTeam(),
		Partitions:      r.homes.HeldPartitions(),
		HeardPeers:      r.members.HeardPeers(now),
	}
	for c := range h.FreeCapacity {
		h.FreeCapacity[c].QueuedRequests = uint32(r.queue.Len(model.Class(c + 1)))
	}
	for _, to := range targets {
		r.emit(event.SendPeer{To: to, Message: h})
	}
}

func (r *Reducer) shutdown() {
	if r.stopping {
		return
	}
	r.stopping = true
	r.emit(event.Trace{Kind: event.TraceShutdown})
	r.members.Drain()
	r.homes.Drain()
	r.leases.Shutdown()
}

// stepShutdown says once that nothing is left to do.
func (r *Reducer) stepShutdown() {
	if !r.stopping || r.stopped {
		return
	}
	if r.homes.IsBusy() || r.entries.PendingCount() > 0 || !r.leases.IsIdle() {
		return
	}
	r.stopped = true
	r.emit(event.Stopped{})
}
