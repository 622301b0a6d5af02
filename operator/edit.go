package operator

import (
	"time"

	"fuchsiacross/model"
)

// Edit is one edit of a section that has passed every check.
type Edit struct {
	ID              string
	Section         string
	SectionRevision model.Revision // of the section, as the condition; 0 creates it
	Body            []byte
	Team            model.Team // whose credential made the edit
	At              time.Time
}

// EditResult says what became of an edit.
type EditResult struct {
	Status           EditStatus
	DocumentRevision model.Revision // that the edit made, for EditCommitted
	SectionRevision  model.Revision // current revision of the section, where known
	Message          string
}

// EditStatus says whether an edit was committed.
type EditStatus uint8

// The statuses of an edit.
const (
	// EditCommitted means that the edit is in the committed document.
	EditCommitted EditStatus = iota + 1
	// EditConflict means that the section has another revision and that nothing
	// was changed.
	EditConflict
	// EditRefused means that the edit identifier is in use for another edit, or
	// that a limit on edits is reached. Nothing was changed.
	EditRefused
	// EditUnknown means that the edit may have been committed.
	EditUnknown
)

// HistoryEntry is one committed edit.
type HistoryEntry struct {
	ID               string
	Section          string
	SectionRevision  model.Revision // of the section
	DocumentRevision model.Revision
	Team             model.Team
	At               time.Time
}
