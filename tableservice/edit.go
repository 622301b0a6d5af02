package tableservice

import (
	"context"
	"encoding/hex"
	"fmt"
	"slices"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"fuchsiacross/event"
	"fuchsiacross/logevent"
	"fuchsiacross/model"
	"fuchsiacross/platformv1"
)

// editTries bounds the commits of one edit while edits of other sections come
// first.
const editTries = 20

// ErrEditUnknown means that it is not known whether an edit was committed. The
// same edit, sent again with the same edit id, tells.
var ErrEditUnknown = errors.New("it is not known whether the edit was committed; repeat it with the same edit id")

// ErrEditReused means that an edit id names an earlier edit with another
// content.
var ErrEditReused = errors.New("the edit id belongs to another edit")

// Edit replaces the body of one section.
type Edit struct {
	Section         string
	Body            []byte
	SectionRevision model.Revision // that the edit is based on; 0 for a new section
	EditID          string
	Team            model.Team
	Owners          []model.Team // nil to keep them; Team owns a new section
}

// EditResult says what became of an edit.
type EditResult struct {
	Applied          bool
	Repeated         bool           // the edit id was committed before
	DocumentRevision model.Revision // of the document that the edit committed
	SectionRevision  model.Revision // that the edit committed, or the current one when not applied
}

// HistoryEntry is one committed edit.
type HistoryEntry struct {
	DocumentRevision model.Revision
	Section          string
	SectionRevision  model.Revision
	EditID           string
	Team             model.Team
	At               time.Time // by the clock of the instance that committed it
}

// Edit commits an edit in one transaction that is conditional on the document's
// head and the section. When another edit of the section came first the result
// is not applied and names the section's current revision. An edit id that is
// known returns the result of its first commit.
func (c *Client) Edit(ctx context.Context, e Edit) (EditResult, error) {
	for range editTries {
		head, err := c.readDocumentHead(ctx)
		if err != nil {
			return EditResult{}, err
		}
		if earlier, known, err := c.earlierEdit(ctx, e); known || err != nil {
			return earlier, err
		}
		if current := head.sectionRevision(e.Section); current != uint64(e.SectionRevision) {
			return EditResult{SectionRevision: model.Revision(current)}, nil
		}
		writes, err := c.editWrites(ctx, head, e)
		if err != nil {
			return EditResult{}, err
		}
		r, err := c.transact(ctx, writes)
		if err != nil {
			return EditResult{}, errors.Wrapf(ErrEditUnknown, "edit %q: %v", e.EditID, err)
		}
		switch r.CommitResult {
		case event.CommitApplied:
			c.queue.put(func() { c.readAndPost(c.context, 0) })
			return EditResult{
				Applied:          true,
				DocumentRevision: model.Revision(head.Revision + 1),
				SectionRevision:  e.SectionRevision + 1,
			}, nil
		case event.CommitFailed:
			return EditResult{}, errors.Wrapf(r.err, "edit %q was not committed", e.EditID)
		}
		select {
		case <-time.After(jitter(firstResolve)):
		case <-ctx.Done():
			return EditResult{}, errors.Wrapf(ctx.Err(), "edit %q was not committed", e.EditID)
		}
	}
	return EditResult{}, errors.Errorf("edit %q was not committed: other edits came first %d times", e.EditID, editTries)
}

// History returns the latest edits, newest first, of one section or of all when
// section is empty.
func (c *Client) History(ctx context.Context, section string, limit int) ([]HistoryEntry, error) {
	var entries []HistoryEntry
	err := c.listRows(ctx, editPrefix, func(row *platformv1.Row) error {
		var w editWire
		if err := decode(row.Key, row.Value, &w); err != nil {
			return err
		}
		if section == "" || section == w.Section {
			entries = append(entries, w.entry())
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	slices.Reverse(entries)
	return entries[:min(limit, len(entries))], nil
}

// earlierEdit returns the result of an edit whose id is known.
func (c *Client) earlierEdit(ctx context.Context, e Edit) (EditResult, bool, error) {
	row, err := c.readRow(ctx, editIDKey(e.EditID))
	if err != nil || row.Version == 0 {
		return EditResult{}, false, err
	}
	var w editWire
	if err := decode(row.Key, row.Value, &w); err != nil {
		return EditResult{}, false, err
	}
	digest := model.DigestOf(e.Body)
	if w.EditID != e.EditID || w.Section != e.Section || !slices.Equal(w.BodyDigest, digest[:]) {
		return EditResult{}, true, errors.Wrapf(ErrEditReused, "edit %q", e.EditID)
	}
	logevent.EditRepeated.Log(c.log, zap.String("edit", e.EditID), zap.Uint64("revision", w.Revision))
	return EditResult{
		Applied:          true,
		Repeated:         true,
		DocumentRevision: model.Revision(w.Revision),
		SectionRevision:  model.Revision(w.SectionRevision),
	}, true, nil
}

// editWrites returns the transaction that commits an edit on top of a head.
func (c *Client) editWrites(ctx context.Context, head documentHeadWire, e Edit) ([]*platformv1.Write, error) {
	owners, err := c.ownersAfter(ctx, e)
	if err != nil {
		return nil, err
	}
	digest := model.DigestOf(e.Body)
	section := sectionWire{
		Name:     e.Section,
		Owners:   owners,
		Revision: uint64(e.SectionRevision) + 1,
		Document: head.Revision + 1,
		EditID:   e.EditID,
		Body:     e.Body,
	}
	edit := editWire{
		EditID:          e.EditID,
		Section:         e.Section,
		SectionRevision: section.Revision,
		Revision:        section.Document,
		Team:            string(e.Team),
		At:              time.Now().UnixNano(),
		BodyDigest:      digest[:],
	}
	var writes []*platformv1.Write
	for _, row := range []struct {
		key      string
		expected uint64
		value    any
	}{
		{documentHeadKey, head.Revision, head.with(section)},
		{sectionPrefix + e.Section, uint64(e.SectionRevision), section},
		{editKey(edit.Revision), 0, edit},
		{editIDKey(e.EditID), 0, edit},
	} {
		value, err := encode(row.value)
		if err != nil {
			return nil, err
		}
		if len(value) > rowLimit {
			return nil, errors.Errorf("section %q: %d bytes is above the limit of a row of %d bytes",
				e.Section, len(value), rowLimit)
		}
		writes = append(writes, put(row.key, row.expected, value))
	}
	return writes, nil
}

// ownersAfter returns the owners of a section after an edit.
func (c *Client) ownersAfter(ctx context.Context, e Edit) ([]string, error) {
	var owners []string
	switch {
	case e.Owners != nil:
		for _, o := range e.Owners {
			owners = append(owners, string(o))
		}
	case e.SectionRevision == 0:
		owners = append(owners, string(e.Team))
	default:
		row, err := c.readRow(ctx, sectionPrefix+e.Section)
		if err != nil {
			return nil, err
		}
		var w sectionWire
		if row.Version > 0 {
			err = decode(row.Key, row.Value, &w)
		}
		return w.Owners, err
	}
	return owners, nil
}

// with returns the head after a section was committed.
func (h documentHeadWire) with(s sectionWire) documentHeadWire {
	sections := slices.DeleteFunc(slices.Clone(h.Sections), func(o sectionHeadWire) bool { return o.Name == s.Name })
	sections = append(sections, sectionHeadWire{Name: s.Name, Revision: s.Revision, Document: s.Document})
	return documentHeadWire{Revision: s.Document, Sections: sections}
}

// sectionRevision returns the revision of a section, 0 when it does not exist.
func (h documentHeadWire) sectionRevision(name string) uint64 {
	for _, s := range h.Sections {
		if s.Name == name {
			return s.Revision
		}
	}
	return 0
}

func (w editWire) entry() HistoryEntry {
	return HistoryEntry{
		DocumentRevision: model.Revision(w.Revision),
		Section:          w.Section,
		SectionRevision:  model.Revision(w.SectionRevision),
		EditID:           w.EditID,
		Team:             model.Team(w.Team),
		At:               timeOf(w.At),
	}
}

// editIDKey names the row of an edit id by its digest, because callers choose
// edit ids of any form.
func editIDKey(id string) string {
	digest := model.DigestOf([]byte(id))
	return fmt.Sprintf("document/edit_ids/%s", hex.EncodeToString(digest[:]))
}
