package instance

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"fuchsiacross/dispatch"
	"fuchsiacross/job"
	"fuchsiacross/jobstore"
	"fuchsiacross/link"
	"fuchsiacross/logevent"
	"fuchsiacross/platform/operator"
	"fuchsiacross/platform/store"
)

// followJobs loads the jobs as of minVersion or later and then posts each change.
func (l *leadership) followJobs(minVersion int64) {
	changed := false
	var loader *jobstore.Loader // keeps what it has read until it has read everything
	var began time.Time         // of the loader
	f := store.Follower{
		Client: l.instance.controlStore, Table: l.shard.jobs.JobTable(), OnResult: l.instance.recordStoreCall,
		OnSnapshot: func([]store.Row) {},
		OnChange: func(rows []store.Row) {
			l.applyJobRows(rows)
			changed = true
		},
		OnRead: func(sentAt time.Time) {
			l.post(dispatch.JobChangesRead{SentAt: sentAt})
			if changed {
				// The instances notify the leader of what they store. The changes only cover
				// what they could not report, so their next read can wait.
				sleep(l.ctx, jobChangesInterval)
				changed = false
			}
		},
		Read: func(ctx context.Context) ([]store.Row, int64, error) {
			ctx, cancel := context.WithTimeout(ctx, loadTimeout)
			defer cancel()
			if loader == nil || time.Since(began) > maxLoaderAge {
				loader, began = l.shard.jobs.NewLoader(minVersion), time.Now()
			}
			loaded, version, err := loader.Load(ctx)
			if err != nil {
				return nil, 0, err
			}
			loader = nil
			logevent.JobsLoaded.Log(l.shard.log, zap.Int("jobs", len(loaded.Jobs)), zap.Int("progress", len(loaded.Progress)),
				zap.Int64("version", version), zap.Duration("took", time.Since(began)))
			l.post(loaded)
			return nil, version, nil
		},
	}
	f.Run(l.ctx)
}

// applyJobRows posts stored jobs and cancellations.
func (l *leadership) applyJobRows(rows []store.Row) {
	for _, row := range rows {
		if row.Deleted {
			continue
		}
		change, err := jobstore.DecodeRow(row)
		switch {
		case err != nil:
			logevent.JobUnreadable.Log(l.shard.log, zap.String("key", row.Key), errorField(err))
		case change.Job != nil:
			l.post(dispatch.JobAccepted{Job: *change.Job})
		default:
			l.post(change.Cancellation)
		}
	}
}

// followWorkers posts the registrations of the shard's workers and their removals.
func (l *leadership) followWorkers() {
	registered := map[job.WorkerID]bool{}
	shards := l.shard.table.shardMap
	applyRow := func(row store.Row) {
		id := job.WorkerID(row.Key)
		if row.Deleted {
			delete(registered, id)
			l.post(dispatch.WorkerUnlisted{ID: id})
			return
		}
		w, err := operator.DecodeWorker(row.Key, row.Value, time.Now())
		if err == nil {
			number, known := shards.ShardOfWorker(&w)
			if known && number != l.shard.number {
				return
			}
			if !known {
				err = errNoRack
			}
		}
		if err != nil {
			logevent.RegistrationUnreadable.Log(l.shard.log, zap.String("worker", row.Key), errorField(err))
			if registered[id] {
				delete(registered, id)
				l.post(dispatch.WorkerUnlisted{ID: id})
			}
			return
		}
		registered[id] = true
		l.post(dispatch.WorkerListed{Worker: w})
	}
	f := store.Follower{
		Client: l.instance.controlStore, Table: operator.WorkerTable, Read: l.instance.controlStore.PartitionReader(operator.WorkerTable, ""),
		OnResult: l.instance.recordStoreCall,
		OnSnapshot: func(rows []store.Row) {
			removed := registered
			registered = map[job.WorkerID]bool{}
			for _, row := range rows {
				delete(removed, job.WorkerID(row.Key))
				applyRow(row)
			}
			for id := range removed {
				l.post(dispatch.WorkerUnlisted{ID: id})
			}
			l.post(dispatch.WorkersRead{})
		},
		OnChange: func(rows []store.Row) {
			for _, row := range rows {
				applyRow(row)
			}
		},
	}
	f.Run(l.ctx)
}

// errNoRack is the error for a registration that belongs to no shard.
var errNoRack = errors.New("registration without a rack in a fleet with racks")

// followMembers keeps a link open to each registered instance.
func (l *leadership) followMembers() {
	changed := func(rows []store.Row) {
		for _, row := range rows {
			l.applyMemberRow(row)
		}
	}
	f := store.Follower{
		Client: l.instance.controlStore, Table: memberTable, Read: l.instance.controlStore.PartitionReader(memberTable, memberPartition),
		OnResult: l.instance.recordStoreCall, OnSnapshot: changed, OnChange: changed,
	}
	f.Run(l.ctx)
}

// applyMemberRow opens, replaces or closes the link to a member whose registration has
// changed.
func (l *leadership) applyMemberRow(row store.Row) {
	if row.Key == l.instance.settings.Name {
		return
	}
	var w wireMember
	var address netip.AddrPort
	err := cbor.Unmarshal(row.Value, &w)
	if err == nil && !row.Deleted {
		address, err = netip.ParseAddrPort(w.Address)
	}
	if err != nil && !row.Deleted {
		logevent.InstanceRowUnreadable.Log(l.shard.log, zap.String("member", row.Key), errorField(err))
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	old := l.members[row.Key]
	if old != nil {
		if !row.Deleted && old.incarnation == w.Incarnation && old.address == address {
			return
		}
		old.cancel()
		if old.conn != nil {
			old.conn.Close()
		}
		delete(l.members, row.Key)
	}
	if row.Deleted || l.ctx.Err() != nil {
		return
	}
	ctx, cancel := context.WithCancel(l.ctx)
	m := &member{address: address, incarnation: w.Incarnation, capacity: w.leaderCapacity(), cancel: cancel}
	l.members[row.Key] = m
	l.goroutines.Go(func() { l.maintainLink(ctx, row.Key, m) })
}

// maintainLink opens the link to a member and opens it again whenever it has closed.
func (l *leadership) maintainLink(ctx context.Context, name string, m *member) {
	for ctx.Err() == nil {
		closed := make(chan struct{})
		conn, err := link.Dial(ctx, m.address, func(c *link.Conn, msg link.Message) { l.handleMemberMessage(name, c, msg) },
			func(*link.Conn, error) { close(closed) })
		if err == nil {
			conn.Send(link.Message{Kind: link.KindHello, Shard: l.shard.number, Name: l.instance.settings.Name, Token: l.token})
			select {
			case <-ctx.Done():
				conn.Close()
				return
			case <-closed:
			}
			l.setMemberConn(name, m, nil)
			if ctx.Err() == nil {
				logevent.InstanceUnlinked.Log(l.shard.log, zap.String("member", name))
			}
		}
		if !sleep(ctx, dialRetryDelay) {
			return
		}
	}
}

// setMemberConn sets the open link of a member, nil for none, unless the member has been
// replaced.
func (l *leadership) setMemberConn(name string, m *member, c *link.Conn) {
	l.mu.Lock()
	isCurrent := l.members[name] == m
	if isCurrent {
		m.conn = c
	}
	l.mu.Unlock()
	if isCurrent {
		l.postAdviceLanes()
	}
}

// postAdviceLanes posts the linked instances that can make calls for advice: those that
// prefer the shard, so that the calls do not wait behind those of other shards, or all if
// none prefers it. This instance is always among them.
func (l *leadership) postAdviceLanes() {
	var preferring, linked []string
	l.mu.Lock()
	for name, m := range l.members {
		if m.conn == nil {
			continue
		}
		linked = append(linked, name)
		if l.shard.preferenceDistance(name) == 0 {
			preferring = append(preferring, name)
		}
	}
	l.mu.Unlock()
	names := preferring
	if len(preferring) == 0 {
		names = linked
	}
	names = append(names, l.instance.settings.Name)
	slices.Sort(names)
	l.post(dispatch.LanesChanged{Names: names})
}
