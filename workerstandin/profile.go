package workerstandin

import (
	"google.golang.org/protobuf/proto"

	"fuchsiacross/model"
	"fuchsiacross/workerv1"
)

// termKey identifies a profile or a tag. A profile is a number that replaces the
// fields that many starts have in common. A tag is a number that replaces an
// attempt. Both are only valid within one term.
type termKey struct {
	term   model.Term
	number uint64
}

// expandProfile returns a start with the fields of its profile filled in, or nil
// if the profile is unknown. It also stores the start's profile and tag.
func (w *Worker) expandProfile(start *workerv1.Start) *workerv1.Start {
	term := model.Term(start.GetTerm())
	if tag := start.GetTag(); tag != 0 {
		w.attemptsByTag[termKey{term, tag}] = attemptFromWire(start.GetAttempt())
	}
	if start.GetProfile() == 0 {
		return start
	}
	key := termKey{term, uint64(start.GetProfile())}
	if start.GetTeam() != "" {
		w.profiles[key] = &workerv1.Start{
			Team: start.GetTeam(), Workload: start.GetWorkload(), Kind: start.GetKind(), Class: start.GetClass(),
			Resources: start.GetResources(), Idempotent: start.GetIdempotent(),
		}
		return start
	}
	profile := w.profiles[key]
	if profile == nil {
		return nil
	}
	expanded := proto.CloneOf(start)
	expanded.Team, expanded.Workload = profile.GetTeam(), profile.GetWorkload()
	expanded.Kind, expanded.Class = profile.GetKind(), profile.GetClass()
	expanded.Idempotent = profile.GetIdempotent()
	if expanded.Resources == nil {
		expanded.Resources = profile.GetResources()
	}
	return expanded
}

// attemptOrTag returns how reports to the holder of a term identify an attempt: by
// its tag if it was started with one in this term, else by the attempt itself.
func attemptOrTag(start *workerv1.Start, term model.Term) (*workerv1.Attempt, uint64) {
	if start.GetTag() != 0 && model.Term(start.GetTerm()) == term {
		return nil, start.GetTag()
	}
	return start.GetAttempt(), 0
}
