package instance

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"fuchsiacross/election"
	"fuchsiacross/jobstore"
	"fuchsiacross/logevent"
	"fuchsiacross/platform/store"
)

const (
	electionTick = 50 * time.Millisecond
	claimJitter  = 50 * time.Millisecond
	// slowedRanks delays the claims of an instance whose processor has become slow
	// as if so many others were larger.
	slowedRanks = 5
	// distantRanks does so for shards that an instance does not prefer, burdenRanks for
	// each other shard that it leads.
	distantRanks = 3
	burdenRanks  = 5
)

// elect watches the shard's leader and leads when it has to.
func (s *shard) elect() {
	i := s.i
	if !i.waitConfigured(i.ctx) {
		return
	}
	e := election.New(i.settings.ProcessorShare, s.interval(), jitter(claimJitter))
	heard := time.Time{}
	if !s.near() {
		// The instances that prefer the shard look for its leader first: a fleet that
		// restarts would read all rows of leaders at once.
		e.RecordLeaderMessage(time.Now(), 0)
	}
	var predecessor jobstore.Leader // of the row that the election has seen last
	for sleep(i.ctx, electionTick) {
		if i.stopping.Load() {
			continue
		}
		e.SetRank(s.claimRank())
		now := time.Now()
		i.mu.Lock()
		switch {
		case s.heardAt.After(heard):
			heard = s.heardAt
			e.RecordLeaderMessage(heard, s.saves)
		case s.heardAt.IsZero() && !heard.IsZero():
			heard = time.Time{}
			if s.near() {
				e.RecordLinkClosed()
			}
		}
		released := s.released
		s.released = nil
		i.mu.Unlock()
		if released != nil {
			heard = time.Time{}
			predecessor = jobstore.Leader{Token: released.token}
			e.RecordRelease(now, released.version, released.successor)
		}
		switch e.NextAction(now) {
		case election.Read:
			sentAt := time.Now()
			ctx, cancel := context.WithTimeout(i.ctx, callTimeout)
			l, version, err := s.jobs.ReadLeader(ctx)
			cancel()
			i.reached(err)
			if err != nil {
				e.RecordReadFailure(time.Now())
				continue
			}
			predecessor = l
			// The row of an earlier process of this instance has no leader any more.
			ended := l.Released || l.Name == i.settings.Name && l.Life != i.life
			e.RecordRow(time.Now(), sentAt, l.WrittenAt, version, ended)
		case election.Claim:
			s.claim(e, predecessor)
			e = election.New(i.settings.ProcessorShare, s.interval(), jitter(claimJitter))
			heard = time.Now()
			e.RecordLeaderMessage(heard, 0)
		}
	}
}

// claim tries to become the leader and leads until the leadership is lost. The row
// is not read again: the claim fails if it has changed. Of a predecessor that has
// given the leadership up only the token is known.
func (s *shard) claim(e *election.Election, predecessor jobstore.Leader) {
	i := s.i
	version := e.RowVersion()
	ctx, cancel := context.WithTimeout(i.ctx, callTimeout)
	defer cancel()
	still, slowest := e.ClaimEvidence(time.Now())
	claimed := jobstore.Leader{Name: i.settings.Name, Life: i.life, Token: predecessor.Token + 1}
	sentAt := time.Now()
	written, err := s.jobs.WriteLeader(ctx, version, claimed, nil)
	if err != nil && !errors.Is(err, jobstore.ErrDeposed) && !errors.Is(err, store.ErrRefused) {
		// The claim may have been carried out or may still be.
		written, err = s.resolveClaim(claimed)
	}
	i.reached(err)
	if err != nil {
		logevent.ClaimFailed.Log(s.log, zap.Int64("expected_version", version), failure(err))
		return
	}
	logevent.LeadershipClaimed.Log(s.log, zap.Int64("token", claimed.Token), zap.String("predecessor", predecessor.Name), zap.Duration("still", still), zap.Duration("slowest_answer", slowest))
	s.lead(claimed, version, written, sentAt)
}

// resolveClaim reads whether a claim without an answer was carried out.
func (s *shard) resolveClaim(claimed jobstore.Leader) (int64, error) {
	ctx, cancel := context.WithTimeout(s.i.ctx, callTimeout)
	defer cancel()
	l, version, err := s.jobs.ReadLeader(ctx)
	if err != nil {
		return 0, err
	}
	if l.Name != claimed.Name || l.Life != claimed.Life || l.Token != claimed.Token {
		return 0, errors.New("the claim was not carried out")
	}
	return version, nil
}

// claimRank orders the claims of instances: rank among those that may lead some
// shard, and ranks for what keeps this one from leading this shard.
func (s *shard) claimRank() (rank, hindrance int64) {
	s.i.mu.Lock()
	defer s.i.mu.Unlock()
	rank = s.rank / int64(len(s.division.shards))
	if s.i.slowdown > 1 {
		rank += slowedRanks
	}
	hindrance = burdenRanks * s.burden()
	if !s.near() {
		hindrance += distantRanks
	}
	return rank, hindrance
}
