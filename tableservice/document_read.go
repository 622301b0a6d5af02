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
	// maxDocumentReads limits the reads of a document that is edited during each
	// read.
	maxDocumentReads = 5
	// maxSingleSectionReads is the largest number of changed sections that are
	// read one by one; if there are more, all sections are listed.
	maxSingleSectionReads = 8
)

// documentCache holds the latest document that was posted.
type documentCache struct {
	mu     sync.Mutex
	latest *document.Document
}

func (d *documentCache) get() *document.Document {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.latest
}

// setIfNewer stores a document that is newer than the cached one. It reports
// whether it did.
func (d *documentCache) setIfNewer(next *document.Document) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if next == nil || d.latest != nil && next.Revision <= d.latest.Revision {
		return false
	}
	d.latest = next
	return true
}

// pollDocumentHead reads the document's head and, if it has a newer revision, the
// document.
func (c *Client) pollDocumentHead(ctx context.Context) {
	if !c.options.ShouldPollHead() {
		return
	}
	head, err := c.readDocumentHead(ctx)
	if err != nil {
		logevent.DocumentHeadNotRead.Log(c.log, zap.Error(err))
		return
	}
	current := c.documents.get()
	if current != nil && model.Revision(head.Revision) <= current.Revision || head.Revision == 0 {
		return
	}
	c.readAndPostDocument(ctx, 0)
}

// fetchDocument carries out FetchDocument. A failure is not posted, because the
// reducer repeats the effect.
func (c *Client) fetchDocument(revision model.Revision) { c.readAndPostDocument(c.context, revision) }

// readAndPostDocument reads the document and posts it if it is newer than the one
// posted last, or if it has at least the requested revision. A requested revision
// of 0 requests none.
func (c *Client) readAndPostDocument(ctx context.Context, requested model.Revision) {
	d, err := c.ReadDocument(ctx, c.documents.get())
	if err != nil {
		logevent.DocumentNotRead.Log(c.log, zap.Error(err))
		return
	}
	if c.documents.setIfNewer(d) || d != nil && requested > 0 && d.Revision >= requested {
		c.post(event.DocumentChanged{Document: d})
	}
}

// readDocumentHead reads the document's head. Its revision is 0 if there is no
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

// ReadDocument returns the committed document. It reads only the sections that
// are not in the cached document, which may be nil, and returns the cached document
// itself if it is current or if the table holds no document.
func (c *Client) ReadDocument(ctx context.Context, cached *document.Document) (*document.Document, error) {
	for range maxDocumentReads {
		head, err := c.readDocumentHead(ctx)
		if err != nil {
			return nil, err
		}
		if head.Revision == 0 || cached != nil && uint64(cached.Revision) >= head.Revision {
			return cached, nil
		}
		sections, err := c.readSections(ctx, head, cached)
		if err != nil {
			return nil, err
		}
		if sections != nil {
			return document.Assemble(model.Revision(head.Revision), sections)
		}
	}
	return nil, errors.Errorf("the document changed during each of %d readings", maxDocumentReads)
}

// readSections returns the sections that a head lists, or nil if one of them was
// edited after the head was read.
func (c *Client) readSections(
	ctx context.Context, head documentHeadWire, cached *document.Document,
) ([]document.Section, error) {
	sections := make([]document.Section, 0, len(head.Sections))
	var missing []sectionHeadWire
	for _, h := range head.Sections {
		if s, ok := findSection(cached, h); ok {
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

// findSection returns the section of a document that has the name and the revision
// of a section's head.
func findSection(d *document.Document, h sectionHeadWire) (document.Section, bool) {
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

// readSectionRows reads sections by name, one by one if they are few. Otherwise it
// lists all sections.
func (c *Client) readSectionRows(ctx context.Context, heads []sectionHeadWire) (map[string]document.Section, error) {
	rows := make(map[string]document.Section)
	add := func(row *platformv1.Row) error {
		var w sectionWire
		if err := decode(row.Key, row.Value, &w); err != nil {
			return err
		}
		rows[strings.TrimPrefix(row.Key, sectionPrefix)] = w.toSection()
		return nil
	}
	if len(heads) > maxSingleSectionReads {
		return rows, c.listRows(ctx, sectionPrefix, add)
	}
	for _, h := range heads {
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

func (w sectionWire) toSection() document.Section {
	s := document.Section{
		Name:             w.Name,
		Revision:         model.Revision(w.Revision),
		DocumentRevision: model.Revision(w.DocumentRevision),
		EditID:           w.EditID,
		Body:             w.Body,
	}
	for _, o := range w.Owners {
		s.Owners = append(s.Owners, model.Team(o))
	}
	return s
}

func editKey(revision uint64) string { return fmt.Sprintf("%s%020d", editPrefix, revision) }
