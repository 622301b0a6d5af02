package scenario

import (
	"path/filepath"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// maxParallelCells limits how many cells run at once, because some scripts check
// time limits of a few seconds, which an overloaded machine would exceed.
const maxParallelCells = 3

type cellKey struct{}

// Params returns the testscript parameters that run the scripts in the folder
// scripts with fuchsiacrossd, fuchsiacross and standin from the folder programs.
func Params(scripts, programs string) testscript.Params {
	slots := make(chan struct{}, maxParallelCells)
	return testscript.Params{
		Dir: scripts,
		Setup: func(env *testscript.Env) error {
			slots <- struct{}{}
			c := newCell(env.WorkDir, programs)
			env.Values[cellKey{}] = c
			env.Defer(func() {
				c.killAll()
				<-slots
			})
			env.Setenv("PATH", programs+string(filepath.ListSeparator)+env.Getenv("PATH"))
			return nil
		},
		Cmds: commands,
	}
}

func cellOf(ts *testscript.TestScript) *cell { return ts.Value(cellKey{}).(*cell) }

// elapsedSince returns the time since t, rounded to milliseconds for logs.
func elapsedSince(t time.Time) time.Duration { return time.Since(t).Round(time.Millisecond) }
