package operator

import (
	"time"

	"fuchsiacross/model"
)

// Edit is an edit of a section that is authorised and checked.
type Edit struct {
	ID              string
	Section         string
	SectionRevision model.Revision // revision that the edit replaces; 0 to create the section
	Body            []byte
	Team            model.Team // team that makes the edit
	At              time.Time
}

// EditResult is the result of an edit.
type EditResult struct {
	Status           EditStatus
	DocumentRevision model.Revision // revision that the edit committed, for EditCommitted
	SectionRevision  model.Revision // current revision of the section, or 0 if not known
	Message          string
}

// EditStatus says whether an edit was committed.
type EditStatus uint8

// The statuses of an edit.
const (
	// EditCommitted means that the edit is in the committed document.
	EditCommitted EditStatus = iota + 1
	// EditConflict means that the section has another revision. Nothing was
	// changed.
	EditConflict
	// EditRefused means that another edit has the same edit identifier, or that a
	// limit on edits is reached. Nothing was changed.
	EditRefused
	// EditUnknown means that it is not known whether the edit was committed.
	EditUnknown
)

// HistoryEntry is one committed edit.
type HistoryEntry struct {
	ID               string
	Section          string
	SectionRevision  model.Revision // revision of the section that the edit committed
	DocumentRevision model.Revision
	Team             model.Team
	At               time.Time
}
