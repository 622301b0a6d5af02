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

// Options configures a Reducer.
type Options struct {
	Self                 model.Instance
	Incarnation          model.Incarnation
	Seed                 uint64
	Partitions           uint32  // number of journal partitions; the same at all instances
	StoreWritesPerSecond float64 // journal write budget of the whole cell
	MaxQueued            int     // limit of unsettled requests held by this instance
	MaxRequestBytes      int64   // limit of the memory of the requests held by this instance; zero means no limit
	Timing               membership.Timing
}

const (
	// documentFetchRetryDelay is the delay before a newer document is requested
	// again.
	documentFetchRetryDelay = 300 * time.Millisecond
	// documentBehindTimeout is how long an instance places all work by an outdated
	// document while it fetches the newer one.
	documentBehindTimeout = 2 * time.Second
	// pauseThreshold is the time between two events above which the process is
	// taken to have been paused. Normally a tick arrives every 10 ms.
	pauseThreshold = 500 * time.Millisecond
	// pauseBacklogWindow is the time after a pause during which events may still
	// come from the backlog that arrived during the pause.
	pauseBacklogWindow = 100 * time.Millisecond
	// freshListTimeout is how long starts stay suspended after a pause if no
	// list arrives.
	freshListTimeout = 1500 * time.Millisecond
)

// Reducer is the control state of one instance. It is not safe for concurrent
// use.
type Reducer struct {
	options            Options
	random             *rand.Rand
	effects            []event.Effect
	now                time.Time
	members            *membership.View
	index              *placement.Index
	leases             *lease.Holder
	homes              *home.Table
	entries            *entry.Table
	queue              *admission.Queue
	quota              *admission.Quota
	retryBudget        *admission.RetryBudget
	writeBudget        *requestjournal.WriteBudget
	document           *document.Document
	lastCall           event.CallID
	requestByToken     map[event.Token]model.RequestID
	servingInstances   int     // number of serving instances, at least 1
	storeWriteFraction float64 // of the cell's journal write budget

	documentBehindSince time.Time // zero if no newer document is known
	documentBehind      bool      // whether documentBehindTimeout has passed since
	nextFetchAt         time.Time
	resumedAt           time.Time // end of the pause because of which starts are suspended; zero if they are not
	stopping            bool
	stopped             bool
}

// New returns the initial state of an instance. It has no document, no list and no
// leases yet.
func New(now time.Time, o Options) *Reducer {
	r := &Reducer{
		options:          o,
		random:           rand.New(rand.NewPCG(o.Seed, uint64(o.Incarnation))),
		now:              now,
		document:         document.Default(),
		requestByToken:   map[event.Token]model.RequestID{},
		servingInstances: 1,
		lastCall:         event.CallID(o.Incarnation) << 20,
	}
	r.members = membership.New(o.Self, o.Incarnation, o.Seed)
	if o.Timing != (membership.Timing{}) {
		r.members.SetTiming(o.Timing)
	}
	r.index = placement.New(placement.Policy{}, o.Seed)
	r.quota = admission.NewQuota()
	r.queue = admission.NewQueue(admission.DefaultOptions(), r.teamDominantShare)
	r.retryBudget = admission.NewRetryBudget(0)
	r.writeBudget = requestjournal.NewWriteBudget(now, o.StoreWritesPerSecond)
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
		DeliverFenceReply: r.deliverFenceReply,
	})
	r.homes = home.New(home.Options{
		Self:            o.Self.ID,
		Incarnation:     o.Incarnation,
		Partitions:      o.Partitions,
		Index:           r.index,
		Leases:          r.leases,
		Members:         r.members,
		Queue:           r.queue,
		Quota:           r.quota,
		RetryBudget:     r.retryBudget,
		WriteBudget:     r.writeBudget,
		NextCall:        r.nextCall,
		Random:          r.random.Uint64,
		Emit:            r.emit,
		Reroute:         func(now time.Time, q *model.Request, ws []home.Waiter) { r.entries.Reroute(now, q, ws) },
		MaxQueued:       o.MaxQueued,
		MaxRequestBytes: o.MaxRequestBytes,
	})
	r.entries = entry.New(entry.Options{
		Self:        o.Self.ID,
		Members:     r.members,
		HomeOf:      r.homeOf,
		HandleLocal: r.handleHomeCall,
		NextCall:    r.nextCall,
		Random:      r.random.Uint64,
		Emit:        r.emit,
	})
	r.applyDocument(r.document)
	return r
}

// emit appends an effect. It removes the token of a call that the effect answers.
func (r *Reducer) emit(e event.Effect) {
	switch e := e.(type) {
	case event.Reply:
		delete(r.requestByToken, e.Token)
	case event.Reject:
		delete(r.requestByToken, e.Token)
	}
	r.effects = append(r.effects, e)
}

func (r *Reducer) nextCall() event.CallID {
	r.lastCall++
	return r.lastCall
}

func (r *Reducer) homeOf(id model.RequestID) model.InstanceID { return r.homes.HomeOf(id) }

// teamDominantShare returns the dominant share of the cell's capacity that a team
// uses.
func (r *Reducer) teamDominantShare(team model.Team) float64 {
	total := r.members.PeerCapacity().Add(r.index.TotalCapacity())
	return r.quota.Used(team).Add(r.members.PeerTeamUsage(team)).DominantShare(total)
}

// Apply applies one event to the state and returns the effects to execute in
// order. Time is monotonic: an event with an earlier time than the previous event
// is processed at the time of the previous one.
func (r *Reducer) Apply(now time.Time, e event.Event) []event.Effect {
	r.effects = r.effects[:0]
	if now.Before(r.now) {
		now = r.now
	}
	r.detectPause(now, e)
	r.now = now
	r.handleEvent(now, e)
	r.runDueWork(now)
	return r.effects
}

// detectPause suspends all starts after a pause of the process until a new read of
// the platform's list has succeeded or failed, because the previous list may not
// show that a worker has started to leave. Lists that arrived during the pause are
// as stale as the previous one and do not end the suspension.
func (r *Reducer) detectPause(now time.Time, e event.Event) {
	if now.After(r.now.Add(pauseThreshold)) {
		r.resumedAt = now
		r.leases.SetStartsSuspended(true)
	}
	if r.resumedAt.IsZero() {
		return
	}
	endSuspension := now.After(r.resumedAt.Add(pauseBacklogWindow))
	switch e.(type) {
	case event.PlatformListRead, event.PlatformListFailed:
	default:
		endSuspension = now.After(r.resumedAt.Add(freshListTimeout))
	}
	if endSuspension {
		r.resumedAt = time.Time{}
		r.leases.SetStartsSuspended(false)
		r.homes.ScheduleDispatch()
	}
}

func (r *Reducer) handleEvent(now time.Time, e event.Event) {
	switch e := e.(type) {
	case event.Tick:
	case event.Submit, event.Status, event.Cancel, event.CallAbandoned:
		r.handleCallerEvent(now, e)
	case event.Query:
		r.handleQuery(now, e)
	case event.DocumentChanged:
		r.handleDocumentChanged(e.Document)
	case event.PeerUp:
		r.emit(event.Trace{Kind: event.TracePeerUp, Peer: e.Peer})
		r.members.BroadcastNextHeartbeat()
	case event.PeerDown:
		r.members.MarkLinkDown(now, e.Peer)
	case event.PeerReceived:
		r.handlePeerMessage(now, e.From, e.Message)
	case event.PlatformListRead:
		r.members.UpdateList(now, e.Instances)
		r.leases.SetWorkerList(now, e.Workers)
		r.leases.SetDrainedWorkers(r.isDrained)
	case event.PlatformListFailed:
		r.members.MarkListStale(now)
	case event.JournalLoaded:
		r.homes.HandleJournalLoaded(now, e)
	case event.JournalLoadFailed:
		r.homes.HandleJournalLoadFailed(now, e)
	case event.CommitDone:
		r.homes.HandleCommitDone(now, e)
	case event.Shutdown:
		r.handleShutdown()
	default:
		r.handleWorkerEvent(now, e)
	}
}

func (r *Reducer) handleCallerEvent(now time.Time, e event.Event) {
	switch e := e.(type) {
	case event.Submit:
		r.handleSubmit(now, e)
	case event.Status:
		r.handleStatus(now, e)
	case event.Cancel:
		r.handleCancel(now, e)
	case event.CallAbandoned:
		r.entries.HandleCallAbandoned(e.Token)
		r.homes.HandleCallAbandoned(now, e.Token, r.requestByToken[e.Token])
		delete(r.requestByToken, e.Token)
	}
}

func (r *Reducer) handleWorkerEvent(now time.Time, e event.Event) {
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

// runDueWork performs the work that is due. It runs after every event.
func (r *Reducer) runDueWork(now time.Time) {
	r.updateMembership(now)
	if r.members.HasConverged(now) {
		r.leases.Step(now)
	}
	r.homes.Step(now)
	r.entries.Step(now)
	r.fetchNewerDocument(now)
	r.sendHeartbeats(now)
	r.finishShutdown()
}

func (r *Reducer) updateMembership(now time.Time) {
	suspected, returned := r.members.UpdateLiveness(now)
	for _, id := range suspected {
		r.emit(event.Trace{Kind: event.TracePeerSuspected, Peer: id})
	}
	if len(suspected)+len(returned) > 0 {
		r.leases.ScheduleScan()
		r.homes.HandleMembersChanged(now)
	}
	r.servingInstances = max(1, len(r.members.ServingInstances()))
	if fraction := r.homes.HeldPartitionFraction(); fraction != r.storeWriteFraction {
		r.storeWriteFraction = fraction
		r.writeBudget.SetRate(now, r.options.StoreWritesPerSecond*fraction)
	}
}

func (r *Reducer) sendHeartbeats(now time.Time) {
	targets := r.members.HeartbeatTargets(now)
	if len(targets) == 0 {
		return
	}
	h := event.Heartbeat{
		Instance:        r.options.Self.ID,
		Incarnation:     r.options.Incarnation,
		DataCentre:      r.options.Self.DataCentre,
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

func (r *Reducer) handleShutdown() {
	if r.stopping {
		return
	}
	r.stopping = true
	r.emit(event.Trace{Kind: event.TraceShutdown})
	r.members.Drain()
	r.homes.Drain()
	r.leases.Shutdown()
}

// finishShutdown emits Stopped once, when a shutdown has no work left.
func (r *Reducer) finishShutdown() {
	if !r.stopping || r.stopped {
		return
	}
	if r.homes.IsBusy() || r.entries.PendingCount() > 0 || !r.leases.IsIdle() {
		return
	}
	r.stopped = true
	r.emit(event.Stopped{})
}
