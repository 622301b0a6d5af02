package runtimes

import (
	"math"
	"slices"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"fuchsiacross/job"
)

// maxStateBytes limits the stored state. What is known least well is left out.
const maxStateBytes = 16_000

type wireState struct {
	Queues  []wireQueue  `cbor:"1,keyasint"`
	Workers []wireWorker `cbor:"2,keyasint"`
	Offset  float32      `cbor:"3,keyasint"`
	Uneven  bool         `cbor:"4,keyasint,omitempty"`
}

type wireQueue struct {
	Name   string    `cbor:"1,keyasint"`
	Sums   []float32 `cbor:"2,keyasint"` // of the regression
	Ratios []uint16  `cbor:"3,keyasint"` // parts of the histogram's total
	Weight float32   `cbor:"4,keyasint"` // of the histogram
}

type wireWorker struct {
	_         struct{} `cbor:",toarray"`
	ID        string
	StartTime int64
	Mean      float32
	Precision float32
}

// ratioScale is the total of the stored parts of a histogram.
const ratioScale = 50_000

// EncodeState returns the state of the models for a row of the store, or nil if nothing is known.
func EncodeState(queues map[string]*Forecast, f *Speeds) ([]byte, error) {
	w := wireState{Offset: float32(f.offset), Uneven: f.uneven}
	for name, q := range queues {
		if q.count == 0 && q.ratios.total == 0 {
			continue
		}
		stored := wireQueue{Name: name, Weight: float32(q.ratios.weight())}
		for _, sum := range q.sums() {
			stored.Sums = append(stored.Sums, float32(*sum))
		}
		if q.ratios.total > 0 {
			for _, n := range q.ratios.bins {
				stored.Ratios = append(stored.Ratios, uint16(float64(n)/q.ratios.total*ratioScale))
			}
		}
		w.Queues = append(w.Queues, stored)
	}
	slices.SortFunc(w.Queues, func(a, b wireQueue) int { return int(b.Weight - a.Weight) })
	for _, s := range f.workers {
		if s.precision > 0 {
			w.Workers = append(w.Workers, wireWorker{ID: string(s.id), StartTime: s.startTime, Mean: float32(s.sum / s.precision), Precision: float32(s.precision)})
		}
	}
	if len(w.Queues)+len(w.Workers) == 0 {
		return nil, nil
	}
	slices.SortStableFunc(w.Workers, func(a, b wireWorker) int {
		switch {
		case a.Precision > b.Precision:
			return -1
		case a.Precision < b.Precision:
			return 1
		}
		return 0
	})
	for {
		data, err := cbor.Marshal(w)
		if err != nil {
			return nil, errors.Wrap(err, "encode run times")
		}
		if len(data) <= maxStateBytes {
			return data, nil
		}
		// A queue takes up to 200 bytes, a worker about 30.
		if len(w.Workers) > 0 {
			w.Workers = w.Workers[:len(w.Workers)*9/10]
		} else {
			w.Queues = w.Queues[:len(w.Queues)*9/10]
		}
	}
}

// DecodeState adds a stored state to the models. It creates the forecasts of queues, but only
// fills in workers that have joined. If the row is invalid it changes nothing.
func DecodeState(data []byte, queues map[string]*Forecast, f *Speeds) error {
	var w wireState
	if err := cbor.Unmarshal(data, &w); err != nil {
		return errors.Wrap(err, "decode run times")
	}
	if !isFinite(w.Offset) {
		return errors.New("offset is not finite")
	}
	for _, q := range w.Queues {
		if len(q.Sums) != len((&Forecast{}).sums()) || len(q.Ratios) != 0 && len(q.Ratios) != ratioBins || !isFinite(append(q.Sums, q.Weight)...) || q.Weight < 0 {
			return errors.Errorf("queue %q has invalid sums", q.Name)
		}
	}
	for _, s := range w.Workers {
		if !isFinite(s.Mean, s.Precision) || s.Precision < 0 {
			return errors.Errorf("worker %q has an invalid speed", s.ID)
		}
	}
	for _, q := range w.Queues {
		known := queues[q.Name]
		if known == nil {
			known = &Forecast{}
			queues[q.Name] = known
		}
		for i, sum := range known.sums() {
			*sum = float64(q.Sums[i])
		}
		known.version++
		known.ratios = Ratios{}
		for i, n := range q.Ratios {
			known.ratios.bins[i] = float32(n) / ratioScale * q.Weight
			known.ratios.total += float64(known.ratios.bins[i])
		}
		if known.ratios.total > 0 {
			known.ratios.unit = 1
			known.ratios.refresh()
			known.calibration.predict(&known.ratios)
		}
	}
	f.offset, f.uneven = float64(w.Offset), w.Uneven && !f.AssumeEqual
	for _, stored := range w.Workers {
		at, found := slices.BinarySearchFunc(f.workers, job.WorkerID(stored.ID), compareSpeed)
		if !found {
			continue
		}
		s := f.workers[at]
		s.startTime, s.precision = stored.StartTime, float64(stored.Precision)
		s.sum = float64(stored.Mean) * s.precision
	}
	return nil
}

func isFinite(values ...float32) bool {
	return !slices.ContainsFunc(values, func(v float32) bool { return math.IsNaN(float64(v)) || math.IsInf(float64(v), 0) })
}
