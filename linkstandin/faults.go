package linkstandin

import (
	"math/rand/v2"
	"time"
)

// Direction holds the faults of one direction of a link.
type Direction struct {
	DelayMilliseconds  int64
	JitterMilliseconds int64   // maximum of a uniformly distributed addition to the delay
	LossFraction       float64 // fraction of the chunks of data that are lost and retransmitted
	StallMilliseconds  int64   // delay of a lost chunk; 0 means 200, a usual retransmission timeout
	Cut                bool    // data is held until the cut ends
	// BytesPerSecond is the bandwidth that all connections share; 0 means no limit. Each of them
	// has at most one chunk in the queue of the link, which is served in the order of arrival.
	BytesPerSecond int64
}

// Faults holds the faults of a link. The zero value is a link without faults.
type Faults struct {
	Forward  Direction // from the connecting side to the target
	Backward Direction
	Refuse   bool // close new connections at once; otherwise they hang while a direction is cut
}

const defaultStallMilliseconds = 200

// sampleTransitTime returns a random transit time for one chunk of data.
func (d Direction) sampleTransitTime() time.Duration {
	transit := d.DelayMilliseconds
	if d.JitterMilliseconds > 0 {
		transit += rand.Int64N(d.JitterMilliseconds + 1)
	}
	if rand.Float64() < d.LossFraction {
		stall := d.StallMilliseconds
		if stall == 0 {
			stall = defaultStallMilliseconds
		}
		transit += stall
	}
	return time.Duration(transit) * time.Millisecond
}
