package membership

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"fuchsiacross/model"
)

// headKey is hashed to choose the instance that polls the document's head.
const headKey = "document_head"

// Owner returns the preferred owner of a worker: the serving instance of its
// data centre with the highest score, or of the cell when the data centre has
// none. It returns the empty string when no instance serves.
func (v *View) PreferredOwner(w model.Worker) model.InstanceID {
	key := xxhash.Sum64String(string(w.ID))
	if id := v.findPreferred(key, w.DataCentre); id != "" {
		return id
	}
	return v.findPreferred(key, "")
}

// Home returns the preferred holder of a partition among all serving instances.
func (v *View) PreferredHolder(p model.Partition) model.InstanceID {
	return v.preferred(mix(uint64(p)+1), "")
}

// PollsHead reports whether this instance polls the document's head for its
// data centre.
func (v *View) PollsHead() bool {
	return v.preferred(xxhash.Sum64String(headKey), v.self.DataCentre) == v.self.ID
}

// preferenceKey names what a preference is for.
type preferenceKey struct {
	key    uint64
	centre model.DataCentre // empty for the whole cell
}

// preferred returns the serving instance with the highest score for a key,
// within a data centre unless it is empty. The home of every partition is asked
// for after every event, so the answers are kept until a member changes. Those
// for workers are not: there are too many, and their holder keeps them.
func (v *View) preferred(key uint64, centre model.DataCentre) model.InstanceID {
	k := preferenceKey{key: key, centre: centre}
	if id, ok := v.preference[k]; ok {
		return id
	}
	id := v.findPreferred(key, centre)
	v.preference[k] = id
	return id
}

func (v *View) findPreferred(key uint64, centre model.DataCentre) model.InstanceID {
	var best model.InstanceID
	highest := math.Inf(-1)
	consider := func(i *model.Instance, hash uint64) {
		if centre != "" && i.DataCentre != centre {
			return
		}
		s := score(key, hash, i.Weight)
		if s > highest || (s == highest && i.ID < best) {
			best, highest = i.ID, s
		}
	}
	if v.serves() {
		consider(&v.self, v.selfHash)
	}
	candidates := v.ordered
	if centre != "" {
		candidates = v.centres[centre]
	}
	for _, m := range candidates {
		if m.serves() {
			consider(&m.instance, m.hash)
		}
	}
	return best
}

// score is the weighted rendezvous score -weight/ln(u), with u uniform in (0,1)
// by hash. An instance is the best one for a share of the keys that is
// proportional to its weight, and the scores of the others do not depend on it.
func score(key, hash uint64, weight float64) float64 {
	if !(weight > 0) {
		weight = 1
	}
	const scale = 1.0 / (1 << 53)
	u := (float64(mix(key^hash)>>11) + 0.5) * scale
	return -weight / math.Log(u)
}

// mix is the finalizer of SplitMix64, which makes every bit of the result
// depend on every bit of x.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
