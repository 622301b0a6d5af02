package document

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"fuchsiacross/finding"
	"fuchsiacross/model"
)

// Limits and defaults of the contents of a section.
const (
	// MaxSectionBytes limits the size of a section, so that it stays well below the
	// size of a message between instances.
	MaxSectionBytes = 1 << 20
	// maxNameBytes limits the names of sections, teams and workloads.
	maxNameBytes = 63
	// maxWorkerIDBytes limits the identifiers of workers.
	maxWorkerIDBytes = 128
	// maxQuota is the limit up to which JSON readers that use floating-point numbers
	// represent all integers exactly. It also keeps the sum of the quotas of all teams
	// far below 64 bits.
	maxQuota = 1 << 53
	// maxWeight limits the weights, so that a placement score never overflows.
	maxWeight = 1e6
	// maxHeadroom leaves at least half of each worker to work that is not urgent.
	maxHeadroom = 0.5
	// maxRetentionSeconds is 366 days.
	maxRetentionSeconds = 366 * 24 * 60 * 60
	// maxDeadlineSeconds is 366 days.
	maxDeadlineSeconds = 366 * 24 * 60 * 60
	// maxQueued limits the queue of one workload at one instance, so that the queues
	// fit into the memory of a small instance.
	maxQueued = 1_000_000

	defaultMaxQueued       = 1000
	defaultDeadlineSeconds = 60
)

// sectionBody is the parsed body of a section. For the section of the cell, cell is
// set; for all others, team is set.
type sectionBody struct {
	owners []model.Team
	cell   CellSettings
	team   TeamSection
}

// memoryUnits are the suffixes of memory amounts. "B" is last, because the other
// suffixes end with it too.
var memoryUnits = []struct {
	suffix string
	bytes  int64
}{
	{"KiB", 1 << 10},
	{"MiB", 1 << 20},
	{"GiB", 1 << 30},
	{"TiB", 1 << 40},
	{"KB", 1e3},
	{"MB", 1e6},
	{"GB", 1e9},
	{"TB", 1e12},
	{"B", 1},
}

// CheckSection returns findings about all errors in the name and the body of a
// section. Their places are JSON pointers; the place is empty if the finding is about
// the section as a whole.
func CheckSection(name string, body []byte) finding.List {
	_, findings := parseSection(name, body)
	return findings
}

// IsValidName reports whether name is valid for a section, a team or a workload: 1 to
// 63 lower-case letters, digits, hyphens and underscores, beginning with a letter.
func IsValidName(name string) bool {
	if name == "" || len(name) > maxNameBytes || name[0] < 'a' || name[0] > 'z' {
		return false
	}
	for _, c := range []byte(name) {
		if (c < 'a' || c > 'z') && (c < '0' || c > '9') && c != '-' && c != '_' {
			return false
		}
	}
	return true
}

// parseSection parses the body of a section and returns findings about all its errors.
func parseSection(name string, body []byte) (sectionBody, finding.List) {
	var r jsonReader
	var s sectionBody
	r.checkName("", name)
	if len(body) > MaxSectionBytes {
		r.addFinding("", "%d bytes is above the limit of %d bytes", len(body), MaxSectionBytes)
		return s, r.findings
	}
	if !r.checkSyntax(body) {
		return s, r.findings
	}
	body = bytes.TrimSpace(body)
	if name == CellSection {
		r.readCell(&s, body)
	} else {
		s.team.Team = model.Team(name)
		r.readTeam(&s, body)
	}
	return s, r.findings
}

func (r *jsonReader) checkName(place, name string) bool {
	if IsValidName(name) {
		return true
	}
	r.addFinding(place, "the name %q is not 1 to %d lower-case letters, digits, hyphens or underscores that begin with a letter", name, maxNameBytes)
	return false
}

func (r *jsonReader) readCell(s *sectionBody, body []byte) {
	s.cell = DefaultCellSettings()
	c := &s.cell
	r.readObject("", body, []objectField{
		r.ownersField(&s.owners),
		{"waiting_weight", false, r.numberReader(&c.WaitingWeight, 0, maxWeight)},
		{"packing_weight", false, r.numberReader(&c.PackingWeight, 0, maxWeight)},
		{"urgent_headroom", false, r.numberReader(&c.UrgentHeadroom, 0, maxHeadroom)},
		{"retention_seconds", false, r.integerReader(&c.RetentionSeconds, 1, maxRetentionSeconds)},
		{"retry_share", false, r.numberReader(&c.RetryShare, 0, 1)},
		{"preemption", false, r.booleanReader(&c.Preemption)},
		{"drained_workers", false, func(place string, raw json.RawMessage) {
			names := r.readNames(place, raw, func(place, name string) bool {
				if name == "" || len(name) > maxWorkerIDBytes {
					r.addFinding(place, "the length %d is outside 1 to %d bytes", len(name), maxWorkerIDBytes)
					return false
				}
				return true
			})
			for _, n := range names {
				c.DrainedWorkers = append(c.DrainedWorkers, model.WorkerID(n))
			}
		}},
	})
}

// ownersField returns the required field owners, which must name at least one team.
func (r *jsonReader) ownersField(into *[]model.Team) objectField {
	return objectField{"owners", true, func(place string, raw json.RawMessage) {
		findingsBefore := len(r.findings)
		for _, n := range r.readNames(place, raw, r.checkName) {
			*into = append(*into, model.Team(n))
		}
		if len(*into) == 0 && len(r.findings) == findingsBefore {
			r.addFinding(place, "names no team")
		}
	}}
}

// readNames reads an array of distinct strings and returns those that are valid.
func (r *jsonReader) readNames(place string, raw json.RawMessage, check func(place, name string) bool) []string {
	var names []string
	seen := make(map[string]bool)
	r.readArray(place, raw, func(place string, raw json.RawMessage) {
		n, ok := r.readString(place, raw)
		if !ok || !check(place, n) {
			return
		}
		if seen[n] {
			r.addFinding(place, "%q is given twice", n)
			return
		}
		seen[n] = true
		names = append(names, n)
	})
	return names
}

func (r *jsonReader) readTeam(s *sectionBody, body []byte) {
	maximum := model.Resources{MilliCPU: maxQuota, MemoryBytes: maxQuota, Accelerators: maxQuota}
	r.readObject("", body, []objectField{
		r.ownersField(&s.owners),
		{"quota", false, r.resourcesReader(&s.team.Quota, maximum)},
		{"workloads", false, func(place string, raw json.RawMessage) {
			s.team.Workloads = r.readWorkloads(place, raw)
		}},
	})
}

func (r *jsonReader) readWorkloads(place string, raw json.RawMessage) []Workload {
	var ws []Workload
	seen := make(map[model.Workload]string)
	r.readArray(place, raw, func(place string, raw json.RawMessage) {
		w := r.readWorkload(place, raw)
		if first, ok := seen[w.Name]; ok && w.Name != "" {
			r.addFinding(place+"/name", "%q is the name of %s too", w.Name, first)
			return
		}
		seen[w.Name] = place
		ws = append(ws, w)
	})
	slices.SortFunc(ws, func(a, b Workload) int { return compareWorkload(a, b.Name) })
	return ws
}

func (r *jsonReader) readWorkload(place string, raw json.RawMessage) Workload {
	w := Workload{MaxQueued: defaultMaxQueued, DeadlineSeconds: defaultDeadlineSeconds}
	r.readObject(place, raw, []objectField{
		{"name", true, func(place string, raw json.RawMessage) {
			if name, ok := r.readString(place, raw); ok && r.checkName(place, name) {
				w.Name = model.Workload(name)
			}
		}},
		{"kind", true, choiceReader(r, &w.Kind, model.KindRequest, model.KindBatch, model.KindService)},
		{"class", true, choiceReader(r, &w.Class, model.ClassUrgent, model.ClassStandard, model.ClassBackground)},
		{"resources", false, r.resourcesReader(&w.Resources, model.DefaultLimits().MaxResources)},
		{"idempotent", false, r.booleanReader(&w.Idempotent)},
		{"preemptible", false, r.booleanReader(&w.Preemptible)},
		{"max_queued", false, r.integerReader(&w.MaxQueued, 1, maxQueued)},
		{"deadline_seconds", false, r.integerReader(&w.DeadlineSeconds, 1, maxDeadlineSeconds)},
	})
	if w.Kind == model.KindRequest {
		w.Resources.Slots = 1
	}
	return w
}

// choiceReader returns a function that reads the name of one of the values.
func choiceReader[T fmt.Stringer](r *jsonReader, into *T, values ...T) func(string, json.RawMessage) {
	return func(place string, raw json.RawMessage) {
		s, ok := r.readString(place, raw)
		if !ok {
			return
		}
		names := make([]string, 0, len(values))
		for _, v := range values {
			if v.String() == s {
				*into = v
				return
			}
			names = append(names, v.String())
		}
		r.addFinding(place, "%q is not one of %s", s, strings.Join(names, ", "))
	}
}

func (r *jsonReader) resourcesReader(into *model.Resources, maximum model.Resources) func(string, json.RawMessage) {
	return func(place string, raw json.RawMessage) {
		r.readObject(place, raw, []objectField{
			{"milli_cpu", false, r.integerReader(&into.MilliCPU, 0, maximum.MilliCPU)},
			{"memory_bytes", false, r.memoryReader(&into.MemoryBytes, maximum.MemoryBytes)},
			{"accelerators", false, r.integerReader(&into.Accelerators, 0, maximum.Accelerators)},
		})
	}
}

// memoryReader returns a function that reads a number of bytes or a string with a
// unit, such as "256MiB".
func (r *jsonReader) memoryReader(into *int64, maximum int64) func(string, json.RawMessage) {
	return func(place string, raw json.RawMessage) {
		if jsonTypeName(raw) != "a string" {
			r.integerReader(into, 0, maximum)(place, raw)
			return
		}
		s, _ := r.readString(place, raw)
		for _, u := range memoryUnits {
			if digits, ok := strings.CutSuffix(s, u.suffix); ok {
				r.readAmount(place, string(raw), strings.TrimSpace(digits), u.bytes, into, 0, maximum)
				return
			}
		}
		r.addFinding(place, "%q has no unit of memory such as MiB", s)
	}
}
