package worker

import (
	"fmt"

	"go.uber.org/zap"

	"fuchsiacross/event"
	"fuchsiacross/logevent"
	"fuchsiacross/model"
	"fuchsiacross/workerv1"
)

// receiveReports turns the worker's reports into events until the stream ends.
func (st *stream) receiveReports() streamResult {
	for {
		report, err := st.messages.Receive()
		if err != nil {
			return st.transportFailure(err)
		}
		st.session.client.counters.messagesReceived.Inc(1)
		if revoked := report.GetRevoked(); revoked != nil {
			if term := st.session.currentTerm(); model.Term(revoked.GetTerm()) > term {
				return streamResult{leaseLost: true, reason: fmt.Sprintf("lease was revoked by term %d", revoked.GetTerm())}
			}
			continue
		}
		st.handleReport(report)
	}
}

func (st *stream) handleReport(report *workerv1.Report) {
	s := st.session
	switch r := report.GetReport().(type) {
	case *workerv1.Report_Renewed:
		s.mu.Lock()
		st.renewalPending = false
		st.watchdog.Stop()
		s.mu.Unlock()
	case *workerv1.Report_Started:
		attempt, wasPending := s.takePendingStart(r.Started.GetAttempt(), r.Started.GetTag(), true)
		if wasPending {
			s.post(event.TaskStarted{Worker: s.worker.ID, Attempt: attempt})
		}
	case *workerv1.Report_Refused:
		attempt, wasPending := s.takePendingStart(r.Refused.GetAttempt(), r.Refused.GetTag(), false)
		if wasPending {
			s.removeAttempt(attempt)
			s.post(event.StartRefused{Worker: s.worker.ID, Attempt: attempt, Reason: r.Refused.GetReason()})
		}
	case *workerv1.Report_Finished:
		st.handleFinished(r.Finished)
	case *workerv1.Report_Fenced:
		st.handleFenced(r.Fenced.GetReport())
	case *workerv1.Report_Usage:
		s.mu.Lock()
		usage := s.dictionary.usageFromWire(r.Usage)
		s.mu.Unlock()
		s.post(event.WorkerUsage{Worker: s.worker.ID, Usage: usage})
	case *workerv1.Report_Leaving:
		s.post(event.WorkerLeaving{Worker: s.worker.ID, Deadline: r.Leaving.GetDeadline().AsTime()})
	}
}

// handleFinished posts the result of a task. The report also answers a start for
// which no Started report has arrived.
func (st *stream) handleFinished(f *workerv1.Finished) {
	s := st.session
	attempt, wasPending := s.takePendingStart(f.GetAttempt(), f.GetTag(), true)
	if attempt == (model.Attempt{}) {
		return // unknown tag: already acknowledged
	}
	result, damage := finishedResultFromWire(f)
	if damage != "" {
		s.client.recordDamagedAnswer(s.worker.ID, attempt, damage)
		s.post(event.StartUncertain{Worker: s.worker.ID, Attempt: attempt, Reason: damage})
		return
	}
	if s.deliverCallResult(attempt, result, f.GetStopped()) || s.hasUnacknowledgedResult(attempt) {
		return
	}
	if wasPending {
		s.post(event.TaskStarted{Worker: s.worker.ID, Attempt: attempt})
	}
	s.post(event.TaskFinished{Worker: s.worker.ID, Attempt: attempt, Result: result, Stopped: f.GetStopped()})
}

// hasUnacknowledgedResult reports whether the result of a Run call was posted
// and not acknowledged yet. The worker may report such a result a second time
// through the session.
func (s *session) hasUnacknowledgedResult(a model.Attempt) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.unacknowledgedResults[a]
}

// handleFenced posts the state of a fenced attempt. It drops a damaged result:
// the reducer repeats its own fences, and the session repeats those that fetch a
// damaged result with each renewal.
func (st *stream) handleFenced(r *workerv1.TaskReport) {
	s := st.session
	report, damage := reportFromWire(r)
	if damage != "" {
		s.client.recordDamagedAnswer(s.worker.ID, report.Attempt, damage)
		return
	}
	s.mu.Lock()
	refetched := s.damagedResults[report.Attempt]
	delete(s.damagedResults, report.Attempt)
	s.mu.Unlock()
	if refetched && report.State == model.TaskFinished {
		s.post(event.TaskFinished{Worker: s.worker.ID, Attempt: report.Attempt, Result: report.Result})
		return
	}
	s.post(event.AttemptFenced{Worker: s.worker.ID, Report: report})
}

// takePendingStart returns the attempt that a report refers to, and whether its
// start was pending. The start is no longer pending afterwards. The attempt is
// empty if the tag is unknown.
func (s *session) takePendingStart(a *workerv1.Attempt, tag uint64, started bool) (model.Attempt, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	attempt, ok := s.dictionary.resolveAttempt(a, tag)
	if !ok {
		return model.Attempt{}, false
	}
	if started {
		s.dictionary.confirmProfile(tag)
	}
	_, wasPending := s.pendingStarts[attempt]
	delete(s.pendingStarts, attempt)
	return attempt, wasPending
}

// deliverCallResult answers the Run call of an attempt with a result that came
// through the session, because the call's own connection may be broken. It
// returns false if there is no such call or if it was already answered.
func (s *session) deliverCallResult(a model.Attempt, result model.TaskResult, stopped bool) bool {
	s.mu.Lock()
	c := s.runningCalls[a]
	s.mu.Unlock()
	return c != nil && c.deliverResult(result, stopped)
}

func (s *session) removeAttempt(a model.Attempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dictionary.removeAttempt(a)
}

// recordDamagedAnswer counts and logs an answer that does not match its digest
// and is not passed on.
func (c *Client) recordDamagedAnswer(worker model.WorkerID, a model.Attempt, reason string) {
	c.counters.damagedAnswers.Inc(1)
	logevent.WorkerAnswerDamaged.Log(c.options.Log, zap.String("worker", string(worker)),
		zap.Stringer("attempt", a), zap.String("reason", reason))
}
