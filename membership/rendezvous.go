package membership

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"fuchsiacross/model"
)

// documentHeadKey is hashed to choose the instance that polls the head of the
// document, which names its latest revision.
const documentHeadKey = "document_head"

// PreferredOwner returns the preferred owner of a worker: the serving instance of
// its data centre with the highest score, or of the cell if the data centre has
// none. It returns the empty string if no instance is serving.
func (v *View) PreferredOwner(w model.Worker) model.InstanceID {
	key := xxhash.Sum64String(string(w.ID))
	if id := v.computePreferred(key, w.DataCentre); id != "" {
		return id
	}
	return v.computePreferred(key, "")
}

// PreferredHolder returns the preferred holder of a partition among all serving
// instances. It is the home of the partition's requests; PartitionHolder returns
// the actual holder.
func (v *View) PreferredHolder(p model.Partition) model.InstanceID {
	return v.cachedPreferred(mix64(uint64(p)+1), "")
}

// PollsDocumentHead reports whether this instance polls the document's head for
// its data centre.
func (v *View) PollsDocumentHead() bool {
	return v.cachedPreferred(xxhash.Sum64String(documentHeadKey), v.self.DataCentre) == v.self.ID
}

// preferenceKey is a key of the cache of preferred instances.
type preferenceKey struct {
	key        uint64
	dataCentre model.DataCentre // empty for the whole cell
}

// cachedPreferred returns the serving instance with the highest score for a key,
// within the data centre unless that is empty. The preferred holder of every
// partition is looked up after every event, so the results are cached until a
// member changes. Results for workers bypass this cache: there are too many, and
// package lease caches them.
func (v *View) cachedPreferred(key uint64, dataCentre model.DataCentre) model.InstanceID {
	k := preferenceKey{key: key, dataCentre: dataCentre}
	if id, ok := v.preferredCache[k]; ok {
		return id
	}
	id := v.computePreferred(key, dataCentre)
	v.preferredCache[k] = id
	return id
}

func (v *View) computePreferred(key uint64, dataCentre model.DataCentre) model.InstanceID {
	var best model.InstanceID
	highest := math.Inf(-1)
	consider := func(i *model.Instance, hash uint64) {
		if dataCentre != "" && i.DataCentre != dataCentre {
			return
		}
		s := rendezvousScore(key, hash, i.Weight)
		if s > highest || (s == highest && i.ID < best) {
			best, highest = i.ID, s
		}
	}
	if v.isServing() {
		consider(&v.self, v.selfHash)
	}
	candidates := v.ordered
	if dataCentre != "" {
		candidates = v.byDataCentre[dataCentre]
	}
	for _, m := range candidates {
		if m.isServing() {
			consider(&m.instance, m.hash)
		}
	}
	return best
}

// rendezvousScore returns the weighted rendezvous score -weight/ln(u), where u is
// derived from the hash and uniform in (0,1). The fraction of keys for which an
// instance has the highest score is proportional to its weight, and its score does
// not affect those of other instances.
func rendezvousScore(key, hash uint64, weight float64) float64 {
	if !(weight > 0) {
		weight = 1
	}
	const scale = 1.0 / (1 << 53)
	u := (float64(mix64(key^hash)>>11) + 0.5) * scale
	return -weight / math.Log(u)
}

// mix64 is the finalizer of SplitMix64. Every bit of the result depends on every
// bit of x.
func mix64(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
