package peer

import (
	"bytes"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fuchsiacross/document"
	"fuchsiacross/event"
	"fuchsiacross/model"
)

var (
	instant   = time.Date(2026, 12, 4, 9, 0, 0, 123, time.UTC)
	sender    = model.Instance{ID: "entry-1", DataCentre: "north"}
	attempt   = model.Attempt{Request: "draft-1", Task: 2, Number: 3}
	resources = model.Resources{MilliCPU: 1500, MemoryBytes: 3 << 30, Accelerators: 1, Slots: 2}
	digest    = model.DigestOf([]byte("body"))
)

// samples has at least one message of each kind with every field set.
func samples() []event.Message {
	request := &model.Request{
		ID: "draft-1", Team: "letters", Workload: "draft", Kind: model.KindBatch, Class: model.ClassStandard,
		Resources: resources, Tasks: 4, Gang: true, Idempotent: true, Preemptible: true, Deadline: instant,
		Body: []byte("body"), BodyLength: 4, BodyDigest: digest, BodyStored: true, SubmittedAt: instant,
	}
	outcome := model.Outcome{
		Status: model.StatusNotRun, Reason: "late", Proof: model.ProofTargetFenced, Answer: []byte("a"),
		Digest: digest, Worker: "worker-1", Attempt: attempt,
	}
	report := model.TaskReport{
		Attempt: attempt, State: model.TaskFinished, Resources: resources, Class: model.ClassUrgent, Team: "letters",
		Workload: "draft", Kind: model.KindBatch, StartedAt: instant,
		Result: model.TaskResult{Succeeded: true, Message: "m", Answer: []byte("a"), Digest: digest},
	}
	update := event.AttemptUpdate{Worker: "worker-1", State: event.AttemptUncertain, Report: report, Reason: "lost"}
	return []event.Message{
		beat(3),
		event.Forward{Call: 1, Request: request, Hops: 2, ToHome: true},
		event.ForwardReply{Call: 1, Accepted: true, Outcome: outcome},
		event.ForwardReply{Call: 1, Rejected: true, Code: event.CodeExhausted, Place: "class", Reason: "queue full"},
		event.Reserve{Call: 2, Request: request, Count: 4, Until: instant},
		event.Reserved{Call: 2, Workers: []model.WorkerID{"worker-1", "worker-2"}, WorkerIncarnations: []model.Incarnation{3, 4}},
		event.Confirm{Call: 2, Request: request, Attempts: []event.AttemptPlacement{{Attempt: attempt, Worker: "worker-1", WorkerIncarnation: 3}}},
		event.Confirm{Call: 2},
		event.ReleaseReservation{Call: 2},
		update,
		event.AttemptAck{Worker: "worker-1", Attempt: attempt},
		event.StopAttempt{Worker: "worker-1", Attempt: attempt, Checkpoint: true},
		event.CancelQuery{Call: 3, Request: "draft-1"},
		event.StatusQuery{Call: 4, Request: "draft-1", Wait: true},
		event.OutcomeReply{Call: 4, Unavailable: true, Outcome: outcome},
		event.FenceQuery{Worker: "worker-1", Attempt: attempt, WorkerIncarnation: 3},
		event.FenceReply{Worker: "worker-1", Reachable: true, Report: report},
		event.RunningQuery{Partition: 5},
		event.RunningReply{Partition: 5, Tasks: []event.AttemptUpdate{update}},
		event.DocumentFetch{KnownRevision: 8},
		event.DocumentCopy{Revision: 9, Sections: []document.Section{{
			Name: "letters", Owners: []model.Team{"letters"}, Revision: 2, DocumentRevision: 9, EditID: "e-1", Body: []byte("{}"),
		}}},
	}
}

// beat returns a heartbeat with a number of teams and every field set.
func beat(teams int) event.Heartbeat {
	h := event.Heartbeat{
		Instance: sender.ID, Incarnation: 7, DataCentre: sender.DataCentre, Revision: 12, Draining: true, Workers: 50,
		TotalCapacity: resources.Multiply(50), LargestCapacity: resources, Partitions: []model.Partition{1, 4}, HeardPeers: []model.InstanceID{"entry-2", "entry-3"},
	}
	for i := range h.FreeCapacity {
		h.FreeCapacity[i] = event.FreeCapacity{Free: resources.Multiply(int64(20 - i)), Largest: resources, QueuedRequests: uint32(i)}
	}
	for i := range teams {
		h.Usage = append(h.Usage, event.TeamUsage{Team: model.Team("team-" + string(rune('a'+i))), Used: resources})
	}
	return h
}

func encodeFrame(e *encoder, messages ...event.Message) []byte {
	GinkgoHelper()
	batch := make([]wireMessage, len(messages))
	for i, m := range messages {
		w, err := e.message(instant, m)
		Expect(err).NotTo(HaveOccurred())
		batch[i] = w
	}
	data, err := e.frame(batch)
	Expect(err).NotTo(HaveOccurred())
	return data
}

var _ = Describe("codec", func() {
	// A field that is lost on the wire changes what the peer does, for example
	// whether it may run a request a second time.
	It("carries every field of every message", func() {
		e, d := newEncoder(), newDecoder(sender, 7)
		kinds := map[messageKind]bool{}
		for _, m := range samples() {
			w, err := newEncoder().message(instant, m)
			Expect(err).NotTo(HaveOccurred())
			kinds[w.Kind] = true
			decoded, err := d.frame(encodeFrame(e, m))
			Expect(err).NotTo(HaveOccurred())
			Expect(decoded).To(Equal([]event.Message{m}))
		}
		Expect(kinds).To(HaveLen(len(decoders)-1), "a kind has no sample")
		all, err := d.frame(encodeFrame(e, samples()...))
		Expect(err).NotTo(HaveOccurred())
		Expect(all).To(Equal(samples()))
	})

	// A difference that is applied to the wrong state misleads sampling, quotas
	// and claims until the link is opened again.
	It("rebuilds heartbeats from differences", func() {
		e, d := newEncoder(), newDecoder(sender, 7)
		previous := 0
		for i, change := range []func(*event.Heartbeat){
			func(*event.Heartbeat) {},
			func(*event.Heartbeat) {},
			func(h *event.Heartbeat) { h.Revision++; h.Draining = false },
			func(h *event.Heartbeat) { h.Usage = h.Usage[1:] },
			func(h *event.Heartbeat) { h.Usage = nil; h.HeardPeers = nil; h.Partitions = nil },
			func(h *event.Heartbeat) { h.FreeCapacity[1] = event.FreeCapacity{}; h.Workers = 0 },
		} {
			h := beat(4)
			change(&h)
			data := encodeFrame(e, h)
			decoded, err := d.frame(data)
			Expect(err).NotTo(HaveOccurred())
			got := decoded[0].(event.Heartbeat)
			Expect(got.Usage).To(ConsistOf(h.Usage))
			got.Usage, h.Usage = nil, nil
			Expect(got).To(Equal(h))
			if i == 1 {
				Expect(len(data)).To(BeNumerically("<", 10), "nothing changed")
				Expect(previous).To(BeNumerically(">", 100))
			}
			previous = len(data)
		}
	})

	// A peer that runs another version or is faulty must not be able to change
	// this instance's state or to crash it.
	It("refuses malformed frames with one error", func() {
		body := func(v any) cbor.RawMessage { return must(encoding.Marshal(v)) }
		frame := func(first uint64, messages ...wireMessage) []byte {
			return must(encoding.Marshal(wireFrame{First: first, Messages: messages}))
		}
		good := wireMessage{Kind: kindDocumentFetch, Body: body(wireDocumentFetch{Have: 1})}
		request := requestWire(samples()[1].(event.Forward).Request)
		bad := func(change func(*wireRequest)) []byte {
			r := request
			change(&r)
			return frame(1, good, wireMessage{Kind: kindForward, Body: body(wireForward{Call: 1, Request: r})})
		}
		heartbeat := func(w wireHeartbeat) []byte { return frame(1, wireMessage{Kind: kindHeartbeat, Body: body(w)}) }
		tests := []struct {
			frame []byte
			want  string
		}{
			{nil, "frame: EOF"},
			{[]byte{0x82, 1}, "frame: unexpected EOF"},
			{append(frame(1, good), 0), "frame: cbor: 1 bytes of extraneous data"},
			{bytes.Repeat([]byte{0x81}, 100), "exceeded max nested level"},
			{frame(2, good), "starts with message 2, want 1"},
			{frame(1, wireMessage{Kind: 99, Body: good.Body}), "message 1: unknown kind 99"},
			{frame(1, wireMessage{Kind: 0, Body: good.Body}), "message 1: unknown kind 0"},
			{frame(1, good, wireMessage{Kind: kindForward, Body: body(map[int]int{99: 1})}), "message 2: forward: cbor: found unknown field"},
			{bad(func(r *wireRequest) { r.ID = "" }), "message 2: forward: request has 0 bytes"},
			{bad(func(r *wireRequest) { r.Team = strings.Repeat("x", 300) }), "team has 300 bytes"},
			{bad(func(r *wireRequest) { r.Kind = 9 }), "kind 9 is outside 1 to 3"},
			{bad(func(r *wireRequest) { r.Class = 0 }), "class 0 is outside 1 to 3"},
			{bad(func(r *wireRequest) { r.Tasks = 0 }), "tasks is zero"},
			{bad(func(r *wireRequest) { r.Resources.MilliCPU = -1 }), "processors -1 is outside"},
			{bad(func(r *wireRequest) { r.Resources.MemoryBytes = 1 << 60 }), "memory 1152921504606846976 is outside"},
			{bad(func(r *wireRequest) { r.BodyDigest = []byte{1} }), "body digest has 1 bytes, want 32"},
			{heartbeat(wireHeartbeat{Usage: []wireUsage{{Team: 1}}}), "team number 1 is not in the table of 0"},
			{heartbeat(wireHeartbeat{Capacity: []wireCapacity{{Class: 4}}}), "class 4 is outside 1 to 3"},
			{heartbeat(wireHeartbeat{Total: &wireSum{MemoryMiB: 1 << 50}}), "units of 1048576 bytes"},
			{heartbeat(wireHeartbeat{Teams: make([]string, maxTeams+1)}), "4097 teams are above the limit"},
		}
		for _, test := range tests {
			messages, err := newDecoder(sender, 7).frame(test.frame)
			Expect(messages).To(BeNil(), test.want)
			Expect(err).To(MatchError(ContainSubstring(test.want)))
		}
	})
})
