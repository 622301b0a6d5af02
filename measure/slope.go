package measure

// Slope is a measured cost per unit of load or state, with the command that
// repeats the measurement.
type Slope struct {
	Name    string
	Value   float64
	Unit    string
	Spread  string // range over repeated runs
	Command string
}

const (
	loadCommand    = "go run ./cmd/measure --rate 2000 --seconds 3"
	idleCommand    = "go run ./cmd/measure --urgent --rate 200 --seconds 2 --workers N, N = 50, 150, 350"
	stateCommand   = "go test ./measure -run XXX -bench Memory -benchtime 100x -cpu 2"
	reducerCommand = "go test ./measure -run XXX -bench 'Idle|Start' -benchtime 3000x -cpu 2"
)

// The slopes were measured on one machine with 10 cores that also ran other
// work. The processor time of a start and of a session is that of the whole
// process, so it includes callers, workers and the platform's stand-in.
var (
	SessionBytes   = Slope{"idle worker session, both directions", 112, "B/s", "93 to 112", idleCommand}
	SessionCPU     = Slope{"idle worker session, both ends", 260, "us/s", "one run for each N", idleCommand}
	DaemonCPU      = Slope{"idle daemon with 6 peers: a seventh of an idle cell, platform's stand-in included", 15_000, "us/s", "one run for each N", idleCommand}
	MixedBytes     = Slope{"control bytes of a start, Cobán's mixture", 311, "B", "311 to 312", loadCommand}
	MixedMessages  = Slope{"messages of a start, Cobán's mixture", 3.47, "", "3.47 to 3.48", loadCommand}
	UrgentBytes    = Slope{"control bytes of an urgent start", 156, "B", "one run", "go run ./cmd/measure --rate 5000 --seconds 4 --urgent"}
	StartCPU       = Slope{"a start, whole process", 1_090, "us", "998 to 1,197", loadCommand}
	LinkBytes      = Slope{"heartbeats of 99 links, both directions", 3_300, "B/s", "one run", "go test ./peer -v -ginkgo.v -ginkgo.focus 'of 99 links'"}
	ReducerStart   = Slope{"an urgent start in the reducer", 13, "us", "12 to 17 over all sizes", reducerCommand}
	ReducerJournal = Slope{"a start that runs at most once in the reducer", 32, "us", "one run", "go test ./measure -run XXX -bench Journaled -benchtime 3000x -cpu 2"}
	ReducerIdle    = Slope{"idle reducer with 350 leases and 100 peers", 281, "us/s", "134 to 281 over all sizes", reducerCommand}
	ReducerTasks   = Slope{"idle reducer with 7,000 running tasks", 3_748, "us/s", "one run", "go test ./measure -run XXX -bench Running -benchtime 100x -cpu 2"}
	ListedMemory   = Slope{"a listed worker", 575, "B", "575 to 578", stateCommand}
	LeasedMemory   = Slope{"a leased worker", 2_333, "B", "2,333", stateCommand}
	TaskMemory     = Slope{"a running task", 1_947, "B", "one run", stateCommand}
	WaitingMemory  = Slope{"a waiting request", 997, "B", "997", stateCommand}
	RecordMemory   = Slope{"a settled journaled request", 1_594, "B", "1,594", stateCommand}
)

func slopes() []Slope {
	return []Slope{
		SessionBytes, SessionCPU, DaemonCPU, MixedBytes, MixedMessages, UrgentBytes, StartCPU, LinkBytes,
		ReducerStart, ReducerJournal, ReducerIdle, ReducerTasks,
		ListedMemory, LeasedMemory, TaskMemory, WaitingMemory, RecordMemory,
	}
}
