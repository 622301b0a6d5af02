package worker

import (
	"fuchsiacross/event"
	"fuchsiacross/model"
	"fuchsiacross/workerv1"
)

// maxProfiles limits the profiles of one term. Starts of further workloads carry
// all their fields.
const maxProfiles = 512

// profileKey has the fields that a profile replaces, except for the resources:
// these follow the observed usage and change while the other fields stay.
type profileKey struct {
	team       model.Team
	workload   model.Workload
	kind       model.Kind
	class      model.Class
	idempotent bool
}

// profile is a number that replaces the fields of a workload in the starts of
// one term. Its resources never change: Run calls are not ordered, so after two
// definitions the worker might keep another one than the client.
type profile struct {
	number    uint32
	resources model.Resources
	confirmed bool // the worker has started an attempt that defined the profile
}

// taggedStart is a start whose reports carry a tag instead of the attempt.
type taggedStart struct {
	attempt model.Attempt
	profile *profile
}

// dictionary compresses the starts of one term and the reports about them: it
// replaces attempts by tags, and the fields of a workload by a profile. Names
// and request identifiers would otherwise be more than half of the bytes of a
// small start.
type dictionary struct {
	lastTag  uint64
	tags     map[uint64]taggedStart
	attempts map[model.Attempt]uint64
	profiles map[profileKey]*profile
}

func newDictionary() *dictionary {
	return &dictionary{
		tags:     map[uint64]taggedStart{},
		attempts: map[model.Attempt]uint64{},
		profiles: map[profileKey]*profile{},
	}
}

// encodeStart returns the wire form of a start. Starts repeat the definition of
// a profile until the worker has confirmed it, since Run calls are not ordered.
func (d *dictionary) encodeStart(e event.StartTask) *workerv1.Start {
	start := startToWire(e)
	p := d.profileFor(e)
	if p != nil {
		start.Profile = p.number
	}
	if p != nil && p.confirmed {
		start.Team, start.Workload, start.Kind, start.Class, start.Idempotent = "", "", "", "", false
		if e.Reserved == p.resources {
			start.Resources = nil
		}
	}
	d.lastTag++
	start.Tag = d.lastTag
	d.tags[start.Tag] = taggedStart{e.Attempt, p}
	d.attempts[e.Attempt] = start.Tag
	return start
}

// profileFor returns the profile for a start. It returns nil if there are too
// many profiles, if the start has no team, or if the profile is not confirmed
// yet and the start would define it with other resources.
func (d *dictionary) profileFor(e event.StartTask) *profile {
	r := e.Request
	if r.Team == "" {
		return nil // a start without a team would not define its profile
	}
	key := profileKey{r.Team, r.Workload, r.Kind, r.Class, r.Idempotent}
	p := d.profiles[key]
	if p != nil && !p.confirmed && p.resources != e.Reserved {
		return nil
	}
	if p != nil || len(d.profiles) >= maxProfiles {
		return p
	}
	p = &profile{number: uint32(len(d.profiles) + 1), resources: e.Reserved}
	d.profiles[key] = p
	return p
}

// resolveAttempt returns the attempt that a report refers to, and false if the
// tag is unknown or the report names no attempt.
func (d *dictionary) resolveAttempt(a *workerv1.Attempt, tag uint64) (model.Attempt, bool) {
	if tag == 0 {
		return attemptFromWire(a), a != nil
	}
	t, ok := d.tags[tag]
	return t.attempt, ok
}

// confirmProfile records that the worker started the attempt with this tag and
// so knows its profile.
func (d *dictionary) confirmProfile(tag uint64) {
	if p := d.tags[tag].profile; p != nil {
		p.confirmed = true
	}
}

// removeAttempt drops the tag of an attempt about which no more reports are
// expected.
func (d *dictionary) removeAttempt(a model.Attempt) {
	delete(d.tags, d.attempts[a])
	delete(d.attempts, a)
}

// buildAcknowledgement returns one message that acknowledges all the attempts,
// and drops their tags.
func (d *dictionary) buildAcknowledgement(attempts []model.Attempt) *workerv1.Command {
	acknowledge := new(workerv1.Acknowledge)
	for _, a := range attempts {
		if tag := d.attempts[a]; tag != 0 {
			acknowledge.Tags = append(acknowledge.Tags, tag)
			d.removeAttempt(a)
			continue
		}
		acknowledge.More = append(acknowledge.More, attemptToWire(a))
	}
	return &workerv1.Command{Command: &workerv1.Command_Acknowledge{Acknowledge: acknowledge}}
}

// usageFromWire converts a usage report. It leaves out attempts with unknown
// tags, which have been acknowledged meanwhile.
func (d *dictionary) usageFromWire(u *workerv1.UsageReport) []model.Usage {
	usage := make([]model.Usage, 0, len(u.GetTasks()))
	for _, task := range u.GetTasks() {
		if a, ok := d.resolveAttempt(task.GetAttempt(), task.GetTag()); ok {
			usage = append(usage, model.Usage{Attempt: a, Used: resourcesFromWire(task.GetUsed())})
		}
	}
	return usage
}
