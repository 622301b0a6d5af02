package model

import (
	"net/netip"
	"time"
)

// Worker describes a worker as the platform lists it.
type Worker struct {
	ID         WorkerID
	Address    netip.AddrPort
	DataCentre DataCentre
	Rack       Rack
	Leaving    bool
}

// Instance describes one scheduler instance as the platform lists it.
type Instance struct {
	ID         InstanceID
	Address    netip.AddrPort // where peers connect
	DataCentre DataCentre
	Weight     float64 // relative number of workers and partitions it owns; 1 for an ordinary instance
	Leaving    bool
}

// TaskState is the state of an attempt as its worker reports it.
type TaskState uint8

// The states of an attempt that a worker reports.
const (
	// TaskNeverSeen means that the worker never saw the attempt.
	TaskNeverSeen TaskState = iota + 1
	// TaskRunning means that the attempt is running.
	TaskRunning
	// TaskFinished means that the attempt ended and its result is known.
	TaskFinished
	// TaskStopped means that a stop command ended the attempt.
	TaskStopped
	// TaskLost means that the worker has restarted and does not know whether it
	// ran the attempt.
	TaskLost
)

// String returns the name used in logs.
func (s TaskState) String() string {
	switch s {
	case TaskNeverSeen:
		return "never_seen"
	case TaskRunning:
		return "running"
	case TaskFinished:
		return "finished"
	case TaskStopped:
		return "stopped"
	case TaskLost:
		return "lost"
	}
	return "invalid"
}

// TaskReport is a worker's report of one attempt.
type TaskReport struct {
	Attempt   Attempt
	State     TaskState
	Resources Resources
	Class     Class
	Team      Team
	Workload  Workload
	Kind      Kind
	StartedAt time.Time
	Result    TaskResult // set when State is TaskFinished
}

// TaskResult is the result of a finished attempt.
type TaskResult struct {
	Succeeded bool
	Message   string // error that the task reported; empty on success
	Answer    []byte
	Digest    Digest
}

// Usage is a worker's report of the resources that one running attempt uses.
// Reports lag behind actual use.
type Usage struct {
	Attempt Attempt
	Used    Resources
}
