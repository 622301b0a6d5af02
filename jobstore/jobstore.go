// Package jobstore keeps the jobs of a shard in the platform's store, with their
// cancellations, their progress and the row that names the shard's leader. It also
// stores the map of shards.
//
// Each job has its own row, which the accepting instance inserts into one of two
// partitions, the job's homes. They are derived from the job's id. There are two of
// them because parts of the store may be unavailable. A job that is submitted again may
// have a row in both homes; it is still one job. A cancellation is a separate row in a
// partition that holds the job. If none does, it is stored in both homes: an insertion that
// is executed later fails, and a submission that arrives later is stored as cancelled.
//
// A job may belong to a tenant. It is then invisible to the requests of others, and a
// cancellation by another tenant, stored before the job, does not concern it.
//
// Only the leader writes progress, in the partition of the leader's row. Progress that is
// too large for one row has further rows. Each save expects the last known version of the
// leader's row. So a save by a deposed leader fails, and a save whose answer was lost cannot be
// applied after a newer one.
//
// # Usage
//
//	s := jobstore.New(client, shard)
//	version, err := s.Accept(ctx, s.Homes(id)[0], id, encoded)
//	leader, leaderVersion, err := s.ReadLeader(ctx)
package jobstore

import (
	"context"
	"fmt"
	"slices"
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
	jobTablePrefix        = "jobs-" // followed by the shard; jobs and cancellations share a table because the leader follows only one
	progressTable         = "progress"
	workerTable           = "workers" // workers that may have runs of the shard
	leaderTable           = "leader"
	runTimesTable         = "runtimes" // what the shard's leaders have learned about run times
	runTimesKey           = "forecast"
	leaderPartitionPrefix = "leader-" // followed by the shard
	leaderKey             = "leader"
	cancelSuffix          = "/cancel"

	// jobPartitions is the number of partitions that hold jobs. A partition executes
	// its transactions one after another: about 200 a second, or only a few a second
	// if the store is slow.
	jobPartitions = 128
	// defaultParallelReads is the default of Store.MaxParallelReads.
	defaultParallelReads = 72
)

// ErrOtherTenant is the error of an insertion if a job of another tenant has the ID. Nothing
// was stored.
var ErrOtherTenant = errors.New("a job of another tenant has the id")

// ErrDeposed is the error of a save after another instance has claimed the
// leadership.
var ErrDeposed = errors.New("another instance has claimed the leadership")

// deposedError is the error of a save that found another version of the leader's
// row. It carries the row that was found and matches ErrDeposed.
type deposedError struct {
	leader  LeaderRow // zero if the row is missing or unreadable
	version int64
}

func (*deposedError) Error() string { return ErrDeposed.Error() }

// Is reports whether target is ErrDeposed.
func (*deposedError) Is(target error) bool { return target == ErrDeposed }

// newDeposedError returns a deposedError with the leader's row from a conflict.
func newDeposedError(c *store.Conflict) error {
	e := &deposedError{}
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

// Store reads and writes the rows of one shard. Its methods are safe for concurrent
// use.
type Store struct {
	client          *store.Client // for requests
	leaderClient    *store.Client // for the leader's row and saves
	loadClient      *store.Client
	jobTable        string
	leaderPartition string
	// MaxParallelReads limits the concurrent reads of a Loader.
	MaxParallelReads int
	// OnUnreadableRow is called by Load with the key of each row that cannot be decoded.
	OnUnreadableRow func(key string, err error)

	mu               sync.Mutex
	avoidUntil       map[string]time.Time // time until which Homes returns an unresponsive partition last
	lastUnresponsive time.Time            // when a partition last was unresponsive
}

// New returns the store of the given shard, which it accesses through c.
func New(c *store.Client, shard int) *Store {
	n := strconv.Itoa(shard)
	return &Store{client: c, leaderClient: c, loadClient: c, jobTable: jobTablePrefix + n, leaderPartition: leaderPartitionPrefix + n, MaxParallelReads: defaultParallelReads, avoidUntil: map[string]time.Time{}, OnUnreadableRow: func(string, error) {}}
}

// UseLeaderClients sets the clients for the leader's row with its saves and for Load, so that
// requests do not delay them.
func (s *Store) UseLeaderClients(leader, load *store.Client) {
	s.leaderClient, s.loadClient = leader, load
}

// JobTable returns the name of the table of the shard's jobs and cancellations.
func (s *Store) JobTable() string { return s.jobTable }

// homesPerJob is the number of partitions that may hold a job.
const homesPerJob = 2

// avoidDuration is how long Homes returns an unresponsive partition last.
const avoidDuration = time.Second

// Homes returns the partitions that may hold a job, in the order in which to try
// them. An unresponsive partition is last, unless both are unresponsive.
func (s *Store) Homes(id job.ID) [homesPerJob]string {
	homes := homesOf(id)
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Before(s.avoidUntil[homes[0]]) && !now.Before(s.avoidUntil[homes[1]]) {
		homes[0], homes[1] = homes[1], homes[0]
	}
	return homes
}

// homesOf returns the partitions that may hold a job, in an order that depends on its id alone.
func homesOf(id job.ID) [homesPerJob]string {
	hash := xxhash.Sum64String(string(id))
	first := hash % jobPartitions
	second := (first + 1 + hash/jobPartitions%(jobPartitions-1)) % jobPartitions
	return [homesPerJob]string{partitionName(first), partitionName(second)}
}

// IsMainHome reports whether a partition is the main home of a job, which is the same for all
// instances, whatever partitions they find unresponsive.
func IsMainHome(home string, id job.ID) bool { return home == homesOf(id)[0] }

func partitionName(n uint64) string { return fmt.Sprintf("p%d", n) }

// MarkUnresponsive records that a call to a partition got no answer. Homes returns the
// partition last for avoidDuration.
func (s *Store) MarkUnresponsive(home string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastUnresponsive = time.Now()
	s.avoidUntil[home] = s.lastUnresponsive.Add(avoidDuration)
}

// scatterDuration is how long jobs count as scattered over both homes after a partition was
// unresponsive. It exceeds the run time of most jobs and their retention.
const scatterDuration = 10 * time.Minute

// MayBeElsewhere reports whether a job that a home does not hold may well be in the other one:
// the home is not the main one, or a partition was unresponsive in the last minutes.
func (s *Store) MayBeElsewhere(home string, id job.ID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !IsMainHome(home, id) || !s.lastUnresponsive.IsZero() && time.Since(s.lastUnresponsive) < scatterDuration
}

// recordResponse records whether a partition answered a call. A call that was cancelled, or
// refused because of too many calls to the store, does not show whether the partition is
// responsive.
func (s *Store) recordResponse(home string, err error) {
	if errors.Is(err, context.Canceled) || errors.Is(err, store.ErrThrottled) {
		return
	}
	if err != nil && !errors.Is(err, store.ErrConflict) {
		s.MarkUnresponsive(home)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.avoidUntil, home)
}

// Accept inserts a job into one of its homes and returns the version of the new row. It
// returns zero if that home already holds the job, or its cancellation; a job that was
// cancelled before it was stored is stored as cancelled. It returns ErrOtherTenant if that home
// holds a job of another tenant, and store.ErrRefused if the store did nothing; after any other
// error the job may have been inserted.
func (s *Store) Accept(ctx context.Context, home string, id job.ID, encoded []byte) (version int64, err error) {
	version, err = s.insert(ctx, home, id, encoded, 0, false)
	var conflict *store.Conflict
	if !errors.As(err, &conflict) {
		return version, err
	}
	owner := ownerOf(encoded)
	cancelled, isForeign := int64(0), false
	for _, row := range conflict.Rows {
		switch {
		case row.Version == 0: // it does not exist
		case row.Key == string(id) && job.IsVisible(ownerOf(row.Value), owner):
			return 0, nil
		case row.Key == string(id):
			return 0, ErrOtherTenant
		case row.Key == cancellationKey(id):
			cancelled, isForeign = row.Version, !concerns(row.Value, owner)
		}
	}
	if cancelled == 0 {
		return 0, err
	}
	version, err = s.insert(ctx, home, id, encoded, cancelled, isForeign)
	if !isForeign {
		version = 0
	}
	return version, err
}

// insert inserts a job into a home whose cancellation has a version there, which is zero
// if there is none. The cancellation is deleted if isForeign is set.
func (s *Store) insert(ctx context.Context, home string, id job.ID, encoded []byte, cancelled int64, isForeign bool) (version int64, err error) {
	t := store.Transaction{
		Partition: home,
		Expected:  []store.Condition{{Table: s.jobTable, Key: string(id)}, {Table: s.jobTable, Key: cancellationKey(id), Version: cancelled}},
		Writes:    []store.Write{{Table: s.jobTable, Key: string(id), Value: encoded}},
	}
	if isForeign {
		t.Removals = []store.Removal{{Table: s.jobTable, Key: cancellationKey(id)}}
	}
	version, err = s.client.Commit(ctx, t)
	s.recordResponse(home, err)
	return version, err
}

func cancellationKey(id job.ID) string { return string(id) + cancelSuffix }

// concerns reports whether a stored cancellation applies to the jobs of an owner.
func concerns(cancellation []byte, owner string) bool {
	return job.IsVisible(owner, decodeCancellation(cancellation))
}

// Cancel stores a job's cancellation by a tenant in a partition that holds the job. It returns
// false and stores nothing if the job belongs to another tenant. If no home of
// the job holds it, Cancel stores it in all of them and returns false: an earlier insertion
// without an answer may still be in transit, and must fail.
func (s *Store) Cancel(ctx context.Context, id job.ID, tenant string) (bool, error) {
	found, err := s.readJobRows(ctx, id, tenant)
	if err != nil {
		return false, err
	}
	switch {
	case found.home != "":
		return true, s.writeCancellation(ctx, found.home, id, tenant, nil)
	case found.isForeign:
		return false, nil
	}
	return s.withdraw(ctx, id, tenant, found.cancelled)
}

// writeCancellation stores a job's cancellation in a home under conditions.
func (s *Store) writeCancellation(ctx context.Context, home string, id job.ID, tenant string, expected []store.Condition) error {
	value, err := encodeCancellation(tenant)
	if err != nil {
		return err
	}
	_, err = s.client.Commit(ctx, store.Transaction{
		Partition: home, Expected: expected,
		Writes: []store.Write{{Table: s.jobTable, Key: cancellationKey(id), Value: value}},
	})
	s.recordResponse(home, err)
	return err
}

// withdraw stores the cancellation of a job that is not stored in all homes of the job
// but those that have it. It returns true if a home holds the job by then, unless it belongs
// to another tenant.
func (s *Store) withdraw(ctx context.Context, id job.ID, tenant string, cancelled []string) (stored bool, err error) {
	homes := homesOf(id)
	found := make([]bool, len(homes))
	var group errgroup.Group
	for n, home := range homes {
		if slices.Contains(cancelled, home) {
			continue
		}
		group.Go(func() error {
			err := s.writeCancellation(ctx, home, id, tenant, []store.Condition{{Table: s.jobTable, Key: string(id)}})
			var conflict *store.Conflict
			if !errors.As(err, &conflict) {
				return err
			}
			for _, row := range conflict.Rows {
				if row.Key == string(id) && row.Version != 0 && !job.IsVisible(ownerOf(row.Value), tenant) {
					return nil
				}
			}
			found[n] = true
			return s.writeCancellation(ctx, home, id, tenant, nil)
		})
	}
	err = group.Wait()
	return slices.Contains(found, true), err
}

// jobRows tells which homes of a job hold which of its rows that a tenant can see.
type jobRows struct {
	home      string   // holds the job; empty if none does
	cancelled []string // hold a cancellation of the job
	isForeign bool     // a home holds a job of another tenant
}

// readJobRows reads the rows of a job and its cancellation from the job's homes. It fails
// if no home that answered holds the job and a home did not answer, since that one may
// hold it.
func (s *Store) readJobRows(ctx context.Context, id job.ID, tenant string) (jobRows, error) {
	type answer struct {
		home string
		rows []store.Row
		err  error
	}
	homes := s.Homes(id)
	answers := make(chan answer, len(homes))
	for _, home := range homes {
		go func() {
			rows, _, err := s.client.Read(ctx, s.jobTable, home, string(id), string(id)+"~")
			answers <- answer{home, rows, err}
		}()
	}
	var found jobRows
	var err error
	owner := tenant
	var cancellations []answer
	for range homes {
		a := <-answers
		if a.err != nil {
			err = a.err
		}
		for _, row := range a.rows {
			switch row.Key {
			case string(id):
				if rowOwner := ownerOf(row.Value); job.IsVisible(rowOwner, tenant) {
					found.home, owner = a.home, rowOwner
				} else {
					found.isForeign = true
				}
			case cancellationKey(id):
				cancellations = append(cancellations, answer{home: a.home, rows: []store.Row{row}})
			}
		}
	}
	for _, c := range cancellations {
		if concerns(c.rows[0].Value, owner) {
			found.cancelled = append(found.cancelled, c.home)
		}
	}
	if found.home != "" {
		return found, nil
	}
	return found, err
}

// Remove deletes a job and its cancellation from all homes of the job.
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

// ReadState reads a job's state from the store alone, without asking the leader. The
// state is empty if the job does not exist. It does not regard the job's tenant.
func (s *Store) ReadState(ctx context.Context, id job.ID) (job.State, error) {
	state, err := s.readProgressState(ctx, id)
	if err != nil || state != "" {
		return state, err
	}
	rows, err := s.readJobRows(ctx, id, "")
	if err != nil {
		return "", err
	}
	return rows.state(), nil
}

// ReadTenantState reads a job's state as ReadState does. The state is also empty if the job
// belongs to another tenant.
func (s *Store) ReadTenantState(ctx context.Context, id job.ID, tenant string) (job.State, error) {
	// The progress does not name the tenant.
	rows, err := s.readJobRows(ctx, id, tenant)
	if err != nil || rows.home == "" {
		return "", err
	}
	state, err := s.readProgressState(ctx, id)
	if err != nil || state != "" {
		return state, err
	}
	return rows.state(), nil
}

// state returns the state of a job without progress.
func (r *jobRows) state() job.State {
	switch {
	case r.home == "":
		return ""
	case len(r.cancelled) > 0:
		return job.StateCancelled
	}
	return job.StateQueued
}

// readProgressState returns the state of a job by its progress, or an empty one if it has
// made none.
func (s *Store) readProgressState(ctx context.Context, id job.ID) (job.State, error) {
	row, err := s.client.ReadRow(ctx, progressTable, s.leaderPartition, string(id))
	if err != nil || row.Version == 0 {
		return "", err
	}
	p, err := DecodeProgress(dispatch.ProgressPart{ID: id}, row.Value)
	switch {
	case err != nil:
		return "", err
	case p.State == "" && p.Started:
		return job.StateRunning, nil
	}
	return p.State, nil
}

// JobChange is a decoded row of the job table: a job or a cancellation.
type JobChange struct {
	Job          *job.Job
	Cancellation dispatch.CancelAccepted // with an empty id if the row is a job
}

// DecodeRow decodes a row of the job table.
func DecodeRow(row store.Row) (JobChange, error) {
	if id, ok := strings.CutSuffix(row.Key, cancelSuffix); ok {
		return JobChange{Cancellation: dispatch.CancelAccepted{ID: job.ID(id), Tenant: decodeCancellation(row.Value)}}, nil
	}
	j, err := DecodeJob(row.Value)
	if err != nil {
		return JobChange{}, errors.Wrapf(err, "row %s", row.Key)
	}
	j.Version = row.Version
	return JobChange{Job: &j}, nil
}

// Load reads the shard as a Loader of its own does.
func (s *Store) Load(ctx context.Context, minVersion int64) (dispatch.JobsLoaded, int64, error) {
	return s.NewLoader(minVersion).Load(ctx)
}

// Reads of a Loader: the job partitions, the ranges of progress, and two small tables.
const (
	progressRanges = len(firstIDDigits)
	loaderReads    = jobPartitions + progressRanges + 2
)

// Loader reads all jobs, cancellations, progress and workers of a shard. It keeps what it has
// read when Load fails, so that on a slow link each call adds to the ones before. It is not safe
// for concurrent use.
type Loader struct {
	store      *Store
	minVersion int64
	results    [loaderReads][]store.Row
	versions   [loaderReads]int64
	isRead     [loaderReads]bool
}

// NewLoader returns a loader that has read nothing. It repeats reads that are older than
// minVersion.
func (s *Store) NewLoader(minVersion int64) *Loader { return &Loader{store: s, minVersion: minVersion} }

// read makes one of the reads.
func (l *Loader) read(ctx context.Context, n int) error {
	s := l.store
	table, partition, from, to := progressTable, s.leaderPartition, "", ""
	switch {
	case n < jobPartitions:
		table, partition = s.jobTable, partitionName(uint64(n))
	case n == loaderReads-1:
		table = workerTable
	case n == loaderReads-2:
		table = runTimesTable
	default:
		// All progress is in one partition, which is read in ranges by the
		// first digit of the job id.
		digit := n - jobPartitions
		from = firstIDDigits[digit:][:1]
		if digit+1 < progressRanges {
			to = firstIDDigits[digit+1:][:1]
		}
	}
	for {
		rows, version, err := s.loadClient.Read(ctx, table, partition, from, to)
		if err != nil {
			return err
		}
		if version >= l.minVersion {
			l.results[n], l.versions[n], l.isRead[n] = rows, version, true
			return nil
		}
		time.Sleep(staleReadDelay)
	}
}

// Load returns the shard. A row that cannot be decoded costs the job that it belongs to, with
// its progress, and is reported to OnUnreadableRow. The result includes all changes up to the
// returned version; it may lack later ones.
func (l *Loader) Load(ctx context.Context) (dispatch.JobsLoaded, int64, error) {
	s := l.store
	var loaded dispatch.JobsLoaded
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(s.MaxParallelReads)
	for n := range loaderReads {
		if !l.isRead[n] {
			group.Go(func() error { return l.read(ctx, n) })
		}
	}
	if err := group.Wait(); err != nil {
		return loaded, 0, err
	}
	results, versions := l.results, l.versions
	for _, row := range results[loaderReads-2] {
		if row.Key == runTimesKey {
			loaded.RunTimes = row.Value
		}
	}
	for _, row := range results[loaderReads-1] {
		w, err := decodeEnrolment(row.Key, row.Value)
		if err != nil {
			// It may have runs. Without its address it cannot be read, so that these count
			// as lost when its lease has expired.
			s.OnUnreadableRow(row.Key, err)
			w = dispatch.Enrolment{Worker: job.Worker{ID: job.WorkerID(row.Key)}, StrayLease: true}
		}
		loaded.Workers = append(loaded.Workers, w)
	}
	unreadable := map[job.ID]bool{} // jobs whose progress is unknown; none of their tasks may start
	for _, rows := range results[jobPartitions : jobPartitions+progressRanges] {
		for _, row := range rows {
			part, err := parseProgressKey(row.Key)
			var p dispatch.Progress
			if err == nil {
				p, err = DecodeProgress(part, row.Value)
			}
			if err != nil {
				s.OnUnreadableRow(row.Key, err)
				unreadable[part.ID] = true
				continue
			}
			loaded.Progress = append(loaded.Progress, p)
		}
	}
	indexes := map[job.ID]int{}         // positions in loaded.Jobs
	unreadableJobs := map[job.ID]bool{} // whose progress is kept for a version that can decode them
	for _, rows := range results[:jobPartitions] {
		for _, row := range rows {
			change, err := DecodeRow(row)
			switch {
			case err != nil:
				s.OnUnreadableRow(row.Key, err)
				unreadableJobs[job.ID(row.Key)] = true
			case change.Job != nil && unreadable[change.Job.ID]:
			case change.Job != nil:
				index, exists := indexes[change.Job.ID]
				if !exists {
					indexes[change.Job.ID] = len(loaded.Jobs)
					loaded.Jobs = append(loaded.Jobs, *change.Job)
					continue
				}
				loaded.Resubmitted = append(loaded.Resubmitted, change.Job.ID)
				if change.Job.AcceptedAt.Before(loaded.Jobs[index].AcceptedAt) {
					loaded.Jobs[index] = *change.Job
				}
			default:
				loaded.Cancels = append(loaded.Cancels, change.Cancellation)
			}
		}
	}
	loaded.Progress = slices.DeleteFunc(loaded.Progress, func(p dispatch.Progress) bool {
		_, known := indexes[p.ID]
		return unreadableJobs[p.ID] && !known
	})
	oldestVersion := versions[0]
	for _, v := range versions {
		oldestVersion = min(oldestVersion, v)
	}
	return loaded, oldestVersion, nil
}

// firstIDDigits holds the lower bounds of the ranges in which progress is read: first
// digits of job ids, in the order of the store's keys. Ids in capitals are rare and
// share a range.
const firstIDDigits = "0123456789Aabcdef"

// staleReadDelay is the delay before a read that returned too old a version is repeated.
const staleReadDelay = 100 * time.Millisecond

// ReadLeader reads the leader's row and its version, which is zero if there is no row.
func (s *Store) ReadLeader(ctx context.Context) (LeaderRow, int64, error) {
	row, err := s.leaderClient.ReadRow(ctx, leaderTable, s.leaderPartition, leaderKey)
	if err != nil || row.Version == 0 {
		return LeaderRow{}, 0, err
	}
	l, writtenClock, err := decodeLeader(row.Value)
	if clock, known := s.leaderClient.Clock(); known && writtenClock > 0 {
		l.WrittenAt = time.Now().Add(writtenClock - clock)
	}
	return l, row.Version, err
}

// WriteLeader replaces the leader's row if it still has the given version, and writes
// save, which may be nil, in the same transaction. It returns the new version, or an
// error that matches ErrDeposed if the row has another version.
func (s *Store) WriteLeader(ctx context.Context, version int64, l LeaderRow, save *dispatch.Save) (int64, error) {
	clock, known := s.leaderClient.Clock()
	if !known {
		clock = 0
	}
	value, err := encodeLeader(l, clock)
	if err != nil {
		return 0, err
	}
	t := store.Transaction{
		Partition: s.leaderPartition,
		Expected:  []store.Condition{{Table: leaderTable, Key: leaderKey, Version: version}},
		Writes:    []store.Write{{Table: leaderTable, Key: leaderKey, Value: value}},
	}
	if save != nil {
		if err := addSave(&t, save); err != nil {
			return 0, err
		}
	}
	newVersion, err := s.leaderClient.Commit(ctx, t)
	var conflict *store.Conflict
	if errors.As(err, &conflict) {
		return 0, newDeposedError(conflict)
	}
	return newVersion, err
}

// addSave adds the rows of a save to the transaction that writes the leader's row.
func addSave(t *store.Transaction, save *dispatch.Save) error {
	for _, p := range save.Progress {
		data, err := EncodeProgress(p)
		if err != nil {
			return err
		}
		t.Writes = append(t.Writes, store.Write{Table: progressTable, Key: progressKey(dispatch.ProgressPart{ID: p.ID, Part: p.Part}), Value: data})
	}
	for _, p := range save.RemovedParts {
		t.Removals = append(t.Removals, store.Removal{Table: progressTable, Key: progressKey(p)})
	}
	for _, e := range save.Enrolled {
		data, err := encodeEnrolment(e)
		if err != nil {
			return err
		}
		t.Writes = append(t.Writes, store.Write{Table: workerTable, Key: string(e.Worker.ID), Value: data})
	}
	if len(save.RunTimes) > 0 {
		t.Writes = append(t.Writes, store.Write{Table: runTimesTable, Key: runTimesKey, Value: save.RunTimes})
	}
	for _, id := range save.RemovedProgress {
		t.Removals = append(t.Removals, store.Removal{Table: progressTable, Key: string(id)})
	}
	for _, id := range save.Unenrolled {
		t.Removals = append(t.Removals, store.Removal{Table: workerTable, Key: string(id)})
	}
	return nil
}
