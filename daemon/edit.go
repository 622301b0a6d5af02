package daemon

import (
	"context"

	"github.com/go-faster/errors"

	"fuchsiacross/event"
	"fuchsiacross/operator"
	"fuchsiacross/tableservice"
)

// commitEdit commits an edit of the document and, if it can read the result, puts the
// new document in force at this instance immediately. The other instances learn of it
// through heartbeats.
func (d *Daemon) commitEdit(ctx context.Context, e operator.Edit) (operator.EditResult, error) {
	r, err := d.platform.Edit(ctx, tableservice.Edit{
		Section:         e.Section,
		Body:            e.Body,
		SectionRevision: e.SectionRevision,
		EditID:          e.ID,
		Team:            e.Team,
	})
	switch {
	case errors.Is(err, tableservice.ErrEditUnknown):
		return operator.EditResult{Status: operator.EditUnknown, Message: err.Error()}, nil
	case errors.Is(err, tableservice.ErrEditReused):
		return operator.EditResult{Status: operator.EditRefused, Message: err.Error()}, nil
	case err != nil:
		return operator.EditResult{}, errors.Wrap(err, "commit edit")
	}
	if !r.Applied {
		return operator.EditResult{Status: operator.EditConflict, SectionRevision: r.SectionRevision}, nil
	}
	if next, err := d.platform.ReadDocument(ctx, d.document.Load()); err == nil {
		d.mailbox.post(event.DocumentChanged{Document: next})
	}
	return operator.EditResult{Status: operator.EditCommitted, DocumentRevision: r.DocumentRevision, SectionRevision: r.SectionRevision}, nil
}

func (d *Daemon) readHistory(ctx context.Context, section string, limit int) ([]operator.HistoryEntry, error) {
	edits, err := d.platform.History(ctx, section, limit)
	if err != nil {
		return nil, errors.Wrap(err, "read history")
	}
	entries := make([]operator.HistoryEntry, 0, len(edits))
	for _, e := range edits {
		entries = append(entries, operator.HistoryEntry{
			ID:               e.EditID,
			Section:          e.Section,
			SectionRevision:  e.SectionRevision,
			DocumentRevision: e.DocumentRevision,
			Team:             e.Team,
			At:               e.At,
		})
	}
	return entries, nil
}
