package workerstandin

import (
	"time"

	"fuchsiacross/model"
	"fuchsiacross/workerv1"
)

// maxLeaseMilliseconds limits the lease time that a holder may request.
const maxLeaseMilliseconds = 60_000

// clampLeaseMilliseconds limits a requested lease time to between 1 and
// maxLeaseMilliseconds.
func clampLeaseMilliseconds(requested uint32) uint32 {
	return min(max(requested, 1), maxLeaseMilliseconds)
}

// grantLease grants the lease to a session, or returns the current holder if its
// lease has not expired. The same holder gets it again immediately, unless the
// request comes from an earlier incarnation of the holder.
func (w *Worker) grantLease(s *session, a *workerv1.Acquire) *workerv1.Denied {
	w.mu.Lock()
	defer w.mu.Unlock()
	holder, incarnation := model.InstanceID(a.GetHolder()), model.Incarnation(a.GetHolderIncarnation())
	remaining := time.Until(w.leaseExpiry)
	sameHolder := holder == w.holder && incarnation >= w.holderIncarnation
	if w.holder != "" && remaining > 0 && !sameHolder {
		w.recordEntry(Entry{Kind: EntryDenied, Detail: a.GetHolder()})
		return &workerv1.Denied{Holder: string(w.holder), RemainingMilliseconds: uint32(remaining.Milliseconds()) + 1}
	}
	w.term++
	w.sampledUsage = nil // its tags belong to the previous term
	w.leaseGranted = true
	w.holder, w.holderIncarnation = holder, incarnation
	w.updateRevision(model.Revision(a.GetDocumentRevision()))
	lease := clampLeaseMilliseconds(a.GetLeaseMilliseconds())
	s.leaseMilliseconds, s.term = lease, w.term
	w.leaseExpiry = time.Now().Add(time.Duration(lease) * time.Millisecond)
	if w.currentSession != nil {
		w.sendRevoked(w.currentSession)
		w.currentSession.end()
	}
	w.currentSession = s
	w.recordEntry(Entry{Kind: EntryGranted})
	s.enqueue(&workerv1.Report{Report: &workerv1.Report_Granted{Granted: w.grantedToWire(lease)}})
	return nil
}

func (w *Worker) grantedToWire(lease uint32) *workerv1.Granted {
	granted := &workerv1.Granted{
		Term:              uint64(w.term),
		Incarnation:       uint64(w.incarnation),
		LeaseMilliseconds: lease,
		Capacity:          resourcesToWire(w.options.Capacity),
		DataCentre:        string(w.options.DataCentre),
		Rack:              string(w.options.Rack),
		DocumentRevision:  uint64(w.revision),
		Leaving:           !w.leaveAnnouncedAt.IsZero(),
	}
	for _, t := range w.tasks {
		granted.Tasks = append(granted.Tasks, w.taskReportToWire(t))
	}
	return granted
}

// updateRevision checks the document revision that the holder sent and stores the
// highest one.
func (w *Worker) updateRevision(revision model.Revision) {
	w.recorder.checkRevision(w.options.ID, w.holder, w.holderIncarnation, revision)
	w.revision = max(w.revision, revision)
}

// sendRevoked notifies a session that the term it used is no longer valid, and of
// the current term.
func (w *Worker) sendRevoked(s *session) {
	s.enqueue(&workerv1.Report{Report: &workerv1.Report_Revoked{Revoked: &workerv1.Revoked{Term: uint64(w.term)}}})
}

// acceptsTerm reports whether a command with this term is carried out. If the
// lease is not granted under the term, it sends Revoked, and the command is only
// carried out with Options.IgnoreFencing.
func (w *Worker) acceptsTerm(s *session, term uint64) bool {
	if w.leaseGranted && model.Term(term) == w.term {
		return true
	}
	w.sendRevoked(s)
	return w.options.IgnoreFencing
}

// renewLease extends the lease to the granted duration, counted from now.
func (w *Worker) renewLease(s *session, r *workerv1.Renew) {
	if !w.leaseGranted || model.Term(r.GetTerm()) != w.term {
		w.sendRevoked(s)
		return
	}
	w.updateRevision(model.Revision(r.GetDocumentRevision()))
	w.leaseExpiry = time.Now().Add(time.Duration(s.leaseMilliseconds) * time.Millisecond)
	renewed := &workerv1.Renewed{Term: uint64(w.term), LeaseMilliseconds: s.leaseMilliseconds}
	s.enqueue(&workerv1.Report{Report: &workerv1.Report_Renewed{Renewed: renewed}})
}

// releaseLease ends the lease if it has this term, and the session in any case. The
// term is kept, so that the next grant gets a higher one and earlier commands are
// refused.
func (w *Worker) releaseLease(s *session, term model.Term) {
	if w.leaseGranted && term == w.term {
		w.recordEntry(Entry{Kind: EntryReleased})
		w.holder = ""
		w.leaseGranted = false
		w.leaseExpiry = time.Time{}
	}
	s.end()
}

// detachSession removes a session whose stream has ended. The lease is kept.
func (w *Worker) detachSession(s *session) {
	s.end()
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.currentSession == s {
		w.currentSession = nil
	}
}

// fenceAttempt reports the state of an attempt. An attempt that the worker has
// not seen is blocked, so that it can no longer start.
func (w *Worker) fenceAttempt(s *session, a model.Attempt) {
	report := &workerv1.TaskReport{
		Attempt: attemptToWire(a),
		State:   workerv1.TaskState_TASK_STATE_NEVER_SEEN,
	}
	if t := w.tasks[a]; t != nil {
		report = w.taskReportToWire(t)
	} else if w.tombstones[a] == tombstoneAcknowledged {
		report.State = workerv1.TaskState_TASK_STATE_FINISHED
		report.Result = failedResult("the result was acknowledged and dropped")
	} else if _, blocked := w.tombstones[a]; !blocked {
		w.tombstones[a] = "fenced"
	}
	w.recordEntry(Entry{Kind: EntryFenced, Attempt: a, Detail: report.GetState().String()})
	s.enqueue(&workerv1.Report{Report: &workerv1.Report_Fenced{Fenced: &workerv1.Fenced{Report: report}}})
}

// tombstoneAcknowledged is the tombstone of an attempt whose result was dropped
// because the holder had acknowledged it.
const tombstoneAcknowledged = "acknowledged"

// acknowledgeResult drops the result of an attempt that has ended and blocks the
// attempt from starting again.
func (w *Worker) acknowledgeResult(a model.Attempt) {
	t := w.tasks[a]
	if t == nil || t.state == workerv1.TaskState_TASK_STATE_RUNNING {
		return
	}
	delete(w.tasks, a)
	w.tombstones[a] = tombstoneAcknowledged
}

// recordThrottle records a throttle command; the task runs on unchanged.
func (w *Worker) recordThrottle(c *workerv1.Throttle) {
	a := attemptFromWire(c.GetAttempt())
	if t := w.tasks[a]; t != nil {
		e := w.taskEntry(t, EntryThrottled, "")
		e.Resources = resourcesFromWire(c.GetLimit())
		w.recorder.addEntry(e)
	}
}

// reportUsage sends the resource use that was sampled one interval ago and takes
// the next sample, because the reports of real workers lag behind.
func (w *Worker) reportUsage() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.currentSession != nil && len(w.sampledUsage) > 0 {
		usage := &workerv1.UsageReport{Tasks: w.sampledUsage}
		w.currentSession.enqueue(&workerv1.Report{Report: &workerv1.Report_Usage{Usage: usage}})
	}
	w.sampledUsage = nil
	for _, t := range w.tasks {
		if t.state == workerv1.TaskState_TASK_STATE_RUNNING {
			attempt, tag := attemptOrTag(t.start, w.term)
			w.sampledUsage = append(w.sampledUsage, &workerv1.TaskUsage{
				Attempt: attempt, Tag: tag,
				Used: resourcesToWire(w.reportedUsage(t)),
			})
		}
	}
}

// reportedUsage returns the resource use that is reported for a task.
func (w *Worker) reportedUsage(t *task) model.Resources {
	used := t.resources
	if t.behaviour.UseMilliCPU > 0 {
		used.MilliCPU = t.behaviour.UseMilliCPU
	}
	if t.behaviour.UseMemoryBytes > 0 {
		used.MemoryBytes = t.behaviour.UseMemoryBytes
	}
	scale := factorOrOne(w.faults.UseFactor)
	used.MilliCPU = int64(float64(used.MilliCPU) * scale)
	used.MemoryBytes = int64(float64(used.MemoryBytes) * scale)
	return used
}
