package placement

import (
	"fuchsiacross/model"
)

// Requirements describes one task that needs a worker.
type Requirements struct {
	Request         *model.Request   // not modified
	Resources       model.Resources  // amount to reserve, usually from EffectiveResources
	ExcludedWorkers []model.WorkerID // workers that must not be chosen, such as those already tried
	ServiceWorkers  []model.WorkerID // workers of the other tasks of the same service; their racks are chosen last
}

// isUrgent reports whether the task may use the headroom for urgent work.
func (r *Requirements) isUrgent() bool { return r.Request.Class == model.ClassUrgent }

// Choice is the worker chosen for one task, with the term of its lease.
type Choice struct {
	Worker model.WorkerID
	Term   model.Term
	Reason Reason
}

// Reason says why a worker was chosen.
type Reason uint8

// The reasons.
const (
	// ReasonBestFit means that the worker has the best score and was found
	// among the fitting workers with the least free in the dominant dimension.
	ReasonBestFit Reason = iota + 1
	// ReasonLeastLoaded means that the worker has the best score and was found
	// among the workers with the most free in the dominant dimension.
	ReasonLeastLoaded
	// ReasonRack means that the worker's rack runs the fewest tasks of the
	// service among the racks compared.
	ReasonRack
	// ReasonProbe means that the task probes a quarantined worker.
	ReasonProbe
	// ReasonHeld means that the worker is held for the request.
	ReasonHeld
	// ReasonLastResort means that no worker fits but one that is held for
	// another request; only urgent tasks are placed there.
	ReasonLastResort
)

// String returns the text shown on the timeline of a request.
func (r Reason) String() string {
	switch r {
	case ReasonBestFit:
		return "best fit"
	case ReasonLeastLoaded:
		return "least loaded"
	case ReasonRack:
		return "spread over racks"
	case ReasonProbe:
		return "probe of a quarantined worker"
	case ReasonHeld:
		return "held for the request"
	case ReasonLastResort:
		return "only a held worker fits"
	}
	return "invalid"
}
