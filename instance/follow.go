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

// followJobs loads the jobs and then posts each change.
func (l *leadership) followJobs(least int64) {
	f := store.Follower{
		Client: l.i.store, Table: l.shard.jobs.JobTable(), Changed: l.jobsChanged, Reached: l.i.reached,
		Replaced: func([]store.Row) {},
		Read: func(ctx context.Context) ([]store.Row, int64, error) {
			ctx, cancel := context.WithTimeout(ctx, loadTimeout)
			defer cancel()
			began := time.Now()
			loaded, version, err := l.shard.jobs.Load(ctx, least)
			if err != nil {
				return nil, 0, err
			}
			logevent.JobsLoaded.Log(l.shard.log, zap.Int("jobs", len(loaded.Jobs)), zap.Int("progress", len(loaded.Progress)),
				zap.Int64("version", version), zap.Duration("took", time.Since(began)))
			l.post(loaded)
			return nil, version, nil
		},
	}
	f.Run(l.ctx)
}

func (l *leadership) jobsChanged(rows []store.Row) {
	for _, row := range rows {
		if row.Deleted {
			continue
		}
		change, err := jobstore.Decode(row)
		switch {
		case err != nil:
			logevent.JobUnreadable.Log(l.shard.log, zap.String("key", row.Key), failure(err))
		case change.Job != nil:
			l.post(dispatch.JobAccepted{Job: *change.Job})
		default:
			l.post(dispatch.CancelAccepted{ID: change.Cancelled})
		}
	}
	// The instances tell of what they store; the changes are for what they could
	// not tell.
	sleep(l.ctx, changesInterval)
}

// followWorkers posts the registrations of the shard's workers.
func (l *leadership) followWorkers() {
	listed := map[job.WorkerID]bool{}
	shards := l.shard.division.shardMap
	apply := func(row store.Row) {
		id := job.WorkerID(row.Key)
		if row.Deleted {
			delete(listed, id)
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
				err = errRackMissing
			}
		}
		if err != nil {
			logevent.WorkerUnreadable.Log(l.shard.log, zap.String("worker", row.Key), failure(err))
			if listed[id] {
				delete(listed, id)
				l.post(dispatch.WorkerUnlisted{ID: id})
			}
			return
		}
		listed[id] = true
		l.post(dispatch.WorkerListed{Worker: w})
	}
	f := store.Follower{
		Client: l.i.store, Table: operator.WorkerTable, Read: l.i.store.ReadPartition(operator.WorkerTable, ""),
		Reached: l.i.reached,
		Replaced: func(rows []store.Row) {
			missing := listed
			listed = map[job.WorkerID]bool{}
			for _, row := range rows {
				delete(missing, job.WorkerID(row.Key))
				apply(row)
			}
			for id := range missing {
				l.post(dispatch.WorkerUnlisted{ID: id})
			}
			l.post(dispatch.WorkersRead{})
		},
		Changed: func(rows []store.Row) {
			for _, row := range rows {
				apply(row)
			}
		},
	}
	f.Run(l.ctx)
}

// errRackMissing is the error of a registration that belongs to no shard.
var errRackMissing = errors.New("registration without a rack in a fleet with racks")

// followMembers keeps a link to each registered instance.
func (l *leadership) followMembers() {
	changed := func(rows []store.Row) {
		for _, row := range rows {
			l.memberChanged(row)
		}
	}
	f := store.Follower{
		Client: l.i.store, Table: memberTable, Read: l.i.store.ReadPartition(memberTable, memberPart),
		Reached: l.i.reached, Replaced: changed, Changed: changed,
	}
	f.Run(l.ctx)
}

func (l *leadership) memberChanged(row store.Row) {
	if row.Key == l.i.settings.Name {
		return
	}
	var w wireMember
	var address netip.AddrPort
	err := cbor.Unmarshal(row.Value, &w)
	if err == nil && !row.Deleted {
		address, err = netip.ParseAddrPort(w.Address)
	}
	if err != nil && !row.Deleted {
		logevent.MemberUnreadable.Log(l.shard.log, zap.String("member", row.Key), failure(err))
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	old := l.members[row.Key]
	if old != nil {
		if !row.Deleted && old.life == w.Life && old.address == address {
			return
		}
		old.stop()
		if old.conn != nil {
			old.conn.Close()
		}
		delete(l.members, row.Key)
	}
	if row.Deleted || l.ctx.Err() != nil {
		return
	}
	ctx, stop := context.WithCancel(l.ctx)
	m := &member{address: address, life: w.Life, share: w.Share, stop: stop}
	l.members[row.Key] = m
	l.running.Go(func() { l.keepLink(ctx, row.Key, m) })
}

// keepLink opens the link to a member again whenever it has closed.
func (l *leadership) keepLink(ctx context.Context, name string, m *member) {
	for ctx.Err() == nil {
		down := make(chan struct{})
		conn, err := link.Dial(ctx, m.address, func(c *link.Conn, msg link.Message) { l.received(name, c, msg) },
			func(*link.Conn, error) { close(down) })
		if err == nil {
			conn.Send(link.Message{Kind: link.KindHello, Shard: l.shard.number, Name: l.i.settings.Name, Token: l.token})
			select {
			case <-ctx.Done():
				conn.Close()
				return
			case <-down:
			}
			l.setConn(name, m, nil)
			if ctx.Err() == nil {
				logevent.MemberLost.Log(l.shard.log, zap.String("member", name))
			}
		}
		if !sleep(ctx, dialRetry) {
			return
		}
	}
}

func (l *leadership) setConn(name string, m *member, c *link.Conn) {
	l.mu.Lock()
	current := l.members[name] == m
	if current {
		m.conn = c
	}
	l.mu.Unlock()
	if current {
		l.lanes()
	}
}

// lanes lists the instances that can ask for advice: those that prefer the shard, so
// that its calls wait behind no others, or all if none prefers it.
func (l *leadership) lanes() {
	var near, all []string
	l.mu.Lock()
	for name, m := range l.members {
		if m.conn == nil {
			continue
		}
		all = append(all, name)
		if l.shard.distance(name) == 0 {
			near = append(near, name)
		}
	}
	l.mu.Unlock()
	names := near
	if len(near) == 0 {
		names = all
	}
	names = append(names, l.i.settings.Name)
	slices.Sort(names)
	l.post(dispatch.LanesChanged{Names: names})
}
