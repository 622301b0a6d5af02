package scenario

import (
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/types/known/timestamppb"

	"fuchsiacross/callerv1"
	"fuchsiacross/model"
	"fuchsiacross/workerstandin"
)

// workKind is one kind of work of Cobán's document.
type workKind struct {
	team, workload string
	tasks          uint32
	gang           bool
	body           string // specifies the behaviour of the tasks to the worker stand-in, in JSON
}

var workKinds = []workKind{
	{team: "gates", workload: "moisture_check", tasks: 1, body: `{"run_milliseconds":5}`},
	{team: "treasury", workload: "patio_summary", tasks: 1, body: `{"run_milliseconds":20}`},
	{team: "agronomy", workload: "season_reconciliation", tasks: 1, body: `{"run_milliseconds":30}`},
	{team: "records", workload: "log_archive", tasks: 2, body: `{"run_milliseconds":100}`},
	{team: "agronomy", workload: "drying_model", tasks: 4, gang: true, body: `{"run_milliseconds":100}`},
}

func findWorkKind(name string) (workKind, error) {
	for _, k := range workKinds {
		if k.workload == name {
			return k, nil
		}
	}
	return workKind{}, errors.Errorf("unknown kind of work %q", name)
}

func (k workKind) newSubmitRequest(id string, deadline time.Time) *callerv1.SubmitRequest {
	m := &callerv1.SubmitRequest{
		RequestId: id,
		Team:      k.team,
		Workload:  k.workload,
		Tasks:     k.tasks,
		Gang:      k.gang,
		Body:      []byte(k.body),
	}
	if !deadline.IsZero() {
		m.Deadline = timestamppb.New(deadline)
	}
	return m
}

// isCompleteAnswer reports whether an answer is the complete answer to its own
// request. The worker stand-in answers each task with the request's identifier.
func (k workKind) isCompleteAnswer(id string, o *callerv1.Outcome) bool {
	var behaviour struct {
		AnswerBytes int `json:"answer_bytes"`
	}
	_ = json.Unmarshal([]byte(k.body), &behaviour)
	task := workerstandin.AnswerFor(model.RequestID(id), behaviour.AnswerBytes)
	digest := model.DigestOf(o.GetAnswer())
	return string(o.GetAnswer()) == strings.Repeat(string(task), int(k.tasks)) &&
		o.GetRequestId() == id &&
		uint64(len(o.GetAnswer())) == o.GetAnswerLength() &&
		slices.Equal(digest[:], o.GetAnswerDigest())
}

// isJournaled reports whether requests of this kind are journaled. Moisture checks
// are not: only the instance that accepted one knows it.
func (k workKind) isJournaled() bool { return k.workload != "moisture_check" }
