package tableservice

import (
	"context"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"fuchsiacross/logevent"
	"fuchsiacross/model"
	"fuchsiacross/requestjournal"
)

// maxPackedBytes limits the size of an object that packs several bodies or answers. A
// longer body or answer is an object of its own.
const maxPackedBytes = 1 << 20

// location is a range of bytes in an object of the object store.
type location struct {
	object model.Digest
	offset int64
	length int64
}

// storeLongBytes stores the bodies and answers of records that are too long to be
// stored inline, and returns their locations by digest. It packs those that are not
// stored yet into few objects: with one object for each, a batch of long answers would
// cost as many writes as it has requests.
func (c *Client) storeLongBytes(ctx context.Context, records []requestjournal.Record) (map[model.Digest]location, error) {
	var (
		locations      = make(map[model.Digest]location)
		content        []byte
		contentDigests []model.Digest
	)
	flush := func() error {
		if len(contentDigests) == 0 {
			return nil
		}
		object, err := c.StoreBody(ctx, content)
		if err != nil {
			return errors.Wrap(err, "store long bodies and answers")
		}
		for _, digest := range contentDigests {
			l := locations[digest]
			l.object = object
			locations[digest] = l
			c.locations.add(digest, l)
		}
		content, contentDigests = nil, nil
		return nil
	}
	add := func(data []byte) error {
		if len(data) <= maxInlineBytes {
			return nil
		}
		digest := model.DigestOf(data)
		if _, ok := locations[digest]; ok {
			return nil
		}
		if l, ok := c.locations.get(digest); ok {
			locations[digest] = l
			return nil
		}
		if len(content) > 0 && len(content)+len(data) > maxPackedBytes {
			if err := flush(); err != nil {
				return err
			}
		}
		locations[digest] = location{offset: int64(len(content)), length: int64(len(data))}
		content = append(content, data...)
		contentDigests = append(contentDigests, digest)
		return nil
	}
	for i := range records {
		for _, data := range longFields(&records[i]) {
			if err := add(data); err != nil {
				return nil, err
			}
		}
	}
	return locations, flush()
}

// longFields returns the fields of a record that may be too long to be stored inline.
func longFields(r *requestjournal.Record) [][]byte {
	var all [][]byte
	if r.Request != nil {
		all = append(all, r.Request.Body)
	}
	if r.Result != nil {
		all = append(all, r.Result.Answer)
	}
	if r.Outcome != nil {
		all = append(all, r.Outcome.Answer)
	}
	return all
}

// objectReader reads ranges of bytes in objects. It caches the objects for the load of
// one journal.
type objectReader struct {
	client *Client
	cache  map[model.Digest][]byte
}

// fetch returns a copy of the bytes at a location. It copies them so that a single
// answer in use does not keep a whole object in memory. If the store has lost the
// object, or the object is too short, fetch returns no bytes and no error, so that
// the rest of the partition can be loaded; the outcome then lacks its answer.
func (r *objectReader) fetch(ctx context.Context, l location) ([]byte, error) {
	object, ok := r.cache[l.object]
	if !ok {
		var err error
		object, err = r.client.FetchBody(ctx, l.object)
		switch {
		case errors.Is(err, ErrObjectNotFound):
			logevent.StoredAnswersLost.Log(r.client.log, zap.Error(err))
		case err != nil:
			return nil, err
		}
		r.cache[l.object] = object
	}
	if l.offset < 0 || l.length < 0 || l.offset+l.length > int64(len(object)) {
		return nil, nil
	}
	data := append([]byte{}, object[l.offset:l.offset+l.length]...)
	r.client.locations.add(model.DigestOf(data), l)
	return data, nil
}
