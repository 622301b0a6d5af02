package dispatch

import (
	"time"

	"fuchsiacross/runtimes"
)

// runtimesSaveInterval is the time between two saves of what was learned about run times. A
// change of leader loses as much.
const runtimesSaveInterval = 2 * time.Second

// addRuntimes adds what was learned about run times to a save that is due anyway.
func (r *Reducer) addRuntimes(save *Save) {
	if r.runtimesRejected || r.now.Sub(r.runtimesSavedAt) < runtimesSaveInterval {
		return
	}
	r.runtimesSavedAt = r.now
	state, err := runtimes.EncodeState(r.forecasts, &r.speeds)
	if err != nil {
		r.addNote(Note{Kind: NoteRunTimesNotRestored, Detail: err.Error()})
		return
	}
	if len(state) <= r.maxPartBytes {
		save.RunTimes = state
	}
}

// restoreRuntimes continues with what a predecessor learned about run times. Without it the
// models start empty.
func (r *Reducer) restoreRuntimes(state []byte) {
	detail := "no row"
	if len(state) > 0 {
		err := runtimes.DecodeState(state, r.forecasts, &r.speeds)
		if err == nil {
			return
		}
		detail = err.Error()
	}
	if !r.firstLeader {
		r.addNote(Note{Kind: NoteRunTimesNotRestored, Detail: detail})
	}
}
