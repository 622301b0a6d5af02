package workerstandin

import (
	"encoding/json"
	"net/http"
	"time"
)

// maxControlBodyBytes limits the body of a control call.
const maxControlBodyBytes = 64 << 10

// entryWire is the JSON form of Entry.
type entryWire struct {
	At           time.Time `json:"at"`
	Kind         EntryKind `json:"kind"`
	Worker       string    `json:"worker"`
	Term         uint64    `json:"term,omitempty"`
	Holder       string    `json:"holder,omitempty"`
	RequestID    string    `json:"request_id,omitempty"`
	Task         uint32    `json:"task,omitempty"`
	Number       uint32    `json:"number,omitempty"`
	TaskKind     string    `json:"task_kind,omitempty"`
	Idempotent   bool      `json:"idempotent,omitempty"`
	MilliCPU     int64     `json:"milli_cpu,omitempty"`
	MemoryBytes  int64     `json:"memory_bytes,omitempty"`
	Accelerators int64     `json:"accelerators,omitempty"`
	Slots        int64     `json:"slots,omitempty"`
	Detail       string    `json:"detail,omitempty"`
}

// violationWire is the JSON form of Violation.
type violationWire struct {
	At        time.Time `json:"at"`
	Rule      Rule      `json:"rule"`
	Worker    string    `json:"worker"`
	RequestID string    `json:"request_id,omitempty"`
	Task      uint32    `json:"task,omitempty"`
	Number    uint32    `json:"number,omitempty"`
	Detail    string    `json:"detail"`
}

// recordWire is the answer to GET /standin/record.
type recordWire struct {
	Entries    []entryWire     `json:"entries"`
	Violations []violationWire `json:"violations"`
}

// leaveWire is the body of POST /standin/leave.
type leaveWire struct {
	DeadlineMilliseconds int64 `json:"deadline_milliseconds"` // from now
}

// registerControl adds the control interface, through which scripts set faults
// and read the record.
func (w *Worker) registerControl(mux *http.ServeMux) {
	mux.HandleFunc("GET /standin/record", func(rw http.ResponseWriter, _ *http.Request) {
		rw.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(rw).Encode(recordToWire(w.recorder))
	})
	mux.HandleFunc("PUT /standin/faults", func(rw http.ResponseWriter, r *http.Request) {
		var faults faultsWire
		if decodeControlBody(rw, r, &faults) {
			w.SetFaults(faults.toFaults())
		}
	})
	mux.HandleFunc("POST /standin/leave", func(rw http.ResponseWriter, r *http.Request) {
		var leave leaveWire
		if decodeControlBody(rw, r, &leave) {
			w.Leave(time.Now().Add(time.Duration(leave.DeadlineMilliseconds) * time.Millisecond))
		}
	})
	mux.HandleFunc("POST /standin/crash", func(rw http.ResponseWriter, _ *http.Request) {
		rw.WriteHeader(http.StatusNoContent)
		_ = http.NewResponseController(rw).Flush()
		w.Crash()
	})
}

// decodeControlBody decodes the JSON body of a control call and answers the call
// with status 204, or 400 if the body is invalid. It reports whether the body
// was valid.
func decodeControlBody(rw http.ResponseWriter, r *http.Request, into any) bool {
	decoder := json.NewDecoder(http.MaxBytesReader(rw, r.Body, maxControlBodyBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return false
	}
	rw.WriteHeader(http.StatusNoContent)
	return true
}

func recordToWire(r *Recorder) recordWire {
	record := recordWire{Entries: []entryWire{}, Violations: []violationWire{}}
	for _, e := range r.Entries() {
		wire := entryWire{
			At:           e.At,
			Kind:         e.Kind,
			Worker:       string(e.Worker),
			Term:         uint64(e.Term),
			Holder:       string(e.Holder),
			RequestID:    string(e.Attempt.Request),
			Task:         e.Attempt.Task,
			Number:       e.Attempt.Number,
			Idempotent:   e.Idempotent,
			MilliCPU:     e.Resources.MilliCPU,
			MemoryBytes:  e.Resources.MemoryBytes,
			Accelerators: e.Resources.Accelerators,
			Slots:        e.Resources.Slots,
			Detail:       e.Detail,
		}
		if e.TaskKind != 0 {
			wire.TaskKind = e.TaskKind.String()
		}
		record.Entries = append(record.Entries, wire)
	}
	for _, v := range r.Violations() {
		record.Violations = append(record.Violations, violationWire{
			At:        v.At,
			Rule:      v.Rule,
			Worker:    string(v.Worker),
			RequestID: string(v.Attempt.Request),
			Task:      v.Attempt.Task,
			Number:    v.Attempt.Number,
			Detail:    v.Detail,
		})
	}
	return record
}
