package job

import "github.com/go-faster/errors"

// MaxTasksPerStep limits the size of a job's state.
const MaxTasksPerStep = 5000

// Validate returns an error unless the definition can be scheduled: it has steps, each with
// tasks and with demands that are not negative, and steps depend on earlier ones only.
func (d *Definition) Validate() error {
	if len(d.Steps) == 0 {
		return errors.New("a job has at least one step")
	}
	if d.Occurrences < 0 || d.IntervalMilliseconds < 0 {
		return errors.New("occurrences and their interval cannot be negative")
	}
	for i := range d.Steps {
		s := &d.Steps[i]
		if s.Tasks < 1 || s.Tasks > MaxTasksPerStep || s.MaxPerWorker < 0 ||
			s.Demand.MilliCPU < 0 || s.Demand.MemoryBytes < 0 || s.Demand.Accelerators < 0 {
			return errors.Errorf("step %d: tasks or demand out of range", i)
		}
		for _, before := range s.After {
			if before < 0 || before >= i {
				return errors.Errorf("step %d depends on step %d; only earlier steps are allowed", i, before)
			}
		}
	}
	return nil
}
