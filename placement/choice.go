package placement

import (
	"fuchsiacross/model"
)

// Ask describes one task that needs a worker.
type Requirements struct {
	Request         *model.Request   // never modified
	Resources       model.Resources  // amount to reserve, usually from Effective
	ExcludedWorkers []model.WorkerID // workers tried already
	ServiceWorkers  []model.WorkerID // workers that run other tasks of the same service; their racks are used last
}

// urgent reports whether the task may use the headroom.
func (a *Requirements) urgent() bool { return a.Request.Class == model.ClassUrgent }

// Choice is a worker for one task.
type Choice struct {
	Worker model.WorkerID
	Term   model.Term
	Reason Reason
}

// Reason says why a worker was chosen.
type Reason uint8

// The reasons.
const (
	// ReasonBestFit means that the worker has the best score and little room
	// left for the dominant dimension.
	ReasonBestFit Reason = iota + 1
	// ReasonLeastLoaded means that the worker has the best score and more room
	// left for the dominant dimension than most.
	ReasonLeastLoaded
	// ReasonRack means that the worker's rack runs fewer tasks of the service.
	ReasonRack
	// ReasonProbe means that the task probes a quarantined worker.
	ReasonProbe
	// ReasonHeld means that the worker was held for the request.
	ReasonHeld
	// ReasonLastResort means that only a worker held for another request fits.
	ReasonLastResort
)

// String returns the text used on the timeline.
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
