package document

import (
	"slices"
	"strings"

	"github.com/go-faster/errors"

	"fuchsiacross/finding"
	"fuchsiacross/model"
)

// CellSection is the name of the section with the settings of the whole cell. Every
// other section has the name of its team.
const CellSection = "cell"

// Document is one committed version of the operators' document.
type Document struct {
	Revision model.Revision
	Cell     CellSettings
	Teams    []TeamSection // in ascending order of team
	Sections []Section     // in ascending order of name, including that of the cell
}

// Section is one section of the document, with its own revision and its unparsed body.
type Section struct {
	Name             string
	Owners           []model.Team   // teams whose credentials may edit the section
	Revision         model.Revision // of the section, starting at 1
	DocumentRevision model.Revision // revision of the document that committed this revision of the section
	EditID           string         // edit that committed this revision
	Body             []byte         // JSON
}

// CellSettings holds the settings of the whole cell.
type CellSettings struct {
	WaitingWeight    float64 // weight of waiting time in the placement score, 0 or more
	PackingWeight    float64 // weight of packing in the placement score, 0 or more
	UrgentHeadroom   float64 // fraction of each worker's resources that is reserved for urgent work, 0 to 0.5
	RetentionSeconds int64   // how long records of settled requests are kept
	RetryShare       float64 // retries allowed as a fraction of first attempts, 0 to 1
	Preemption       bool    // whether preemptible work may be stopped for more urgent work
	DrainedWorkers   []model.WorkerID
}

// TeamSection holds the quota and the workloads of one team.
type TeamSection struct {
	Team      model.Team
	Quota     model.Resources // zero dimensions are unlimited
	Workloads []Workload      // in ascending order of name
}

// Workload describes one workload of a team.
type Workload struct {
	Name            model.Workload
	Kind            model.Kind
	Class           model.Class
	Resources       model.Resources // of each task of a request that specifies none
	Idempotent      bool
	Preemptible     bool
	MaxQueued       int64 // limit of the waiting requests at one instance
	DeadlineSeconds int64 // time to the deadline of a request that specifies none
}

// Default returns the document that is in force before the first commit.
func Default() *Document { return &Document{Cell: DefaultCellSettings()} }

// DefaultCellSettings returns the default settings of a cell.
func DefaultCellSettings() CellSettings {
	return CellSettings{
		WaitingWeight:    1,
		PackingWeight:    0.2,
		UrgentHeadroom:   0.1,
		RetentionSeconds: 24 * 60 * 60,
		RetryShare:       0.1,
		Preemption:       true,
	}
}

// Assemble parses sections into a document with the given revision. The error wraps a
// finding.List, whose places consist of the name of a section and a JSON pointer.
func Assemble(revision model.Revision, sections []Section) (*Document, error) {
	return Default().replaceSections(revision, sections)
}

// WithSections returns a document with a higher revision, in which the changed
// sections replace those of the same name. Unchanged sections are not parsed again.
// To prevent a rollback, it returns an error if the revision of the document is not
// higher or that of a changed section is lower than before.
func (d *Document) WithSections(revision model.Revision, changed []Section) (*Document, error) {
	if revision <= d.Revision {
		return nil, errors.Errorf("document revision %d is not above revision %d", revision, d.Revision)
	}
	for _, s := range changed {
		if old, ok := d.Section(s.Name); ok && s.Revision < old.Revision {
			return nil, errors.Errorf("section %s: revision %d is below revision %d", s.Name, s.Revision, old.Revision)
		}
	}
	return d.replaceSections(revision, changed)
}

// replaceSections parses the changed sections and returns a copy of d that contains
// them.
func (d *Document) replaceSections(revision model.Revision, changed []Section) (*Document, error) {
	next := &Document{
		Revision: revision,
		Cell:     d.Cell,
		Teams:    slices.Clone(d.Teams),
		Sections: slices.Clone(d.Sections),
	}
	var fs finding.List
	seen := make(map[string]bool, len(changed))
	for _, s := range changed {
		if seen[s.Name] {
			fs.Add(s.Name, "is given twice")
		}
		seen[s.Name] = true
		body, findings := parseSection(s.Name, s.Body)
		fs.Append(s.Name, findings)
		s.Owners = body.owners
		next.setSection(s, body)
	}
	if fs.Any() {
		return nil, fs.Err()
	}
	return next, nil
}

// setSection replaces or inserts one parsed section. It modifies d, which must not be
// shared yet.
func (d *Document) setSection(s Section, body sectionBody) {
	i, ok := slices.BinarySearchFunc(d.Sections, s.Name, compareSection)
	if ok {
		d.Sections[i] = s
	} else {
		d.Sections = slices.Insert(d.Sections, i, s)
	}
	if s.Name == CellSection {
		d.Cell = body.cell
		return
	}
	i, ok = slices.BinarySearchFunc(d.Teams, model.Team(s.Name), compareTeam)
	if ok {
		d.Teams[i] = body.team
	} else {
		d.Teams = slices.Insert(d.Teams, i, body.team)
	}
}

// SectionsSince returns the sections that were committed after revision r of the
// document.
func (d *Document) SectionsSince(r model.Revision) []Section {
	var since []Section
	for _, s := range d.Sections {
		if s.DocumentRevision > r {
			since = append(since, s)
		}
	}
	return since
}

// Section returns the section with the given name in its unparsed form.
func (d *Document) Section(name string) (*Section, bool) {
	i, ok := slices.BinarySearchFunc(d.Sections, name, compareSection)
	if !ok {
		return nil, false
	}
	return &d.Sections[i], true
}

// Team returns the parsed section of a team.
func (d *Document) Team(team model.Team) (*TeamSection, bool) {
	i, ok := slices.BinarySearchFunc(d.Teams, team, compareTeam)
	if !ok {
		return nil, false
	}
	return &d.Teams[i], true
}

// Workload returns the workload of a team that has the given name.
func (d *Document) Workload(team model.Team, name model.Workload) (*Workload, bool) {
	t, ok := d.Team(team)
	if !ok {
		return nil, false
	}
	i, ok := slices.BinarySearchFunc(t.Workloads, name, compareWorkload)
	if !ok {
		return nil, false
	}
	return &t.Workloads[i], true
}

func compareSection(s Section, name string) int { return strings.Compare(s.Name, name) }

func compareTeam(t TeamSection, team model.Team) int {
	return strings.Compare(string(t.Team), string(team))
}

func compareWorkload(w Workload, name model.Workload) int {
	return strings.Compare(string(w.Name), string(name))
}
