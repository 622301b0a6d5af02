package workerstandin

import (
	"context"
	"sync"
	"time"

	"fuchsiacross/model"
	"fuchsiacross/workerv1"
)

// queuedReport is a message to the scheduler and the time from which it may be
// sent.
type queuedReport struct {
	message *workerv1.Report
	due     time.Time
}

// session is one open session stream with its queue of outgoing reports.
type session struct {
	worker            *Worker
	remote            string
	leaseMilliseconds uint32     // set by the grant
	term              model.Term // set by the grant

	mu     sync.Mutex
	queue  []queuedReport
	ending bool          // reports are no longer accepted
	wake   chan struct{} // signals a new report or the end to sendReports
}

func newSession(w *Worker, remote string) *session {
	return &session{worker: w, remote: remote, wake: make(chan struct{}, 1)}
}

// enqueue queues a report. The caller holds the worker's lock.
func (s *session) enqueue(message *workerv1.Report) {
	delay := time.Duration(s.worker.faults.AnswerDelayMilliseconds) * time.Millisecond
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ending {
		return
	}
	s.queue = append(s.queue, queuedReport{message, time.Now().Add(delay)})
	s.wakeSender()
}

// end closes the stream once the queued reports are sent.
func (s *session) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ending = true
	s.wakeSender()
}

// wakeSender wakes sendReports. It does not block.
func (s *session) wakeSender() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// sendReports sends the queued reports until the session ends.
func (s *session) sendReports(ctx context.Context, send func(*workerv1.Report) error) error {
	for {
		s.mu.Lock()
		queue, ending := s.queue, s.ending
		s.queue = nil
		s.mu.Unlock()
		for _, r := range queue {
			sleepUntil(ctx, r.due)
			s.worker.waitWhilePaused()
			if err := send(r.message); err != nil {
				return err
			}
		}
		if ending && len(queue) == 0 {
			return nil
		}
		if len(queue) > 0 {
			continue
		}
		select {
		case <-s.wake:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// sleepUntil returns at the due time or when ctx is done.
func sleepUntil(ctx context.Context, due time.Time) {
	wait := time.Until(due)
	if wait <= 0 {
		return
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// delayAnswer waits for the delay that the faults set.
func (w *Worker) delayAnswer(ctx context.Context) { sleepUntil(ctx, time.Now().Add(w.answerDelay())) }

// handleCommand carries out one command of the scheduler.
func (s *session) handleCommand(command *workerv1.Command) {
	w := s.worker
	if start := command.GetStart(); start != nil {
		s.handleStart(start)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	switch c := command.GetCommand().(type) {
	case *workerv1.Command_Renew:
		w.renewLease(s, c.Renew)
	case *workerv1.Command_Stop:
		if w.acceptsTerm(s, c.Stop.GetTerm()) {
			w.stopTask(attemptFromWire(c.Stop.GetAttempt()), c.Stop.GetCheckpoint())
		}
	case *workerv1.Command_Throttle:
		if w.acceptsTerm(s, c.Throttle.GetTerm()) {
			w.recordThrottle(c.Throttle)
		}
	case *workerv1.Command_Fence:
		if w.acceptsTerm(s, c.Fence.GetTerm()) {
			w.fenceAttempt(s, attemptFromWire(c.Fence.GetAttempt()))
		}
	case *workerv1.Command_Acknowledge:
		s.handleAcknowledge(c.Acknowledge)
	case *workerv1.Command_Release:
		w.releaseLease(s, model.Term(c.Release.GetTerm()))
	}
}

// handleStart admits a start and replies to it. It holds the worker's lock until
// Started is queued, so that the task cannot report its end earlier.
func (s *session) handleStart(start *workerv1.Start) {
	w := s.worker
	w.mu.Lock()
	defer w.mu.Unlock()
	t, refusal := w.admit(start)
	attempt, tag := attemptOrTag(start, s.term)
	if t == nil {
		refused := &workerv1.Refused{Attempt: attempt, Tag: tag, Reason: refusal, Term: uint64(w.term)}
		s.enqueue(&workerv1.Report{Report: &workerv1.Report_Refused{Refused: refused}})
		return
	}
	if w.faults.CutAfterStart > 0 {
		w.faults.CutAfterStart--
		w.listener.closeConnection(s.remote)
		return
	}
	started := &workerv1.Started{Attempt: attempt, Tag: tag}
	s.enqueue(&workerv1.Report{Report: &workerv1.Report_Started{Started: started}})
	if t.state != workerv1.TaskState_TASK_STATE_RUNNING {
		w.reportFinished(t)
	}
}

// handleAcknowledge drops the results of all attempts that the command names.
func (s *session) handleAcknowledge(c *workerv1.Acknowledge) {
	w := s.worker
	w.acknowledgeResult(attemptFromWire(c.GetAttempt()))
	for _, a := range c.GetMore() {
		w.acknowledgeResult(attemptFromWire(a))
	}
	for _, tag := range c.GetTags() {
		key := termKey{s.term, tag}
		w.acknowledgeResult(w.attemptsByTag[key])
		delete(w.attemptsByTag, key)
	}
}
