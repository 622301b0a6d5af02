package tableservice

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"fuchsiacross/document"
	"fuchsiacross/event"
	"fuchsiacross/logevent"
	"fuchsiacross/model"
	"fuchsiacross/platformv1"
)

const (
	documentHeadKey = "document/head"
	sectionPrefix   = "document/section/"
	editPrefix      = "document/edits/"
	// documentTries bounds the readings of a document that is edited meanwhile.
	documentTries = 5
	// singleSections is the number of changed sections up to which each is read
	// by itself; more are listed together.
	singleSections = 8
)

// documents remembers the document that was posted last.
type documents struct {
	mu   sync.Mutex
	last *document.Document
}

func (d *documents) get() *document.Document {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.last
}

// advance remembers a document that is newer than the last one.
func (d *documents) advance(to *document.Document) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if to == nil || d.last != nil && to.Revision <= d.last.Revision {
		return false
	}
	d.last = to
	return true
}

// pollHead looks for a newer document revision once.
func (c *Client) pollHead(ctx context.Context) {
	if !c.options.ShouldPollHead() {
		return
	}
	head, err := c.readDocumentHead(ctx)
	if err != nil {
		logevent.HeadNotRead.Log(c.log, zap.Error(err))
		return
	}
	have := c.documents.get()
	if have != nil && model.Revision(head.Revision) <= have.Revision || head.Revision == 0 {
		return
	}
	c.readAndPost(ctx, 0)
}

// fetchDocument carries out FetchDocument. There is no event for a failure; the
// reducer asks again.
func (c *Client) fetchDocument(revision model.Revision) { c.readAndPost(c.context, revision) }

// readAndPost reads the document and posts it when it is newer than the last one
// posted, or was asked for by its revision.
func (c *Client) readAndPost(ctx context.Context, asked model.Revision) {
	d, err := c.ReadDocument(ctx, c.documents.get())
	if err != nil {
		logevent.DocumentNotRead.Log(c.log, zap.Error(err))
		return
	}
	if c.documents.advance(d) || d != nil && asked > 0 && d.Revision >= asked {
		c.post(event.DocumentChanged{Document: d})
	}
}

// readDocumentHead reads the document's head; its revision is 0 when there is no
// document.
func (c *Client) readDocumentHead(ctx context.Context) (documentHeadWire, error) {
	var head documentHeadWire
	row, err := c.readRow(ctx, documentHeadKey)
	if err != nil || row.Version == 0 {
		return head, err
	}
	if err := decode(row.Key, row.Value, &head); err != nil {
		return head, err
	}
	if head.Revision != row.Version {
		return head, errors.Errorf("row %q has version %d and names revision %d", row.Key, row.Version, head.Revision)
	}
	return head, nil
}

// ReadDocument returns the committed document, nil when there is none. Only the
// sections that changed after have are read; have may be nil and is returned
// when it is current.
func (c *Client) ReadDocument(ctx context.Context, have *document.Document) (*document.Document, error) {
	for range documentTries {
		head, err := c.readDocumentHead(ctx)
		if err != nil {
			return nil, err
		}
		if head.Revision == 0 || have != nil && uint64(have.Revision) >= head.Revision {
			return have, nil
		}
		sections, err := c.readSections(ctx, head, have)
		if err != nil {
			return nil, err
		}
		if sections != nil {
			return document.Assemble(model.Revision(head.Revision), sections)
		}
	}
	return nil, errors.Errorf("the document changed during each of %d readings", documentTries)
}

// readSections returns the sections that a head names, or nil when a section was
// edited after the head was read.
func (c *Client) readSections(
	ctx context.Context, head documentHeadWire, have *document.Document,
) ([]document.Section, error) {
	sections := make([]document.Section, 0, len(head.Sections))
	var missing []sectionHeadWire
	for _, h := range head.Sections {
		if s, ok := sectionAt(have, h); ok {
			sections = append(sections, s)
		} else {
			missing = append(missing, h)
		}
	}
	rows, err := c.readSectionRows(ctx, missing)
	if err != nil {
		return nil, err
	}
	for _, h := range missing {
		s, ok := rows[h.Name]
		if !ok || uint64(s.Revision) != h.Revision {
			return nil, nil
		}
		sections = append(sections, s)
	}
	return sections, nil
}

// sectionAt returns a section of a document when it has the revision of a head.
func sectionAt(d *document.Document, h sectionHeadWire) (document.Section, bool) {
	if d == nil {
		return document.Section{}, false
	}
	i := slices.IndexFunc(d.Sections, func(s document.Section) bool {
		return s.Name == h.Name && uint64(s.Revision) == h.Revision
	})
	if i < 0 {
		return document.Section{}, false
	}
	return d.Sections[i], true
}

// readSectionRows reads sections, one by one when they are few.
func (c *Client) readSectionRows(ctx context.Context, of []sectionHeadWire) (map[string]document.Section, error) {
	rows := make(map[string]document.Section)
	add := func(row *platformv1.Row) error {
		var w sectionWire
		if err := decode(row.Key, row.Value, &w); err != nil {
			return err
		}
		rows[strings.TrimPrefix(row.Key, sectionPrefix)] = w.section()
		return nil
	}
	if len(of) > singleSections {
		return rows, c.listRows(ctx, sectionPrefix, add)
	}
	for _, h := range of {
		row, err := c.readRow(ctx, sectionPrefix+h.Name)
		if err != nil {
			return nil, err
		}
		if row.Version == 0 {
			return nil, errors.Errorf("row %q is missing", row.Key)
		}
		if err := add(row); err != nil {
			return nil, err
		}
	}
	return rows, nil
}

func (w sectionWire) section() document.Section {
	s := document.Section{
		Name:             w.Name,
		Revision:         model.Revision(w.Revision),
		DocumentRevision: model.Revision(w.Document),
		EditID:           w.EditID,
		Body:             w.Body,
	}
	for _, o := range w.Owners {
		s.Owners = append(s.Owners, model.Team(o))
	}
	return s
}

func editKey(revision uint64) string { return fmt.Sprintf("%s%020d", editPrefix, revision) }
