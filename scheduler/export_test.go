package scheduler

import (
	"fmt"
	"reflect"

	"fuchsiacross/model"
)

// Leaks lists the state that an instance still holds for requests and attempts. It
// is empty once all of them have been settled and released.
func (r *Reducer) Leaks() []string {
	var held []string
	add := func(part string, component any, fields ...string) {
		for _, f := range fields {
			if n := reflect.ValueOf(component).Elem().FieldByName(f).Len(); n > 0 {
				held = append(held, fmt.Sprintf("%s.%s: %d", part, f, n))
			}
		}
	}
	add("home", r.homes, "requests", "reservations", "forwardedCalls", "settledEphemeral", "deferredItems")
	add("lease", r.leases, "attempts", "reservations", "fences")
	add("entry", r.entries, "calls")
	if n := len(r.requestByToken); n > 0 {
		held = append(held, fmt.Sprintf("tokens: %d", n))
	}
	for _, key := range reflect.ValueOf(r.leases).Elem().FieldByName("attempts").MapKeys() {
		held = append(held, fmt.Sprint(key))
	}
	for _, key := range reflect.ValueOf(r.homes).Elem().FieldByName("requests").MapKeys() {
		e := r.homes.Explain(model.RequestID(key.String()))
		held = append(held, fmt.Sprintf("%s %s %s", key, e.Status, e.Reason))
	}
	for c := range model.ClassCount {
		if n := r.queue.Len(model.Class(c + 1)); n > 0 {
			held = append(held, fmt.Sprintf("queue: %d", n))
		}
	}
	for _, u := range r.quota.UsageByTeam() {
		if !u.Used.IsZero() {
			held = append(held, fmt.Sprintf("quota of %s: %v", u.Team, u.Used))
		}
	}
	if used := r.index.TotalReserved(); !used.IsZero() {
		held = append(held, fmt.Sprintf("index: %v", used))
	}
	return held
}
