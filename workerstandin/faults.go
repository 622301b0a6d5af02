package workerstandin

// Faults are the faults that a Worker simulates until SetFaults replaces them.
// The zero value is a healthy worker.
type Faults struct {
	FailAll     bool    // every task fails immediately
	RunFactor   float64 // multiplier of run times; 0 for 1
	UseFactor   float64 // multiplier of reported resource use; 0 for 1
	Paused      bool    // commands and answers wait until the fault ends
	Unreachable bool    // open connections are closed, and new ones as soon as they are accepted
	// AnswerDelayMilliseconds delays every report but Denied, and every reply to
	// a Run call.
	AnswerDelayMilliseconds int64
	DropAnswers             int // number of results that are not sent; counts down
	CutAfterStart           int // number of accepted starts whose connection is closed; counts down
	TruncateAnswers         int // number of results sent with only half of their answer; counts down
}

// faultsWire is the JSON form of Faults.
type faultsWire struct {
	FailAll                 bool    `json:"fail_all"`
	RunFactor               float64 `json:"run_factor"`
	UseFactor               float64 `json:"use_factor"`
	Paused                  bool    `json:"paused"`
	Unreachable             bool    `json:"unreachable"`
	AnswerDelayMilliseconds int64   `json:"answer_delay_milliseconds"`
	DropAnswers             int     `json:"drop_answers"`
	CutAfterStart           int     `json:"cut_after_start"`
	TruncateAnswers         int     `json:"truncate_answers"`
}

func (w faultsWire) toFaults() Faults {
	return Faults{
		FailAll:                 w.FailAll,
		RunFactor:               w.RunFactor,
		UseFactor:               w.UseFactor,
		Paused:                  w.Paused,
		Unreachable:             w.Unreachable,
		AnswerDelayMilliseconds: w.AnswerDelayMilliseconds,
		DropAnswers:             w.DropAnswers,
		CutAfterStart:           w.CutAfterStart,
		TruncateAnswers:         w.TruncateAnswers,
	}
}

// factorOrOne returns f, or 1 if f is 0.
func factorOrOne(f float64) float64 {
	if f == 0 {
		return 1
	}
	return f
}
