package linkstandin

import (
	"math/rand/v2"
	"time"
)

// Direction is what happens to the data that goes one way.
type Direction struct {
	DelayMilliseconds  int64
	JitterMilliseconds int64   // added to the delay, uniform from zero
	LossFraction       float64 // share of the pieces of data that stall
	StallMilliseconds  int64   // time that a lost piece costs; 0 for 200, a usual retransmission timeout
	Cut                bool    // data waits until the cut ends
}

// Faults are the state of a link. The zero value is a sound link.
type Faults struct {
	Forward  Direction // from the side that connects to the target
	Backward Direction
	Refuse   bool // new connections are closed at once; without it they hang when a direction is cut
}

const defaultStallMilliseconds = 200

// wait returns how long one piece of data is on its way.
func (d Direction) wait() time.Duration {
	wait := d.DelayMilliseconds
	if d.JitterMilliseconds > 0 {
		wait += rand.Int64N(d.JitterMilliseconds + 1)
	}
	if rand.Float64() < d.LossFraction {
		stall := d.StallMilliseconds
		if stall == 0 {
			stall = defaultStallMilliseconds
		}
		wait += stall
	}
	return time.Duration(wait) * time.Millisecond
}
