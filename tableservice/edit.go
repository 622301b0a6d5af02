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

// maxEditCommits limits how often the commit of one edit is tried while edits of
// other sections are committed first.
const maxEditCommits = 20

// ErrEditUnknown means that it is not known whether an edit was committed. A retry
// with the same edit id is safe and returns the result.
var ErrEditUnknown = errors.New("it is not known whether the edit was committed; repeat it with the same edit id")

// ErrEditReused means that an edit id was committed with another section or body.
var ErrEditReused = errors.New("the edit id belongs to another edit")

// Edit replaces the body of one section.
type Edit struct {
	Section         string
	Body            []byte
	SectionRevision model.Revision // current revision that the edit replaces; 0 for a new section
	EditID          string
	Team            model.Team
	Owners          []model.Team // nil to keep the owners, or to make Team the owner of a new section
}

// EditResult is the result of an edit that is certain.
type EditResult struct {
	Applied          bool
	Repeated         bool           // an earlier call committed the edit
	DocumentRevision model.Revision // document revision that the edit committed
	SectionRevision  model.Revision // section revision that the edit committed, or the current one if not applied
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

// Edit commits an edit in one transaction that is conditional on the versions of
// the document's head and of the section. If the section has another revision than
// e.SectionRevision, the result is not applied and has the section's current
// revision. For an edit id that was committed before, Edit returns the result of
// that commit. The error is ErrEditReused if that commit had another section or
// body, and ErrEditUnknown if ctx ends before the result of the commit is certain. A
// call that returns any other error has committed nothing.
func (c *Client) Edit(ctx context.Context, e Edit) (EditResult, error) {
	for range maxEditCommits {
		head, err := c.readDocumentHead(ctx)
		if err != nil {
			return EditResult{}, err
		}
		if committed, known, err := c.findCommittedEdit(ctx, e); known || err != nil {
			return committed, err
		}
		if current := head.sectionRevision(e.Section); current != uint64(e.SectionRevision) {
			return EditResult{SectionRevision: model.Revision(current)}, nil
		}
		writes, err := c.buildEditWrites(ctx, head, e)
		if err != nil {
			return EditResult{}, err
		}
		r, err := c.commitTransaction(ctx, writes)
		if err != nil {
			return EditResult{}, errors.Wrapf(ErrEditUnknown, "edit %q: %v", e.EditID, err)
		}
		switch r.CommitResult {
		case event.CommitApplied:
			c.effects.put(func() { c.readAndPostDocument(c.context, 0) })
			return EditResult{
				Applied:          true,
				DocumentRevision: model.Revision(head.Revision + 1),
				SectionRevision:  e.SectionRevision + 1,
			}, nil
		case event.CommitFailed:
			return EditResult{}, errors.Wrapf(r.err, "edit %q was not committed", e.EditID)
		}
		select {
		case <-time.After(withJitter(minResolveDelay)):
		case <-ctx.Done():
			return EditResult{}, errors.Wrapf(ctx.Err(), "edit %q was not committed", e.EditID)
		}
	}
	return EditResult{}, errors.Errorf("edit %q was not committed: other edits came first %d times", e.EditID, maxEditCommits)
}

// History returns up to limit committed edits, newest first. An empty section
// selects the edits of all sections.
func (c *Client) History(ctx context.Context, section string, limit int) ([]HistoryEntry, error) {
	var entries []HistoryEntry
	err := c.listRows(ctx, editPrefix, func(row *platformv1.Row) error {
		var w editWire
		if err := decode(row.Key, row.Value, &w); err != nil {
			return err
		}
		if section == "" || section == w.Section {
			entries = append(entries, w.toHistoryEntry())
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	slices.Reverse(entries)
	return entries[:min(limit, len(entries))], nil
}

// findCommittedEdit returns the result of an edit that was committed under the same
// edit id, and whether there is one.
func (c *Client) findCommittedEdit(ctx context.Context, e Edit) (EditResult, bool, error) {
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
	logevent.EditRepeated.Log(c.log, zap.String("edit", e.EditID), zap.Uint64("revision", w.DocumentRevision))
	return EditResult{
		Applied:          true,
		Repeated:         true,
		DocumentRevision: model.Revision(w.DocumentRevision),
		SectionRevision:  model.Revision(w.SectionRevision),
	}, true, nil
}

// buildEditWrites returns the writes of the transaction that commits an edit on top
// of a head.
func (c *Client) buildEditWrites(ctx context.Context, head documentHeadWire, e Edit) ([]*platformv1.Write, error) {
	owners, err := c.ownersAfterEdit(ctx, e)
	if err != nil {
		return nil, err
	}
	digest := model.DigestOf(e.Body)
	section := sectionWire{
		Name:             e.Section,
		Owners:           owners,
		Revision:         uint64(e.SectionRevision) + 1,
		DocumentRevision: head.Revision + 1,
		EditID:           e.EditID,
		Body:             e.Body,
	}
	edit := editWire{
		EditID:           e.EditID,
		Section:          e.Section,
		SectionRevision:  section.Revision,
		DocumentRevision: section.DocumentRevision,
		Team:             string(e.Team),
		At:               time.Now().UnixNano(),
		BodyDigest:       digest[:],
	}
	var writes []*platformv1.Write
	for _, row := range []struct {
		key      string
		expected uint64
		value    any
	}{
		{documentHeadKey, head.Revision, head.withSection(section)},
		{sectionPrefix + e.Section, uint64(e.SectionRevision), section},
		{editKey(edit.DocumentRevision), 0, edit},
		{editIDKey(e.EditID), 0, edit},
	} {
		value, err := encode(row.value)
		if err != nil {
			return nil, err
		}
		if len(value) > maxRowBytes {
			return nil, errors.Errorf("section %q: %d bytes is above the limit of a row of %d bytes",
				e.Section, len(value), maxRowBytes)
		}
		writes = append(writes, conditionalWrite(row.key, row.expected, value))
	}
	return writes, nil
}

// ownersAfterEdit returns the owners of a section after an edit.
func (c *Client) ownersAfterEdit(ctx context.Context, e Edit) ([]string, error) {
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

// withSection returns the head after the commit of a section.
func (h documentHeadWire) withSection(s sectionWire) documentHeadWire {
	sections := slices.DeleteFunc(slices.Clone(h.Sections), func(o sectionHeadWire) bool { return o.Name == s.Name })
	sections = append(sections, sectionHeadWire{Name: s.Name, Revision: s.Revision, DocumentRevision: s.DocumentRevision})
	return documentHeadWire{Revision: s.DocumentRevision, Sections: sections}
}

// sectionRevision returns the revision of a section, or 0 if it does not exist.
func (h documentHeadWire) sectionRevision(name string) uint64 {
	for _, s := range h.Sections {
		if s.Name == name {
			return s.Revision
		}
	}
	return 0
}

func (w editWire) toHistoryEntry() HistoryEntry {
	return HistoryEntry{
		DocumentRevision: model.Revision(w.DocumentRevision),
		Section:          w.Section,
		SectionRevision:  model.Revision(w.SectionRevision),
		EditID:           w.EditID,
		Team:             model.Team(w.Team),
		At:               fromUnixNano(w.At),
	}
}

// editIDKey returns the key of the row of an edit id. It contains a digest of the
// id, because ids are chosen by operators and may contain any characters.
func editIDKey(id string) string {
	digest := model.DigestOf([]byte(id))
	return fmt.Sprintf("document/edit_ids/%s", hex.EncodeToString(digest[:]))
}
