package instance

import (
	"time"

	"fuchsiacross/backlog"
	"fuchsiacross/dispatch"
	"fuchsiacross/job"
	"fuchsiacross/link"
)

const (
	mebibyte = 1 << 20
	// backlogFraction of the memory is for the jobs that a leader knows. Its heap limit is
	// about half of the memory, and it needs the rest for its work on them.
	backlogFraction = 6
	// maxRefusalChecks limits the reads of the store that refusals need at the same time, so
	// that they take no calls from requests that are served.
	maxRefusalChecks = 32
)

// maxBacklogBytes returns the limit of the jobs that a leader knows.
func maxBacklogBytes(s *Settings) int64 { return s.MemoryMegabytes * mebibyte / backlogFraction }

// refuseForBacklog returns the response to a new job for which its leader has no memory. It
// writes nothing. If it cannot tell whether an earlier submission of the job is stored, the
// outcome is unknown.
func (s *shard) refuseForBacklog(deadline time.Time, j *job.Job) (job.Response, bool) {
	i := s.instance
	wait, refused := i.backlogGate.Admit(time.Now(), s.number, j.Queue, dispatch.MemoryBytes(&j.Definition))
	if !refused {
		return job.Response{}, false
	}
	refusal := job.Response{Outcome: job.OutcomeOverload, Reason: "too many jobs of the queue wait", RetryAfter: wait}
	select {
	case i.refusalChecks <- struct{}{}:
		defer func() { <-i.refusalChecks }()
	default:
		return unknownRefusal(refusal), true
	}
	return s.refuseUnlessStored(deadline, j, refusal, "backlog")
}

// announceBacklog keeps what instances are to refuse, and applies it at this one.
func (l *leadership) announceBacklog(r *dispatch.BacklogReport) {
	l.instance.backlogGate.Announce(l.shard.number, backlog.Announcement{Refusals: r.Refusals, At: time.Now()})
	l.mu.Lock()
	defer l.mu.Unlock()
	isChange := (len(r.Refusals) > 0) != (len(l.backlogRefusals) > 0)
	l.backlogRefusals = r.Refusals
	if !isChange {
		return // the confirmations carry it
	}
	for _, m := range l.members {
		if m.conn != nil {
			m.conn.Send(l.backlogMessage())
		}
	}
}

func (l *leadership) backlogMessage() link.Message {
	return link.Message{Kind: link.KindBacklog, Shard: l.shard.number, Token: l.token, QueueRefusals: l.backlogRefusals}
}

// sendBacklog repeats what a linked instance is to refuse. The caller holds the mutex.
func (l *leadership) sendBacklog(c *link.Conn) {
	if len(l.backlogRefusals) > 0 {
		c.Send(l.backlogMessage())
	}
}
