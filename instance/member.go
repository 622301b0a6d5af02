package instance

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"fuchsiacross/election"
	"fuchsiacross/job"
	"fuchsiacross/jobstore"
	"fuchsiacross/link"
	"fuchsiacross/logevent"
	"fuchsiacross/platform/store"
)

const (
	memberTable     = "instances"
	memberPart      = "instances"
	electionTick    = 50 * time.Millisecond
	claimJitter     = 120 * time.Millisecond
	callTimeout     = 1500 * time.Millisecond // of one call to the store
	registerRetry   = 300 * time.Millisecond
	adviceTimeout   = 8 * time.Second
	heartbeatAnswer = 300 * time.Millisecond // between two notes on the store's health
)

type wireMember struct {
	Address string  `cbor:"1,keyasint"`
	Life    int64   `cbor:"2,keyasint"`
	Share   float64 `cbor:"3,keyasint"` // of a processor
}

// register writes this instance's row, by which the leader finds it.
func (i *Instance) register() {
	value, err := cbor.Marshal(wireMember{Address: i.settings.AdvertisedAddress.String(), Life: i.life, Share: i.settings.ProcessorShare})
	for err == nil {
		ctx, cancel := context.WithTimeout(i.ctx, min(callTimeout, i.store.Patience()))
		_, commitErr := i.store.Commit(ctx, store.Transaction{
			Partition: memberPart,
			Writes:    []store.Write{{Table: memberTable, Key: i.settings.Name, Value: value}},
		})
		cancel()
		i.reached(commitErr)
		if commitErr == nil || !sleep(i.ctx, registerRetry) {
			return
		}
	}
}

// elect watches the leader and leads when it has to.
func (i *Instance) elect() {
	if !i.waitConfigured(i.ctx) {
		return
	}
	e := election.New(i.settings.ProcessorShare, jitter(claimJitter))
	i.readRank()
	heard := time.Time{}
	var lastRelease *release
	for sleep(i.ctx, electionTick) {
		if i.stopping.Load() {
			continue
		}
		e.Ranked(i.claimRank())
		now := time.Now()
		i.mu.Lock()
		switch {
		case i.heardAt.After(heard):
			heard = i.heardAt
			e.LeaderHeard(heard)
		case i.heardAt.IsZero() && !heard.IsZero():
			heard = time.Time{}
			e.LeaderGone()
		}
		released := i.released
		i.released = nil
		i.mu.Unlock()
		if released != nil {
			heard, lastRelease = time.Time{}, released
			e.LeaderReleased(now, released.version, released.successor)
		}
		switch e.Next(now) {
		case election.Read:
			sentAt := time.Now()
			ctx, cancel := context.WithTimeout(i.ctx, callTimeout)
			l, version, err := i.jobs.ReadLeader(ctx)
			cancel()
			i.reached(err)
			if err != nil {
				e.RowFailed(time.Now())
				continue
			}
			// The row of an earlier process of this instance has no leader any more.
			ended := l.Released || l.Name == i.settings.Name && l.Life != i.life
			e.RowRead(time.Now(), sentAt, l.WrittenAt, version, ended)
		case election.Claim:
			i.claim(e, lastRelease)
			e = election.New(i.settings.ProcessorShare, jitter(claimJitter))
			heard = time.Now()
			e.LeaderHeard(heard)
		}
	}
}

// readRank counts the registered instances with more processor time. Without it
// this instance claims like the largest.
func (i *Instance) readRank() {
	ctx, cancel := context.WithTimeout(i.ctx, callTimeout)
	defer cancel()
	rows, _, err := i.store.Read(ctx, memberTable, memberPart, "", "")
	i.reached(err)
	if err != nil {
		logevent.RankUnknown.Log(i.log, failure(err))
		return
	}
	rank := int64(0)
	for _, row := range rows {
		var w wireMember
		if err := cbor.Unmarshal(row.Value, &w); err != nil {
			logevent.MemberUnreadable.Log(i.log, zap.String("member", row.Key), failure(err))
			continue
		}
		if w.Share > i.settings.ProcessorShare {
			rank++
		}
	}
	i.mu.Lock()
	i.rank = rank
	i.mu.Unlock()
}

// claim tries to become the leader and leads until the leadership is lost. What
// the predecessor has told of its row needs not to be read.
func (i *Instance) claim(e *election.Election, told *release) {
	ctx, cancel := context.WithTimeout(i.ctx, callTimeout)
	defer cancel()
	var old jobstore.Leader
	version := e.Version()
	if told != nil && told.version == version {
		old.Token = told.token
	} else {
		var err error
		old, version, err = i.jobs.ReadLeader(ctx)
		i.reached(err)
		if err != nil || version != e.Version() {
			return
		}
	}
	claimed := jobstore.Leader{Name: i.settings.Name, Life: i.life, Token: old.Token + 1}
	sentAt := time.Now()
	written, err := i.jobs.WriteLeader(ctx, version, claimed, nil)
	if err != nil && !errors.Is(err, jobstore.ErrDeposed) && !errors.Is(err, store.ErrRefused) {
		// The claim may have been carried out or may still be.
		written, err = i.resolveClaim(claimed)
	}
	i.reached(err)
	if err != nil {
		logevent.ClaimFailed.Log(i.log, zap.Int64("expected_version", version), failure(err))
		return
	}
	logevent.LeadershipClaimed.Log(i.log, zap.Int64("token", claimed.Token), zap.String("predecessor", old.Name))
	i.lead(claimed, version, written, sentAt)
}

// resolveClaim reads whether a claim without an answer was carried out.
func (i *Instance) resolveClaim(claimed jobstore.Leader) (int64, error) {
	ctx, cancel := context.WithTimeout(i.ctx, callTimeout)
	defer cancel()
	l, version, err := i.jobs.ReadLeader(ctx)
	if err != nil {
		return 0, err
	}
	if l.Name != claimed.Name || l.Life != claimed.Life || l.Token != claimed.Token {
		return 0, errors.New("the claim was not carried out")
	}
	return version, nil
}

// received handles a message of the leader.
func (i *Instance) received(c *link.Conn, m link.Message) {
	now := time.Now()
	switch m.Kind {
	case link.KindHello:
		i.mu.Lock()
		stale := m.Token < i.token || i.leading != nil && m.Token <= i.leading.token
		var old *link.Conn
		if !stale {
			old, i.leader, i.token, i.heardAt = i.leader, c, m.Token, now
		}
		leading := i.leading
		i.mu.Unlock()
		if stale {
			c.Close()
			return
		}
		if old != nil && old != c {
			old.Close()
		}
		if leading != nil {
			leading.depose("another leader has a higher token")
		}
		logevent.LeaderFound.Log(i.log, zap.String("leader", m.Name), zap.Int64("token", m.Token))
		c.Send(link.Message{Kind: link.KindWelcome, Name: i.settings.Name})
		i.tellShare()
		i.tellKept()
	case link.KindConfirmed:
		i.mu.Lock()
		if i.leader == c {
			i.heardAt, i.rank = now, m.Count
		}
		i.mu.Unlock()
	case link.KindReleased:
		i.mu.Lock()
		if i.leader == c {
			i.heardAt = time.Time{}
			i.released = &release{token: m.Token, version: m.Version, successor: m.Known}
		}
		i.mu.Unlock()
	case link.KindAsk:
		go i.askFor(c, m)
	case link.KindStatusIs, link.KindPendingIs, link.KindStored:
		i.mu.Lock()
		question := i.questions[m.Number]
		delete(i.questions, m.Number)
		i.mu.Unlock()
		if question != nil {
			question <- m
		}
	}
}

func (i *Instance) linkClosed(c *link.Conn, err error) {
	i.mu.Lock()
	was := i.leader == c
	if was {
		i.leader, i.heardAt = nil, time.Time{}
	}
	i.mu.Unlock()
	if was && i.ctx.Err() == nil {
		logevent.LeaderLost.Log(i.log, failure(err))
	}
}

// askFor makes a call for advice on behalf of the leader.
func (i *Instance) askFor(c *link.Conn, m link.Message) {
	answer := link.Message{Kind: link.KindAdvice, Number: m.Number}
	tickets, err := i.askAdvice(m.Step, m.Workers)
	if err != nil {
		answer.Error = err.Error()
	}
	answer.Tickets = tickets
	c.Send(answer)
}

func (i *Instance) askAdvice(step job.StepID, workers []job.WorkerID) ([]job.Ticket, error) {
	if i.advice == nil {
		return nil, errors.New("the settings name no advice service")
	}
	ctx, cancel := context.WithTimeout(i.ctx, adviceTimeout)
	defer cancel()
	return i.advice.Ask(ctx, step, workers)
}

// question asks the leader and waits for its answer until the deadline.
func (i *Instance) question(deadline time.Time, m link.Message) (link.Message, error) {
	answered := make(chan link.Message, 1)
	i.mu.Lock()
	leading, leader := i.leading, i.leader
	if leading == nil && leader != nil {
		i.number++
		m.Number = i.number
		i.questions[m.Number] = answered
	}
	i.mu.Unlock()
	switch {
	case leading != nil:
		leading.question(m, func(a link.Message) { answered <- a })
	case leader != nil:
		leader.Send(m)
	default:
		return link.Message{}, errors.New("no leader is known")
	}
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case a := <-answered:
		return a, nil
	case <-timer.C:
		i.mu.Lock()
		delete(i.questions, m.Number)
		i.mu.Unlock()
		return link.Message{}, errors.New("the leader does not answer")
	case <-i.ctx.Done():
		return link.Message{}, i.ctx.Err()
	}
}

// leaderReachesStore reports whether another instance leads and has lately been
// confirmed by the store.
func (i *Instance) leaderReachesStore(now time.Time) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.leader != nil && now.Sub(i.heardAt) < confirmedRecently
}

// untoldMost bounds the jobs that are kept for the next leader: those of about two
// seconds.
const untoldMost = 512

// tellKept tells a new leader of the jobs that were stored while none was known.
func (i *Instance) tellKept() {
	i.mu.Lock()
	kept := i.untold
	i.untold = nil
	i.mu.Unlock()
	for _, m := range kept {
		i.tell(m)
	}
}

// confirmedRecently is a few times the interval of a sound leader's confirmations.
const confirmedRecently = 700 * time.Millisecond

// tell sends a message to the leader. While none is known, the jobs that this
// instance stores are kept for the next one: no other can have started them.
func (i *Instance) tell(m link.Message) {
	i.mu.Lock()
	leading, leader := i.leading, i.leader
	if leading == nil && leader == nil && m.Kind == link.KindAccepted && len(i.untold) < untoldMost {
		i.untold = append(i.untold, m)
	}
	i.mu.Unlock()
	switch {
	case leading != nil:
		leading.told(m)
	case leader != nil:
		leader.Send(m)
	}
}
