// Package jobstore keeps the jobs of a shard, their cancellations, their progress
// and the row of the shard's leader in the platform's store, and the map of shards.
//
// A job is a row of its own, inserted by the instance that took it, in one of two
// partitions by its id: parts of the store may be away. A job that is sent again
// may lie in both; it remains one job. Its cancellation is a row beside it. Progress is written
// by the leader alone, in the partition of the leader's row, whose version each
// save expects: a save of a deposed leader fails, and a save whose answer was
// lost cannot land after a newer one.
//
// # Usage
//
//	s := jobstore.New(client, shard)
//	created, err := s.Accept(ctx, s.Homes(id)[0], id, encoded)
//	leader, version, err := s.ReadLeader(ctx)
package jobstore

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"

	"fuchsiacross/dispatch"
	"fuchsiacross/job"
	"fuchsiacross/platform/store"
)

const (
	jobTables     = "jobs-" // each shard's jobs and cancellations; its leader follows the changes of one table
	progressTable = "progress"
	workerTable   = "workers" // that take runs
	leaderTable   = "leader"
	leaderParts   = "leader-" // of each shard
	leaderKey     = "leader"
	cancelSuffix  = "/cancel"

	// partitions spreads the inserts: one partition takes about 200 transactions
	// a second one after another, and a few where the store is slow.
	partitions = 128
	// parallelReads bounds the ranges that are read at once.
	parallelReads = 72
)

// ErrDeposed is the error of a save after another instance has claimed the
// leadership.
var ErrDeposed = errors.New("another instance has claimed the leadership")

// replacedError is the error of a save that found another version of the leader's
// row. It carries that row and matches ErrDeposed.
type replacedError struct {
	leader  LeaderRow // zero if the row cannot be read
	version int64
}

func (*replacedError) Error() string { return ErrDeposed.Error() }

// Is makes errors.Is(err, ErrDeposed) hold.
func (*replacedError) Is(target error) bool { return target == ErrDeposed }

// replaced returns the leader's row among those of a conflict.
func replaced(c *store.Conflict) error {
	e := &replacedError{}
	for _, row := range c.Rows {
		if row.Table != leaderTable || row.Key != leaderKey {
			continue
		}
		if l, _, err := decodeLeader(row.Value); err == nil {
			e.leader, e.version = l, row.Version
		}
	}
	return e
}

// Store reads and writes jobs. Its methods are safe for concurrent use.
type Store struct {
	client     *store.Client
	jobTable   string
	leaderPart string

	mu       sync.Mutex
	doubtful map[string]time.Time // partitions that gave no answer, until when they are avoided
}

// New returns the store of a shard on a client.
func New(c *store.Client, shard int) *Store {
	n := strconv.Itoa(shard)
	return &Store{client: c, jobTable: jobTables + n, leaderPart: leaderParts + n, doubtful: map[string]time.Time{}}
}

// JobTable names the table of the shard's jobs and cancellations.
func (s *Store) JobTable() string { return s.jobTable }

// homes is the number of partitions that may hold a job.
const homes = 2

// doubtSpan is how long a partition without an answer is not tried first.
const doubtSpan = time.Second

// Homes returns the partitions that may hold a job, the one to try first at the
// front.
func (s *Store) Homes(id job.ID) [homes]string {
	hash := xxhash.Sum64String(string(id))
	first := hash % partitions
	second := (first + 1 + hash/partitions%(partitions-1)) % partitions
	h := [homes]string{partitionName(first), partitionName(second)}
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Before(s.doubtful[h[0]]) && !now.Before(s.doubtful[h[1]]) {
		h[0], h[1] = h[1], h[0]
	}
	return h
}

func partitionName(n uint64) string { return fmt.Sprintf("p%d", n) }

// Doubt notes that a partition gives no answer.
func (s *Store) MarkUnresponsive(home string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.doubtful[home] = time.Now().Add(doubtSpan)
}

// answered notes the outcome of a call; one that was given up tells nothing.
func (s *Store) answered(home string, err error) {
	if errors.Is(err, context.Canceled) {
		return
	}
	if err != nil && !errors.Is(err, store.ErrConflict) {
		s.MarkUnresponsive(home)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.doubtful, home)
}

// Accept inserts a job into one of its homes unless it exists there, and returns the
// version of the new row, or zero. It returns store.ErrRefused if the store did
// nothing; after another error the job may have been inserted.
func (s *Store) Accept(ctx context.Context, home string, id job.ID, encoded []byte) (version int64, err error) {
	version, err = s.client.Commit(ctx, store.Transaction{
		Partition: home,
		Expected:  []store.Condition{{Table: s.jobTable, Key: string(id)}},
		Writes:    []store.Write{{Table: s.jobTable, Key: string(id), Value: encoded}},
	})
	s.answered(home, err)
	if errors.Is(err, store.ErrConflict) {
		return 0, nil
	}
	return version, err
}

// Cancel stores a job's cancellation beside the job. It returns false if the job
// does not exist in any of its homes.
func (s *Store) Cancel(ctx context.Context, id job.ID) (bool, error) {
	home, rows, err := s.find(ctx, id)
	if err != nil || len(rows) == 0 {
		return false, err
	}
	_, err = s.client.Commit(ctx, store.Transaction{
		Partition: home,
		Writes:    []store.Write{{Table: s.jobTable, Key: string(id) + cancelSuffix, Value: []byte{1}}},
	})
	s.answered(home, err)
	return err == nil, err
}

// find reads the rows of a job from its homes, and names one that has them. That
// a job does not exist is known only if all homes answer.
func (s *Store) find(ctx context.Context, id job.ID) (home string, rows []store.Row, err error) {
	type answer struct {
		home string
		rows []store.Row
		err  error
	}
	all := s.Homes(id)
	answers := make(chan answer, len(all))
	for _, home := range all {
		go func() {
			rows, _, err := s.client.Read(ctx, s.jobTable, home, string(id), string(id)+"~")
			answers <- answer{home, rows, err}
		}()
	}
	for range all {
		a := <-answers
		if a.err != nil {
			err = a.err
		}
		if len(a.rows) > 0 {
			home, rows = a.home, append(rows, a.rows...)
		}
	}
	if len(rows) > 0 {
		err = nil
	}
	return home, rows, err
}

// Remove deletes the rows of a job and of its cancellation from all its homes.
func (s *Store) Remove(ctx context.Context, id job.ID) error {
	for _, home := range s.Homes(id) {
		rows, _, err := s.client.Read(ctx, s.jobTable, home, string(id), string(id)+"~")
		if err != nil {
			return err
		}
		if len(rows) == 0 {
			continue
		}
		t := store.Transaction{Partition: home}
		for _, row := range rows {
			t.Expected = append(t.Expected, store.Condition{Table: s.jobTable, Key: row.Key, Version: row.Version})
			t.Removals = append(t.Removals, store.Removal{Table: s.jobTable, Key: row.Key})
		}
		if _, err := s.client.Commit(ctx, t); err != nil {
			return err
		}
	}
	return nil
}

// Lookup reads a job's state without the help of the leader. The state is empty
// if the job does not exist.
func (s *Store) ReadState(ctx context.Context, id job.ID) (job.State, error) {
	row, err := s.client.ReadRow(ctx, progressTable, s.leaderPart, string(id))
	if err != nil {
		return "", err
	}
	if row.Version != 0 {
		p, err := DecodeProgress(id, row.Value)
		if err != nil {
			return "", err
		}
		switch {
		case p.State != "":
			return p.State, nil
		case p.Started:
			return job.StateRunning, nil
		}
	}
	_, rows, err := s.find(ctx, id)
	switch {
	case err != nil:
		return "", err
	case len(rows) == 0:
		return "", nil
	}
	for _, row := range rows {
		if strings.HasSuffix(row.Key, cancelSuffix) {
			return job.StateCancelled, nil
		}
	}
	return job.StateQueued, nil
}

// Change is a change of the job table.
type Change struct {
	Job       *job.Job
	Cancelled job.ID // of a cancellation; else empty
}

// Decode decodes a row of the job table.
func DecodeRow(row store.Row) (Change, error) {
	if id, ok := strings.CutSuffix(row.Key, cancelSuffix); ok {
		return Change{Cancelled: job.ID(id)}, nil
	}
	j, err := DecodeJob(row.Value)
	if err != nil {
		return Change{}, errors.Wrapf(err, "row %s", row.Key)
	}
	j.Version = row.Version
	return Change{Job: &j}, nil
}

// Load reads all jobs, cancellations and progress. Changes after the returned
// version are not included. The answers are at least as new as least.
func (s *Store) Load(ctx context.Context, least int64) (dispatch.JobsLoaded, int64, error) {
	var loaded dispatch.JobsLoaded
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(parallelReads)
	const ranges = len(idDigits)
	const readings = partitions + ranges + 1
	found := make([][]store.Row, readings)
	versions := make([]int64, readings)
	for i := range found {
		group.Go(func() error {
			table, part, from, to := progressTable, s.leaderPart, "", ""
			switch {
			case i < partitions:
				table, part = s.jobTable, partitionName(uint64(i))
			case i == readings-1:
				table = workerTable
			default:
				// One partition, read in ranges of the first digit of the job's id.
				digit := i - partitions
				from = idDigits[digit:][:1]
				if digit+1 < ranges {
					to = idDigits[digit+1:][:1]
				}
			}
			for {
				var err error
				found[i], versions[i], err = s.client.Read(ctx, table, part, from, to)
				if err != nil {
					return err
				}
				if versions[i] >= least {
					return nil
				}
				time.Sleep(staleRetry)
			}
		})
	}
	if err := group.Wait(); err != nil {
		return loaded, 0, err
	}
	for _, row := range found[len(found)-1] {
		w, err := decodeWorker(row.Key, row.Value)
		if err != nil {
			return loaded, 0, errors.Wrapf(err, "worker %s", row.Key)
		}
		loaded.Workers = append(loaded.Workers, w)
	}
	for _, rows := range found[partitions : partitions+ranges] {
		for _, row := range rows {
			p, err := DecodeProgress(job.ID(row.Key), row.Value)
			if err != nil {
				return loaded, 0, errors.Wrapf(err, "progress of %s", row.Key)
			}
			loaded.Progress = append(loaded.Progress, p)
		}
	}
	known := map[job.ID]int{} // positions in loaded.Jobs
	for _, rows := range found[:partitions] {
		for _, row := range rows {
			change, err := DecodeRow(row)
			switch {
			case err != nil:
				return loaded, 0, err
			case change.Job != nil:
				at, twice := known[change.Job.ID]
				if !twice {
					known[change.Job.ID] = len(loaded.Jobs)
					loaded.Jobs = append(loaded.Jobs, *change.Job)
					continue
				}
				loaded.Resubmitted = append(loaded.Resubmitted, change.Job.ID)
				if change.Job.AcceptedAt.Before(loaded.Jobs[at].AcceptedAt) {
					loaded.Jobs[at] = *change.Job
				}
			default:
				loaded.Cancels = append(loaded.Cancels, change.Cancelled)
			}
		}
	}
	oldest := versions[0]
	for _, v := range versions {
		oldest = min(oldest, v)
	}
	return loaded, oldest, nil
}

// idDigits are where the ranges begin: first digits of ids, in the order of the
// store's keys. Ids in capitals are rare and share a range.
const idDigits = "0123456789Aabcdef"

// staleRetry is the pause before a reading that was older than wanted is repeated.
const staleRetry = 100 * time.Millisecond

// ReadLeader reads the leader's row and its version, zero if there is none.
func (s *Store) ReadLeader(ctx context.Context) (LeaderRow, int64, error) {
	row, err := s.client.ReadRow(ctx, leaderTable, s.leaderPart, leaderKey)
	if err != nil || row.Version == 0 {
		return LeaderRow{}, 0, err
	}
	l, written, err := decodeLeader(row.Value)
	if now, known := s.client.Clock(); known && written > 0 {
		l.WrittenAt = time.Now().Add(written - now)
	}
	return l, row.Version, err
}

// WriteLeader replaces the leader's row of a version, together with what is to be
// saved, if anything. It returns the new version, or ErrDeposed if the row has
// another version.
func (s *Store) WriteLeader(ctx context.Context, version int64, l LeaderRow, save *dispatch.Save) (int64, error) {
	clock, known := s.client.Clock()
	if !known {
		clock = 0
	}
	value, err := encodeLeader(l, clock)
	if err != nil {
		return 0, err
	}
	t := store.Transaction{
		Partition: s.leaderPart,
		Expected:  []store.Condition{{Table: leaderTable, Key: leaderKey, Version: version}},
		Writes:    []store.Write{{Table: leaderTable, Key: leaderKey, Value: value}},
	}
	if save != nil {
		if err := addSave(&t, save); err != nil {
			return 0, err
		}
	}
	written, err := s.client.Commit(ctx, t)
	var conflict *store.Conflict
	if errors.As(err, &conflict) {
		return 0, replaced(conflict)
	}
	return written, err
}

// addSave adds the rows of a save to the transaction that writes the leader's.
func addSave(t *store.Transaction, save *dispatch.Save) error {
	for _, p := range save.Progress {
		text, err := EncodeProgress(p)
		if err != nil {
			return err
		}
		t.Writes = append(t.Writes, store.Write{Table: progressTable, Key: string(p.ID), Value: text})
	}
	for _, w := range save.Enrolled {
		text, err := encodeWorker(w)
		if err != nil {
			return err
		}
		t.Writes = append(t.Writes, store.Write{Table: workerTable, Key: string(w.ID), Value: text})
	}
	for _, id := range save.RemovedProgress {
		t.Removals = append(t.Removals, store.Removal{Table: progressTable, Key: string(id)})
	}
	for _, id := range save.Unenrolled {
		t.Removals = append(t.Removals, store.Removal{Table: workerTable, Key: string(id)})
	}
	return nil
}
