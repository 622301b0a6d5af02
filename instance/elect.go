package instance

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"fuchsiacross/dispatch"
	"fuchsiacross/election"
	"fuchsiacross/jobstore"
	"fuchsiacross/logevent"
	"fuchsiacross/platform/store"
)

const (
	electionInterval = 50 * time.Millisecond
	maxClaimJitter   = 50 * time.Millisecond
	// slowProcessorRanks is added to the rank of an instance whose processor has become
	// slow, as if so many larger instances were to claim before it.
	slowProcessorRanks = 5
	// nonPreferredRanks is the penalty for a shard that the instance does not prefer,
	// otherShardRanks the one for each other shard that it leads.
	nonPreferredRanks = 3
	otherShardRanks   = 5
)

// runElection watches the leader of the shard. When this instance wins the leadership, it
// leads until the term ends and then watches again.
func (s *shard) runElection() {
	i := s.instance
	if !i.waitForConfiguration(i.ctx) {
		return
	}
	e := s.newElection(randomDelay(maxClaimJitter))
	lastHeardAt := time.Time{}
	if !s.isPreferred() {
		// Only the instances that prefer the shard look for its leader at once. Otherwise
		// each instance of a restarted fleet would read the leader rows of all shards at
		// the same time.
		e.RecordLeaderMessage(time.Now(), 0)
	}
	var predecessor jobstore.LeaderRow // leader of the row that was last read or released
	for sleep(i.ctx, electionInterval) {
		if i.stopping.Load() {
			continue
		}
		e.SetRank(s.claimRank())
		now := time.Now()
		i.mu.Lock()
		switch {
		case s.leaderHeardAt.After(lastHeardAt):
			lastHeardAt = s.leaderHeardAt
			e.RecordLeaderMessage(lastHeardAt, s.leaderWriteTime)
		case s.leaderHeardAt.IsZero() && !lastHeardAt.IsZero():
			lastHeardAt = time.Time{}
			if s.isPreferred() {
				e.RecordLinkClosed()
			}
		}
		release := s.leaderRelease
		s.leaderRelease = nil
		i.mu.Unlock()
		if release != nil {
			lastHeardAt = time.Time{}
			predecessor = jobstore.LeaderRow{Token: release.token}
			e.RecordRelease(now, release.version, release.successor)
		}
		switch e.NextAction(now) {
		case election.Read:
			sentAt := time.Now()
			ctx, cancel := context.WithTimeout(i.ctx, storeCallTimeout)
			l, version, err := s.jobs.ReadLeader(ctx)
			cancel()
			i.recordStoreCall(err)
			if err != nil {
				e.RecordReadFailure(time.Now())
				continue
			}
			predecessor = l
			// A row written by an earlier process of this instance has no leader any more.
			ended := l.Released || l.Name == i.settings.Name && l.Incarnation != i.incarnation
			e.RecordRow(time.Now(), sentAt, l.WrittenAt, version, ended)
		case election.Claim:
			s.claimLeadership(e, predecessor)
			e = s.newElection(randomDelay(maxClaimJitter))
			lastHeardAt = time.Now()
			e.RecordLeaderMessage(lastHeardAt, 0)
		}
	}
}

// newElection returns the state of an instance that knows nothing about the leader.
func (s *shard) newElection(jitter time.Duration) *election.Election {
	return election.New(s.availableCapacity(), s.confirmationInterval(), jitter)
}

// claimLeadership tries to become the leader and leads until the term ends. It does not
// read the row again: the claim fails if the row has changed. Of a predecessor that has
// released the leadership, only the token is known.
func (s *shard) claimLeadership(e *election.Election, predecessor jobstore.LeaderRow) {
	i := s.instance
	version := e.RowVersion()
	ctx, cancel := context.WithTimeout(i.ctx, storeCallTimeout)
	defer cancel()
	unchanged, slowestRead := e.ClaimEvidence(time.Now())
	claimed := jobstore.LeaderRow{Name: i.settings.Name, Incarnation: i.incarnation, Token: nextToken(predecessor.Token)}
	sentAt := time.Now()
	newVersion, err := s.jobs.WriteLeader(ctx, version, claimed, nil)
	if err != nil && !errors.Is(err, jobstore.ErrDeposed) && !errors.Is(err, store.ErrRefused) {
		// Without an answer, the claim may have been carried out or may still be.
		newVersion, err = s.resolveClaim(claimed)
	}
	i.recordStoreCall(err)
	if err != nil {
		logevent.LeadershipClaimFailed.Log(s.log, zap.Int64("expected_version", version), errorField(err))
		return
	}
	logevent.LeadershipClaimed.Log(s.log, zap.Int64("token", claimed.Token), zap.String("predecessor", predecessor.Name), zap.Duration("still", unchanged), zap.Duration("slowest_answer", slowestRead))
	s.runTerm(claimed, version, newVersion, sentAt)
}

// nextToken returns the first fencing token of the term after the one of a token.
func nextToken(token int64) int64 { return (token/dispatch.TokensPerTerm + 1) * dispatch.TokensPerTerm }

// resolveClaim finds out whether a claim without an answer was carried out, and returns the
// version of its row.
func (s *shard) resolveClaim(claimed jobstore.LeaderRow) (int64, error) {
	ctx, cancel := context.WithTimeout(s.instance.ctx, storeCallTimeout)
	defer cancel()
	l, version, err := s.jobs.ReadLeader(ctx)
	if err != nil {
		return 0, err
	}
	if l.Name != claimed.Name || l.Incarnation != claimed.Incarnation || l.Token != claimed.Token {
		return 0, errors.New("the claim was not carried out")
	}
	return version, nil
}

// claimRank returns the rank by which instances claim in turn, and a penalty for the
// reasons why this instance should not lead this shard. The rank among all instances is
// divided by the number of shards.
func (s *shard) claimRank() (rank, penalty int64) {
	s.instance.mu.Lock()
	defer s.instance.mu.Unlock()
	rank = s.successionRank / int64(len(s.table.shards))
	if s.instance.slowdown > 1 {
		rank += slowProcessorRanks
	}
	penalty = otherShardRanks * s.countOtherLedShards()
	if !s.isPreferred() {
		penalty += nonPreferredRanks
	}
	return rank, penalty
}
