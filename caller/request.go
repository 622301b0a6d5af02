package caller

import (
	"fmt"
	"time"

	"fuchsiacross/callerv1"
	"fuchsiacross/document"
	"fuchsiacross/finding"
	"fuchsiacross/model"
)

// buildRequest converts a message to a request. Fields that the message does not set
// default to the values of its workload in the document. It returns only findings that
// model.Request.Validate cannot detect.
func buildRequest(m *callerv1.SubmitRequest, d *document.Document, now time.Time) (*model.Request, finding.List) {
	var fs finding.List
	r := &model.Request{
		ID:          model.RequestID(m.GetRequestId()),
		Team:        model.Team(m.GetTeam()),
		Workload:    model.Workload(m.GetWorkload()),
		Tasks:       max(m.GetTasks(), 1),
		Gang:        m.GetGang(),
		Body:        m.GetBody(),
		BodyLength:  int64(len(m.GetBody())),
		BodyDigest:  model.DigestOf(m.GetBody()),
		SubmittedAt: now,
	}
	w, known := findWorkload(r, d, &fs)
	r.Kind = resolveKind(m, w)
	r.Class = resolveClass(m, w)
	r.Resources = resolveResources(m, w, r.Kind)
	r.Idempotent = w.Idempotent
	if m.Idempotent != nil {
		if known && m.GetIdempotent() && !w.Idempotent {
			fs.Add("idempotent", fmt.Sprintf("workload %q must run at most once", r.Workload))
		}
		r.Idempotent = m.GetIdempotent()
	}
	// A preempted attempt is started again, which is only allowed for idempotent
	// requests.
	r.Preemptible = w.Preemptible && r.Idempotent
	r.Deadline = resolveDeadline(m, w, now, &fs)
	if !known {
		// The workload's defaults are missing, so valid values stand in for them:
		// Validate then reports only faults of the message itself.
		r.Kind = max(r.Kind, model.KindRequest)
		r.Class = max(r.Class, model.ClassUrgent)
	}
	return r, fs
}

// findWorkload looks up the workload of a request in the document and adds a finding if
// it does not exist. An empty name is reported by model.Request.Validate.
func findWorkload(r *model.Request, d *document.Document, fs *finding.List) (w document.Workload, known bool) {
	if _, ok := d.Team(r.Team); !ok {
		if r.Team != "" {
			fs.Add("team", fmt.Sprintf("%q has no section in document revision %d", r.Team, d.Revision))
		}
		return document.Workload{DeadlineSeconds: 1}, false
	}
	found, ok := d.Workload(r.Team, r.Workload)
	if !ok {
		if r.Workload != "" {
			fs.Add("workload", fmt.Sprintf("%q is not a workload of team %s in document revision %d", r.Workload, r.Team, d.Revision))
		}
		return document.Workload{DeadlineSeconds: 1}, false
	}
	return *found, true
}

func resolveKind(m *callerv1.SubmitRequest, w document.Workload) model.Kind {
	switch m.GetKind() {
	case callerv1.Kind_KIND_UNSPECIFIED:
		return w.Kind
	case callerv1.Kind_KIND_REQUEST:
		return model.KindRequest
	case callerv1.Kind_KIND_BATCH:
		return model.KindBatch
	case callerv1.Kind_KIND_SERVICE:
		return model.KindService
	}
	return unknownKind
}

func resolveClass(m *callerv1.SubmitRequest, w document.Workload) model.Class {
	switch m.GetClass() {
	case callerv1.Class_CLASS_UNSPECIFIED:
		return w.Class
	case callerv1.Class_CLASS_URGENT:
		return model.ClassUrgent
	case callerv1.Class_CLASS_STANDARD:
		return model.ClassStandard
	case callerv1.Class_CLASS_BACKGROUND:
		return model.ClassBackground
	}
	return unknownClass
}

// Values for enumeration values that this version of the protocol does not define.
// They are out of range, so model.Request.Validate reports them.
const (
	unknownKind  = model.KindService + 1
	unknownClass = model.ClassBackground + 1
)

func resolveResources(m *callerv1.SubmitRequest, w document.Workload, kind model.Kind) model.Resources {
	r := w.Resources
	if given := m.GetResources(); given != nil {
		r = model.Resources{
			MilliCPU:     given.GetMilliCpu(),
			MemoryBytes:  given.GetMemoryBytes(),
			Accelerators: given.GetAccelerators(),
		}
	}
	r.Slots = 0
	if kind == model.KindRequest {
		r.Slots = 1
	}
	return r
}

func resolveDeadline(m *callerv1.SubmitRequest, w document.Workload, now time.Time, fs *finding.List) time.Time {
	given := m.GetDeadline()
	if given == nil {
		return now.Add(time.Duration(w.DeadlineSeconds) * time.Second)
	}
	if err := given.CheckValid(); err != nil {
		fs.Add("deadline", err.Error())
		return now.Add(time.Second)
	}
	return given.AsTime()
}

// checkIDLength returns an error message for an identifier of invalid length, or "".
func checkIDLength(id string, limits model.Limits) string {
	if n := len(id); n == 0 || n > limits.MaxIDBytes {
		return fmt.Sprintf("length %d is outside 1 to %d bytes", n, limits.MaxIDBytes)
	}
	return ""
}
