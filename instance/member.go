package instance

import (
	"context"
	"slices"
	"time"

	"fuchsiacross/backlog"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"fuchsiacross/job"
	"fuchsiacross/link"
	"fuchsiacross/logevent"
	"fuchsiacross/platform/store"
	"fuchsiacross/share"
)

const (
	memberTable        = "instances"
	memberPartition    = "instances"
	storeCallTimeout   = 1500 * time.Millisecond // limit of one call to the store
	registerRetryDelay = 300 * time.Millisecond
	adviceTimeout      = 8 * time.Second // limit of one call to the advice service
)

// wireMember is the stored form of an instance's registration.
type wireMember struct {
	Address        string  `cbor:"1,keyasint"`
	Incarnation    int64   `cbor:"2,keyasint"`
	ProcessorShare float64 `cbor:"3,keyasint"` // share of one processor
	// Capacity is the share of a full shard's load that the instance can lead; missing in
	// rows of earlier versions.
	Capacity *float64 `cbor:"4,keyasint,omitempty"`
}

// leaderCapacity returns the capacity, or the processor share of a row without one.
func (w *wireMember) leaderCapacity() float64 {
	if w.Capacity == nil {
		return w.ProcessorShare
	}
	return *w.Capacity
}

// registerInstance writes the row of this instance, from which the leaders learn its
// address.
func (i *Instance) registerInstance() {
	capacity := i.settings.leaderCapacity(1, 0)
	value, err := cbor.Marshal(wireMember{
		Address: i.settings.AdvertisedAddress.String(), Incarnation: i.incarnation, ProcessorShare: i.settings.ProcessorShare, Capacity: &capacity,
	})
	if err != nil {
		logevent.InstanceRowUnreadable.Log(i.log, zap.String("member", i.settings.Name), errorField(err))
		return
	}
	for {
		ctx, cancel := context.WithTimeout(i.ctx, min(storeCallTimeout, i.store.SlowCallThreshold()))
		_, err := i.controlStore.Commit(ctx, store.Transaction{
			Partition: memberPartition,
			Writes:    []store.Write{{Table: memberTable, Key: i.settings.Name, Value: value}},
		})
		cancel()
		i.recordStoreCall(err)
		if err == nil || !sleep(i.ctx, registerRetryDelay) {
			return
		}
	}
}

// instanceRank is the position of an instance among the registered ones.
type instanceRank struct {
	larger  int64 // number of instances that can lead more
	earlier int64 // number of instances that can lead as much and have a lower name
	// largestShare is the processor time of the largest instance, as a share of one processor.
	largestShare float64
}

// readInstanceRank reads the position of this instance. If the store does not answer, the
// instance counts as the largest.
func (i *Instance) readInstanceRank() (rank instanceRank) {
	rank.largestShare = i.settings.ProcessorShare
	own := i.settings.leaderCapacity(1, 0)
	ctx, cancel := context.WithTimeout(i.ctx, storeCallTimeout)
	defer cancel()
	rows, _, err := i.controlStore.Read(ctx, memberTable, memberPartition, "", "")
	i.recordStoreCall(err)
	if err != nil {
		logevent.RankUnavailable.Log(i.log, errorField(err))
		return rank
	}
	for _, row := range rows {
		var w wireMember
		if err := cbor.Unmarshal(row.Value, &w); err != nil {
			logevent.InstanceRowUnreadable.Log(i.log, zap.String("member", row.Key), errorField(err))
			continue
		}
		rank.largestShare = max(rank.largestShare, w.ProcessorShare)
		switch {
		case w.leaderCapacity() > own:
			rank.larger++
		case w.leaderCapacity() == own && row.Key < i.settings.Name:
			rank.earlier++
		}
	}
	return rank
}

// handleLeaderMessage handles a message from a leader.
func (i *Instance) handleLeaderMessage(c *link.Conn, m link.Message) {
	switch m.Kind {
	case link.KindHello, link.KindLeadershipConfirmed, link.KindLeadershipReleased, link.KindAdmission, link.KindBacklog:
		i.handleLeadershipMessage(c, m)
	case link.KindAdviceRequest:
		go i.handleAdviceRequest(c, m)
	case link.KindConfigurationRequest:
		if i.isLeader(c) {
			c.Send(i.configurationAnswer(m))
		}
	case link.KindStatusResponse, link.KindQueueLengthResponse, link.KindStoreResponse, link.KindConfigurationResponse:
		i.deliverAnswer(m)
	}
}

// isLeader reports whether a link is that of a shard's current leader.
func (i *Instance) isLeader(c *link.Conn) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return slices.ContainsFunc(i.shards(), func(s *shard) bool { return s.leaderConn == c })
}

// deliverAnswer passes the answer to a request to the goroutine that waits for it.
func (i *Instance) deliverAnswer(m link.Message) {
	i.mu.Lock()
	answers := i.pendingRequests[m.Number]
	delete(i.pendingRequests, m.Number)
	i.mu.Unlock()
	if answers != nil {
		answers <- m
	}
}

// handleLeadershipMessage handles a message about the leadership of a shard.
func (i *Instance) handleLeadershipMessage(c *link.Conn, m link.Message) {
	select {
	case <-i.shardsKnown:
	case <-i.ctx.Done():
		return
	}
	if m.Shard < 0 || m.Shard >= len(i.shards()) {
		logevent.ShardOutsideMap.Log(i.log, zap.Int("shard", m.Shard), zap.String("leader", m.Name))
		c.Close()
		return
	}
	s := i.shards()[m.Shard]
	now := time.Now()
	switch m.Kind {
	case link.KindHello:
		s.handleHello(now, c, m)
	case link.KindLeadershipConfirmed:
		i.mu.Lock()
		if s.leaderConn == c {
			s.leaderHeardAt, s.successionRank, s.leaderWriteTime = now, m.Count, m.WriteDuration
			i.backlogGate.Heard(s.number)
		}
		i.mu.Unlock()
	case link.KindAdmission:
		i.mu.Lock()
		isLeader := s.leaderConn == c
		i.mu.Unlock()
		if isLeader {
			i.gate.Announce(s.number, share.Announcement{Refusals: m.Refusals, At: now})
		}
	case link.KindBacklog:
		i.mu.Lock()
		isLeader := s.leaderConn == c
		i.mu.Unlock()
		if isLeader {
			i.backlogGate.Announce(s.number, backlog.Announcement{Refusals: m.QueueRefusals, At: now})
		}
	case link.KindLeadershipReleased:
		i.mu.Lock()
		if s.leaderConn == c {
			s.leaderHeardAt = time.Time{}
			s.leaderRelease = &leaderRelease{token: m.Token, version: m.Version, successor: m.Known}
		}
		i.mu.Unlock()
	}
}

// handleHello accepts the sender of a hello as the leader unless a newer leader is known.
func (s *shard) handleHello(now time.Time, c *link.Conn, m link.Message) {
	i := s.instance
	i.mu.Lock()
	isStale := m.Token < s.token || s.ownLeadership != nil && m.Token <= s.ownLeadership.token
	var previousConn *link.Conn
	if !isStale {
		previousConn, s.leaderConn, s.token, s.leaderHeardAt = s.leaderConn, c, m.Token, now
	}
	term := s.ownLeadership
	i.mu.Unlock()
	if isStale {
		c.Close()
		return
	}
	if previousConn != nil && previousConn != c {
		previousConn.Close()
	}
	if term != nil {
		term.stepDown("another leader has a higher token")
	}
	logevent.LeaderFound.Log(s.log, zap.String("leader", m.Name), zap.Int64("token", m.Token))
	if !s.isPreferred() {
		c.ExtendTimeouts()
	}
	c.Send(link.Message{Kind: link.KindWelcome, Name: i.settings.Name})
	s.sendProcessorShare()
	s.reportUnreportedJobs()
}

// handleLinkClosed clears the leader of each shard whose link has closed.
func (i *Instance) handleLinkClosed(c *link.Conn, err error) {
	for _, s := range i.shards() {
		i.mu.Lock()
		wasLeader := s.leaderConn == c
		if wasLeader {
			s.leaderConn, s.leaderHeardAt = nil, time.Time{}
		}
		i.mu.Unlock()
		if wasLeader && i.ctx.Err() == nil {
			logevent.LeaderLost.Log(s.log, errorField(err))
		}
	}
}

// handleAdviceRequest makes a call for advice on behalf of the leader.
func (i *Instance) handleAdviceRequest(c *link.Conn, m link.Message) {
	answer := link.Message{Kind: link.KindAdviceResponse, Number: m.Number}
	tickets, err := i.callAdviceService(m.Step, m.Workers)
	if err != nil {
		answer.Error = err.Error()
	}
	answer.Tickets = tickets
	c.Send(answer)
}

// callAdviceService returns tickets for the workers that are allowed to run the step.
func (i *Instance) callAdviceService(step job.StepID, workers []job.WorkerID) ([]job.Ticket, error) {
	if i.advice == nil {
		return nil, errors.New("the settings name no advice service")
	}
	ctx, cancel := context.WithTimeout(i.ctx, adviceTimeout)
	defer cancel()
	return i.advice.RequestTickets(ctx, step, workers)
}

// callLeader sends a request to the leader and waits for the answer until the deadline. It
// returns an error if no leader is known or the leader does not answer.
func (s *shard) callLeader(deadline time.Time, m link.Message) (link.Message, error) {
	i := s.instance
	i.mu.Lock()
	term, leaderConn := s.ownLeadership, s.leaderConn
	i.mu.Unlock()
	switch {
	case term != nil:
		answers := make(chan link.Message, 1)
		term.answerQuery(m, func(a link.Message) { answers <- a })
		return i.awaitAnswer(answers, deadline)
	case leaderConn != nil:
		return i.callLinked(leaderConn, deadline, m)
	}
	return link.Message{}, errors.New("no leader is known")
}

// callLinked sends a request on a link and waits for the answer until the deadline.
func (i *Instance) callLinked(c *link.Conn, deadline time.Time, m link.Message) (link.Message, error) {
	answers := make(chan link.Message, 1)
	i.mu.Lock()
	i.lastRequestNumber++
	m.Number = i.lastRequestNumber
	i.pendingRequests[m.Number] = answers
	i.mu.Unlock()
	defer func() {
		i.mu.Lock()
		defer i.mu.Unlock()
		delete(i.pendingRequests, m.Number)
	}()
	c.Send(m)
	return i.awaitAnswer(answers, deadline)
}

// awaitAnswer waits for an answer until the deadline.
func (i *Instance) awaitAnswer(answers <-chan link.Message, deadline time.Time) (link.Message, error) {
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case a := <-answers:
		return a, nil
	case <-timer.C:
		return link.Message{}, errors.New("the other instance does not answer")
	case <-i.ctx.Done():
		return link.Message{}, i.ctx.Err()
	}
}

// leaderReachesStore reports whether another instance leads and has recently confirmed that
// it reaches the store.
func (s *shard) leaderReachesStore(now time.Time) bool {
	s.instance.mu.Lock()
	defer s.instance.mu.Unlock()
	return s.leaderConn != nil && now.Sub(s.leaderHeardAt) < maxMissedConfirmations*s.confirmationInterval()+confirmationMargin
}

// maxUnreportedJobs limits the jobs that are kept for the next leader: about two seconds of
// submissions.
const maxUnreportedJobs = 512

// reportUnreportedJobs notifies a new leader of the jobs that were stored while no leader
// was known.
func (s *shard) reportUnreportedJobs() {
	s.instance.mu.Lock()
	unreported := s.unreportedJobs
	s.unreportedJobs = nil
	s.instance.mu.Unlock()
	for _, m := range unreported {
		s.notifyLeader(m)
	}
}

const (
	// The last confirmation counts for maxMissedConfirmations intervals at which a working
	// leader confirms, plus confirmationMargin for its transmission.
	maxMissedConfirmations = 3
	confirmationMargin     = 100 * time.Millisecond
)

// notifyLeader sends a message to the leader. While no leader is known, it keeps the stored
// jobs for the next one: no other leader can have started them.
func (s *shard) notifyLeader(m link.Message) {
	s.instance.mu.Lock()
	term, leaderConn := s.ownLeadership, s.leaderConn
	if term == nil && leaderConn == nil && m.Kind == link.KindJobStored && len(s.unreportedJobs) < maxUnreportedJobs {
		s.unreportedJobs = append(s.unreportedJobs, m)
	}
	s.instance.mu.Unlock()
	switch {
	case term != nil:
		term.handleNotification(m)
	case leaderConn != nil:
		leaderConn.Send(m)
	}
}
