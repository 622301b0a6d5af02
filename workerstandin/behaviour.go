package workerstandin

import (
	"bytes"
	"encoding/json"

	"fuchsiacross/model"
)

// Behaviour describes how a task runs and ends. Its JSON form in the body of a
// request has the field names in snake case, such as
// {"run_milliseconds": 5, "answer_bytes": 100, "fail": false, "use_milli_cpu": 500}.
type Behaviour struct {
	RunMilliseconds int64 // run time; a service with 0 runs until it is stopped
	AnswerBytes     int   // length of the answer; 0 for the request identifier alone
	Fail            bool  // the task ends with a failure
	UseMilliCPU     int64 // reported processor use; 0 for the reserved amount
	UseMemoryBytes  int64 // reported memory use; 0 for the reserved amount
}

// defaultRunMilliseconds is the run time of a request or batch task whose body
// does not set one.
const defaultRunMilliseconds = 2

// behaviourWire is the JSON form of Behaviour.
type behaviourWire struct {
	RunMilliseconds *int64 `json:"run_milliseconds"`
	AnswerBytes     int    `json:"answer_bytes"`
	Fail            bool   `json:"fail"`
	UseMilliCPU     int64  `json:"use_milli_cpu"`
	UseMemoryBytes  int64  `json:"use_memory_bytes"`
}

// parseBehaviour decodes the body of a request. A body that is not valid JSON of
// this form gets the default behaviour, because callers may send any bytes.
func parseBehaviour(body []byte, kind model.Kind) Behaviour {
	var wire behaviourWire
	if err := json.Unmarshal(body, &wire); err != nil {
		wire = behaviourWire{}
	}
	b := Behaviour{
		AnswerBytes:    wire.AnswerBytes,
		Fail:           wire.Fail,
		UseMilliCPU:    wire.UseMilliCPU,
		UseMemoryBytes: wire.UseMemoryBytes,
	}
	switch {
	case wire.RunMilliseconds != nil:
		b.RunMilliseconds = *wire.RunMilliseconds
	case kind != model.KindService:
		b.RunMilliseconds = defaultRunMilliseconds
	}
	return b
}

// AnswerFor returns the answer of a successful task: the request identifier,
// repeated and truncated to length bytes if length is greater than 0. Tests use
// it to check that an answer belongs to its request.
func AnswerFor(id model.RequestID, length int) []byte {
	if length <= 0 || id == "" {
		return []byte(id)
	}
	return bytes.Repeat([]byte(id), length/len(id)+1)[:length]
}
