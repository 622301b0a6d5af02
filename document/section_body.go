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

// The bounds of what a section may hold.
const (
	// MaxSectionBytes keeps one section well below the size of a message
	// between instances.
	MaxSectionBytes = 1 << 20
	// maxNameLength is the length in bytes of the longest name.
	maxNameLength = 63
	// maxWorkerLength is the length in bytes of the longest worker identifier.
	maxWorkerLength = 128
	// maxQuota is the largest integer that a reader with floating-point numbers
	// represents exactly. Sums of quotas of all teams stay far below 64 bits.
	maxQuota = 1 << 53
	// maxWeight bounds the weights so that a score never overflows.
	maxWeight = 1e6
	// maxHeadroom leaves at least half of each worker to other work.
	maxHeadroom = 0.5
	// maxRetentionSeconds is 366 days.
	maxRetentionSeconds = 366 * 24 * 60 * 60
	// maxDeadlineSeconds is 366 days.
	maxDeadlineSeconds = 366 * 24 * 60 * 60
	// maxQueued bounds the queue of one workload at one instance, so that
	// queues fit the memory of a small instance.
	maxQueued = 1_000_000

	defaultMaxQueued       = 1000
	defaultDeadlineSeconds = 60
)

// sectionBody is the parsed body of one section: cell is set for the section
// of the cell and team for every other.
type sectionBody struct {
	owners []model.Team
	cell   CellSettings
	team   TeamSection
}

// memoryUnits are the suffixes of memory amounts, longest first.
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

// CheckSection returns everything that is wrong with the body of a section.
// The places are JSON pointers; faults of the whole section have an empty one.
func CheckSection(name string, body []byte) finding.List {
	_, findings := parseSection(name, body)
	return findings
}

// ValidName reports whether name may name a section, a team or a workload:
// lower-case letters, digits, hyphens and underscores, beginning with a letter.
func ValidName(name string) bool {
	if name == "" || len(name) > maxNameLength || name[0] < 'a' || name[0] > 'z' {
		return false
	}
	for _, c := range []byte(name) {
		if (c < 'a' || c > 'z') && (c < '0' || c > '9') && c != '-' && c != '_' {
			return false
		}
	}
	return true
}

func parseSection(name string, body []byte) (sectionBody, finding.List) {
	var r reader
	var s sectionBody
	r.name("", name)
	if len(body) > MaxSectionBytes {
		r.add("", "%d bytes is above the limit of %d bytes", len(body), MaxSectionBytes)
		return s, r.findings
	}
	if !r.syntax(body) {
		return s, r.findings
	}
	body = bytes.TrimSpace(body)
	if name == CellSection {
		r.cell(&s, body)
	} else {
		s.team.Team = model.Team(name)
		r.team(&s, body)
	}
	return s, r.findings
}

func (r *reader) name(place, name string) bool {
	if ValidName(name) {
		return true
	}
	r.add(place, "the name %q is not 1 to %d lower-case letters, digits, hyphens or underscores that begin with a letter", name, maxNameLength)
	return false
}

func (r *reader) cell(s *sectionBody, body []byte) {
	s.cell = DefaultCellSettings()
	c := &s.cell
	r.object("", body, []field{
		r.owners(&s.owners),
		{"waiting_weight", false, r.number(&c.WaitingWeight, 0, maxWeight)},
		{"packing_weight", false, r.number(&c.PackingWeight, 0, maxWeight)},
		{"urgent_headroom", false, r.number(&c.UrgentHeadroom, 0, maxHeadroom)},
		{"retention_seconds", false, r.integer(&c.RetentionSeconds, 1, maxRetentionSeconds)},
		{"retry_share", false, r.number(&c.RetryShare, 0, 1)},
		{"preemption", false, r.boolean(&c.Preemption)},
		{"drained_workers", false, func(place string, raw json.RawMessage) {
			names := r.names(place, raw, func(place, name string) bool {
				if name == "" || len(name) > maxWorkerLength {
					r.add(place, "the length %d is outside 1 to %d bytes", len(name), maxWorkerLength)
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

func (r *reader) owners(into *[]model.Team) field {
	return field{"owners", true, func(place string, raw json.RawMessage) {
		before := len(r.findings)
		for _, n := range r.names(place, raw, r.name) {
			*into = append(*into, model.Team(n))
		}
		if len(*into) == 0 && len(r.findings) == before {
			r.add(place, "names no team")
		}
	}}
}

// names reads an array of distinct strings.
func (r *reader) names(place string, raw json.RawMessage, valid func(place, name string) bool) []string {
	var names []string
	seen := make(map[string]bool)
	r.array(place, raw, func(place string, raw json.RawMessage) {
		n, ok := r.text(place, raw)
		if !ok || !valid(place, n) {
			return
		}
		if seen[n] {
			r.add(place, "%q is given twice", n)
			return
		}
		seen[n] = true
		names = append(names, n)
	})
	return names
}

func (r *reader) team(s *sectionBody, body []byte) {
	quota := model.Resources{MilliCPU: maxQuota, MemoryBytes: maxQuota, Accelerators: maxQuota}
	r.object("", body, []field{
		r.owners(&s.owners),
		{"quota", false, r.resources(&s.team.Quota, quota)},
		{"workloads", false, func(place string, raw json.RawMessage) {
			s.team.Workloads = r.workloads(place, raw)
		}},
	})
}

func (r *reader) workloads(place string, raw json.RawMessage) []Workload {
	var ws []Workload
	seen := make(map[model.Workload]string)
	r.array(place, raw, func(place string, raw json.RawMessage) {
		w := r.workload(place, raw)
		if first, ok := seen[w.Name]; ok && w.Name != "" {
			r.add(place+"/name", "%q is the name of %s too", w.Name, first)
			return
		}
		seen[w.Name] = place
		ws = append(ws, w)
	})
	slices.SortFunc(ws, func(a, b Workload) int { return compareWorkload(a, b.Name) })
	return ws
}

func (r *reader) workload(place string, raw json.RawMessage) Workload {
	w := Workload{MaxQueued: defaultMaxQueued, DeadlineSeconds: defaultDeadlineSeconds}
	r.object(place, raw, []field{
		{"name", true, func(place string, raw json.RawMessage) {
			if name, ok := r.text(place, raw); ok && r.name(place, name) {
				w.Name = model.Workload(name)
			}
		}},
		{"kind", true, choice(r, &w.Kind, model.KindRequest, model.KindBatch, model.KindService)},
		{"class", true, choice(r, &w.Class, model.ClassUrgent, model.ClassStandard, model.ClassBackground)},
		{"resources", false, r.resources(&w.Resources, model.DefaultLimits().MaxResources)},
		{"idempotent", false, r.boolean(&w.Idempotent)},
		{"preemptible", false, r.boolean(&w.Preemptible)},
		{"max_queued", false, r.integer(&w.MaxQueued, 1, maxQueued)},
		{"deadline_seconds", false, r.integer(&w.DeadlineSeconds, 1, maxDeadlineSeconds)},
	})
	if w.Kind == model.KindRequest {
		w.Resources.Slots = 1
	}
	return w
}

// choice reads one of the values by its name.
func choice[T fmt.Stringer](r *reader, into *T, values ...T) func(string, json.RawMessage) {
	return func(place string, raw json.RawMessage) {
		s, ok := r.text(place, raw)
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
		r.add(place, "%q is not one of %s", s, strings.Join(names, ", "))
	}
}

func (r *reader) resources(into *model.Resources, most model.Resources) func(string, json.RawMessage) {
	return func(place string, raw json.RawMessage) {
		r.object(place, raw, []field{
			{"milli_cpu", false, r.integer(&into.MilliCPU, 0, most.MilliCPU)},
			{"memory_bytes", false, r.memory(&into.MemoryBytes, most.MemoryBytes)},
			{"accelerators", false, r.integer(&into.Accelerators, 0, most.Accelerators)},
		})
	}
}

// memory reads a number of bytes, or a string with a unit such as "256MiB".
func (r *reader) memory(into *int64, most int64) func(string, json.RawMessage) {
	return func(place string, raw json.RawMessage) {
		if kindOf(raw) != "a string" {
			r.integer(into, 0, most)(place, raw)
			return
		}
		s, _ := r.text(place, raw)
		for _, u := range memoryUnits {
			if digits, ok := strings.CutSuffix(s, u.suffix); ok {
				r.amount(place, string(raw), strings.TrimSpace(digits), u.bytes, into, 0, most)
				return
			}
		}
		r.add(place, "%q has no unit of memory such as MiB", s)
	}
}
