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
	testTime      = time.Date(2026, 12, 4, 9, 0, 0, 123, time.UTC)
	sender        = model.Instance{ID: "entry-1", DataCentre: "north"}
	testAttempt   = model.Attempt{Request: "draft-1", Task: 2, Number: 3}
	testResources = model.Resources{MilliCPU: 1500, MemoryBytes: 3 << 30, Accelerators: 1, Slots: 2}
	testDigest    = model.DigestOf([]byte("body"))
)

// sampleMessages returns at least one message of each kind. Together they set
// every field.
func sampleMessages() []event.Message {
	request := &model.Request{
		ID: "draft-1", Team: "letters", Workload: "draft", Kind: model.KindBatch, Class: model.ClassStandard,
		Resources: testResources, Tasks: 4, Gang: true, Idempotent: true, Preemptible: true, Deadline: testTime,
		Body: []byte("body"), BodyLength: 4, BodyDigest: testDigest, BodyStored: true, SubmittedAt: testTime,
	}
	outcome := model.Outcome{
		Status: model.StatusNotRun, Reason: "late", Proof: model.ProofTargetFenced, Answer: []byte("a"),
		Digest: testDigest, Worker: "worker-1", Attempt: testAttempt,
	}
	report := model.TaskReport{
		Attempt: testAttempt, State: model.TaskFinished, Resources: testResources, Class: model.ClassUrgent, Team: "letters",
		Workload: "draft", Kind: model.KindBatch, StartedAt: testTime,
		Result: model.TaskResult{Succeeded: true, Message: "m", Answer: []byte("a"), Digest: testDigest},
	}
	update := event.AttemptUpdate{Worker: "worker-1", State: event.AttemptUncertain, Report: report, Reason: "lost"}
	return []event.Message{
		newHeartbeat(3),
		event.Forward{Call: 1, Request: request, Hops: 2, ToHome: true},
		event.ForwardReply{Call: 1, Accepted: true, Outcome: outcome},
		event.ForwardReply{Call: 1, Rejected: true, Code: event.CodeExhausted, Place: "class", Reason: "queue full"},
		event.Reserve{Call: 2, Request: request, Count: 4, Until: testTime},
		event.Reserved{Call: 2, Workers: []model.WorkerID{"worker-1", "worker-2"}, WorkerIncarnations: []model.Incarnation{3, 4}},
		event.Confirm{Call: 2, Request: request, Attempts: []event.AttemptPlacement{{Attempt: testAttempt, Worker: "worker-1", WorkerIncarnation: 3}}},
		event.Confirm{Call: 2},
		event.ReleaseReservation{Call: 2},
		update,
		event.AttemptAck{Worker: "worker-1", Attempt: testAttempt},
		event.StopAttempt{Worker: "worker-1", Attempt: testAttempt, Checkpoint: true},
		event.CancelQuery{Call: 3, Request: "draft-1"},
		event.StatusQuery{Call: 4, Request: "draft-1", Wait: true},
		event.OutcomeReply{Call: 4, Unavailable: true, Outcome: outcome},
		event.FenceQuery{Worker: "worker-1", Attempt: testAttempt, WorkerIncarnation: 3},
		event.FenceReply{Worker: "worker-1", Reachable: true, Report: report},
		event.RunningQuery{Partition: 5},
		event.RunningReply{Partition: 5, Tasks: []event.AttemptUpdate{update}},
		event.DocumentFetch{KnownRevision: 8},
		event.DocumentCopy{Revision: 9, Sections: []document.Section{{
			Name: "letters", Owners: []model.Team{"letters"}, Revision: 2, DocumentRevision: 9, EditID: "e-1", Body: []byte("{}"),
		}}},
	}
}

// newHeartbeat returns a heartbeat with every field set and usages of the given
// number of teams.
func newHeartbeat(teams int) event.Heartbeat {
	h := event.Heartbeat{
		Instance: sender.ID, Incarnation: 7, DataCentre: sender.DataCentre, Revision: 12, Draining: true, Workers: 50,
		TotalCapacity: testResources.Multiply(50), LargestCapacity: testResources, Partitions: []model.Partition{1, 4}, HeardPeers: []model.InstanceID{"entry-2", "entry-3"},
	}
	for i := range h.FreeCapacity {
		h.FreeCapacity[i] = event.FreeCapacity{Free: testResources.Multiply(int64(20 - i)), Largest: testResources, QueuedRequests: uint32(i)}
	}
	for i := range teams {
		h.Usage = append(h.Usage, event.TeamUsage{Team: model.Team("team-" + string(rune('a'+i))), Used: testResources})
	}
	return h
}

func encodeFrame(e *encoder, messages ...event.Message) []byte {
	GinkgoHelper()
	batch := make([]wireMessage, len(messages))
	for i, m := range messages {
		w, err := e.encodeMessage(testTime, m)
		Expect(err).NotTo(HaveOccurred())
		batch[i] = w
	}
	data, err := e.encodeFrame(batch)
	Expect(err).NotTo(HaveOccurred())
	return data
}

var _ = Describe("codec", func() {
	// Guards against fields that are lost on the wire: the peer would act
	// differently, for example run a request a second time.
	It("preserves every field of every message", func() {
		e, d := newEncoder(), newDecoder(sender, 7)
		kinds := map[messageKind]bool{}
		for _, m := range sampleMessages() {
			w, err := newEncoder().encodeMessage(testTime, m)
			Expect(err).NotTo(HaveOccurred())
			kinds[w.Kind] = true
			decoded, err := d.decodeFrame(encodeFrame(e, m))
			Expect(err).NotTo(HaveOccurred())
			Expect(decoded).To(Equal([]event.Message{m}))
		}
		Expect(kinds).To(HaveLen(len(messageDecoders)-1), "a kind has no sample")
		all, err := d.decodeFrame(encodeFrame(e, sampleMessages()...))
		Expect(err).NotTo(HaveOccurred())
		Expect(all).To(Equal(sampleMessages()))
	})

	// Guards against a heartbeat difference that is applied to the wrong state:
	// sampling, quotas and claims would use wrong values until the link is reopened.
	It("reconstructs heartbeats from differences", func() {
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
			h := newHeartbeat(4)
			change(&h)
			data := encodeFrame(e, h)
			decoded, err := d.decodeFrame(data)
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

	// Guards against a faulty peer, or one with another version, that crashes this
	// instance or changes its state.
	It("refuses malformed frames with one error", func() {
		body := func(v any) cbor.RawMessage { return must(encMode.Marshal(v)) }
		frame := func(first uint64, messages ...wireMessage) []byte {
			return must(encMode.Marshal(wireFrame{FirstNumber: first, Messages: messages}))
		}
		good := wireMessage{Kind: kindDocumentFetch, Body: body(wireDocumentFetch{KnownRevision: 1})}
		request := requestToWire(sampleMessages()[1].(event.Forward).Request)
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
			{heartbeat(wireHeartbeat{Usage: []wireTeamUsage{{TeamIndex: 1}}}), "team number 1 is not in the table of 0"},
			{heartbeat(wireHeartbeat{FreeCapacity: []wireFreeCapacity{{Class: 4}}}), "class 4 is outside 1 to 3"},
			{heartbeat(wireHeartbeat{TotalCapacity: &wireResourcesMiB{MemoryMiB: 1 << 50}}), "units of 1048576 bytes"},
			{heartbeat(wireHeartbeat{NewTeams: make([]string, maxTeams+1)}), "4097 teams are above the limit"},
		}
		for _, test := range tests {
			messages, err := newDecoder(sender, 7).decodeFrame(test.frame)
			Expect(messages).To(BeNil(), test.want)
			Expect(err).To(MatchError(ContainSubstring(test.want)))
		}
	})
})
