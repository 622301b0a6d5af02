package model_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fuchsiacross/model"
)

var now = time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)

func validRequest() model.Request {
	return model.Request{
		ID:       "check-1",
		Team:     "gates",
		Workload: "moisture_check",
		Kind:     model.KindRequest,
		Class:    model.ClassUrgent,
		Tasks:    1,
		Deadline: now.Add(time.Second),
	}
}

var _ = Describe("Request", func() {
	// An invalid request must be refused before it changes any state, and the
	// refusal must report all invalid fields at once.
	It("reports each invalid field", func() {
		tests := []struct {
			change func(*model.Request)
			places []string
		}{
			{func(*model.Request) {}, nil},
			{func(r *model.Request) { r.ID = "" }, []string{"request_id"}},
			{func(r *model.Request) { r.Team = ""; r.Workload = "" }, []string{"team", "workload"}},
			{func(r *model.Request) { r.Kind = 9; r.Class = 0 }, []string{"kind", "class"}},
			{func(r *model.Request) { r.Tasks = 0 }, []string{"tasks"}},
			{func(r *model.Request) { r.Tasks = 2 }, []string{"tasks"}},
			{func(r *model.Request) { r.Resources.MilliCPU = -1 }, []string{"resources.milli_cpu"}},
			{func(r *model.Request) { r.Resources.MemoryBytes = 1 << 62 }, []string{"resources.memory_bytes"}},
			{func(r *model.Request) { r.BodyLength = 1 << 40 }, []string{"body"}},
			{func(r *model.Request) { r.Deadline = now }, []string{"deadline"}},
		}
		for _, test := range tests {
			r := validRequest()
			test.change(&r)
			var places []string
			for _, f := range r.Validate(now, model.DefaultLimits()) {
				places = append(places, f.Place)
			}
			Expect(places).To(Equal(test.places))
		}
	})

	// A request that is journaled too little could run twice after a takeover.
	It("derives its durability from its kind, class and idempotence", func() {
		r := validRequest()
		Expect(r.Durability()).To(Equal(model.AtMostOnce))
		r.Idempotent = true
		Expect(r.Durability()).To(Equal(model.Ephemeral))
		r.Class = model.ClassStandard
		Expect(r.Durability()).To(Equal(model.Durable))
	})
})
