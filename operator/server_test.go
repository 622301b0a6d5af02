package operator_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"fuchsiacross/document"
	"fuchsiacross/event"
	"fuchsiacross/model"
	"fuchsiacross/operator"
	"fuchsiacross/operatorv1"
	"fuchsiacross/operatorv1/operatorv1connect"
	"fuchsiacross/timeline"
)

var at = time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)

func digestOf(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

func writeCredentials(path string, content string) {
	// A rename gives the file another identity, as a deployment would.
	Expect(os.WriteFile(path+".new", []byte(content), 0o600)).To(Succeed())
	Expect(os.Rename(path+".new", path)).To(Succeed())
}

func parse(revision, gates model.Revision, owners string) *document.Document {
	d, err := document.Assemble(revision, []document.Section{
		{Name: "cell", Revision: 1, DocumentRevision: 1, Body: []byte(`{"owners":["operators"]}`)},
		{Name: "gates", Revision: gates, DocumentRevision: revision, Body: []byte(`{"owners":["` + owners + `"]}`)},
	})
	Expect(err).NotTo(HaveOccurred())
	return d
}

// harness is a server with a document in force, a committed document, and a
// platform that accepts every edit.
type harness struct {
	server    *operator.Server
	options   operator.Options
	inForce   *document.Document
	committed *document.Document
	edits     []operator.Edit
	result    operator.EditResult
	url       string
}

func newHarness(change func(*operator.Options)) *harness {
	h := &harness{inForce: parse(4, 2, "gates"), committed: parse(4, 2, "gates")}
	h.result = operator.EditResult{Status: operator.EditCommitted, DocumentRevision: 5, SectionRevision: 3}
	var tokens atomic.Uint64
	h.options = operator.Options{
		Instance:     "entry-1",
		Post:         func(event.Event) {},
		NextToken:    func() event.Token { return event.Token(tokens.Add(1)) },
		Now:          func() time.Time { return at },
		Document:     func() *document.Document { return h.inForce },
		ReadDocument: func(context.Context) (*document.Document, error) { return h.committed, nil },
		Edit: func(_ context.Context, e operator.Edit) (operator.EditResult, error) {
			h.edits = append(h.edits, e)
			return h.result, nil
		},
		Timeline: timeline.NewRing(10),
	}
	change(&h.options)
	h.server = operator.New(h.options)
	mux := http.NewServeMux()
	mux.Handle(h.server.Handler())
	listener := httptest.NewServer(mux)
	DeferCleanup(listener.Close)
	h.url = listener.URL
	return h
}

func withCredentials(o *operator.Options) {
	path := filepath.Join(GinkgoT().TempDir(), "credentials.json")
	writeCredentials(path, `{"operators":["`+digestOf("op")+`"],"gates":["`+digestOf("ga")+`"],"desks":["`+digestOf("de")+`"]}`)
	var err error
	o.Credentials, err = operator.LoadCredentials(path, time.Now, zap.NewNop())
	Expect(err).NotTo(HaveOccurred())
}

// as returns a client that sends a bearer token unless it is empty.
func (h *harness) as(token string) operatorv1connect.OperatorServiceClient {
	return operatorv1connect.NewOperatorServiceClient(http.DefaultClient, h.url, connect.WithInterceptors(connect.UnaryInterceptorFunc(
		func(next connect.UnaryFunc) connect.UnaryFunc {
			return func(ctx context.Context, r connect.AnyRequest) (connect.AnyResponse, error) {
				if token != "" {
					r.Header().Set("Authorization", "Bearer "+token)
				}
				return next(ctx, r)
			}
		},
	)))
}

func edit(section string, revision uint64, body string) *operatorv1.EditSectionRequest {
	return &operatorv1.EditSectionRequest{Section: section, SectionRevision: revision, EditId: "e1", Body: body}
}

const (
	good = `{"owners":["gates"]}`
	bad  = `{"owners":["gates"],"quota":{"milli_cpu":-1},"x":1}`
)

var _ = Describe("EditSection", func() {
	// A team that edits another team's section takes its quota.
	It("lets only owners edit", func(ctx SpecContext) {
		h := newHarness(withCredentials)
		tests := []struct {
			token, section string
			revision       uint64
			want           connect.Code // 0 for a commit
		}{
			{"", "gates", 2, connect.CodeUnauthenticated},
			{"wrong", "gates", 2, connect.CodeUnauthenticated},
			{"ga", "gates", 2, 0},
			{"de", "gates", 2, connect.CodePermissionDenied},
			{"op", "gates", 2, connect.CodePermissionDenied},
			{"op", "cell", 1, 0},
			{"ga", "cell", 1, connect.CodePermissionDenied},
			{"op", "new", 0, 0},
			{"ga", "new", 0, connect.CodePermissionDenied},
			{"ga", "../x", 0, connect.CodeInvalidArgument},
		}
		for _, test := range tests {
			h.edits = nil
			response, err := h.as(test.token).EditSection(ctx, edit(test.section, test.revision, good))
			if test.want != 0 {
				Expect(connect.CodeOf(err)).To(Equal(test.want), "%+v", test)
				Expect(h.edits).To(BeEmpty())
				continue
			}
			Expect(err).NotTo(HaveOccurred())
			Expect(response.GetResult()).To(Equal(operatorv1.EditResult_EDIT_RESULT_COMMITTED))
			Expect(h.edits).To(HaveLen(1))
		}
	})

	// A former owner must not edit through an instance whose document is old.
	It("authorises by the revision that the edit is conditional on", func(ctx SpecContext) {
		h := newHarness(withCredentials)
		h.committed = parse(6, 3, "desks")
		_, err := h.as("ga").EditSection(ctx, edit("gates", 3, good))
		Expect(connect.CodeOf(err)).To(Equal(connect.CodePermissionDenied))
		_, err = h.as("de").EditSection(ctx, edit("gates", 3, good))
		Expect(err).NotTo(HaveOccurred())
		response, err := h.as("de").EditSection(ctx, edit("gates", 9, good))
		Expect(err).NotTo(HaveOccurred())
		Expect(response.GetResult()).To(Equal(operatorv1.EditResult_EDIT_RESULT_CONFLICT))
		Expect(response.GetSectionRevision()).To(Equal(uint64(3)))
		Expect(h.edits).To(HaveLen(1))
	})

	// A section that is committed with a fault is out of force everywhere.
	It("commits nothing that fails the check", func(ctx SpecContext) {
		h := newHarness(withCredentials)
		response, err := h.as("ga").EditSection(ctx, edit("gates", 2, bad))
		Expect(err).NotTo(HaveOccurred())
		Expect(response.GetResult()).To(Equal(operatorv1.EditResult_EDIT_RESULT_REFUSED))
		Expect(response.GetFindings()).To(HaveLen(2))
		Expect(response.GetFindings()[0].GetPlace()).To(Equal("/quota/milli_cpu"))
		check, err := h.as("de").CheckSection(ctx, &operatorv1.CheckSectionRequest{Section: "gates", Body: bad})
		Expect(err).NotTo(HaveOccurred())
		Expect(check.GetFindings()).To(HaveLen(2))
		Expect(h.edits).To(BeEmpty())
	})

	// An operator who takes an unknown or conflicting edit for a committed one
	// believes in settings that are not in force.
	It("reports what became of the edit", func(ctx SpecContext) {
		h := newHarness(withCredentials)
		tests := []struct {
			status operator.EditStatus
			want   operatorv1.EditResult
		}{
			{operator.EditConflict, operatorv1.EditResult_EDIT_RESULT_CONFLICT},
			{operator.EditRefused, operatorv1.EditResult_EDIT_RESULT_REFUSED},
			{operator.EditUnknown, operatorv1.EditResult_EDIT_RESULT_UNKNOWN},
		}
		for _, test := range tests {
			h.result = operator.EditResult{Status: test.status, SectionRevision: 7}
			response, err := h.as("ga").EditSection(ctx, edit("gates", 2, good))
			Expect(err).NotTo(HaveOccurred())
			Expect(response.GetResult()).To(Equal(test.want))
			Expect(response.GetSectionRevision()).To(Equal(uint64(7)))
		}
	})

	// Without credentials nobody can be told apart, so nobody may edit.
	It("refuses edits when no credentials are configured", func(ctx SpecContext) {
		h := newHarness(func(*operator.Options) {})
		_, err := h.as("op").EditSection(ctx, edit("cell", 1, good))
		Expect(connect.CodeOf(err)).To(Equal(connect.CodePermissionDenied))
		_, err = h.as("").ShowDocument(ctx, &operatorv1.ShowDocumentRequest{})
		Expect(err).NotTo(HaveOccurred())
	})
})

var _ = Describe("Credentials", func() {
	// A withdrawn token must stop working without a restart, and a damaged file
	// must neither lock everybody out nor let anybody in.
	It("follow the file", func() {
		path := filepath.Join(GinkgoT().TempDir(), "credentials.json")
		writeCredentials(path, `{"gates":["`+digestOf("one")+`"]}`)
		now := at
		c, err := operator.LoadCredentials(path, func() time.Time { return now }, zap.NewNop())
		Expect(err).NotTo(HaveOccurred())
		team := func(token string) model.Team {
			t, _ := c.Team(token)
			return t
		}
		Expect(team("one")).To(Equal(model.Team("gates")))
		Expect(team(digestOf("one"))).To(BeEmpty())
		writeCredentials(path, `{"desks":["`+digestOf("two")+`"]}`)
		now = now.Add(2 * time.Second)
		Expect([]model.Team{team("one"), team("two")}).To(Equal([]model.Team{"", "desks"}))
		writeCredentials(path, `{`)
		now = now.Add(2 * time.Second)
		Expect(team("two")).To(Equal(model.Team("desks")))
		Expect(os.Remove(path)).To(Succeed())
		now = now.Add(2 * time.Second)
		Expect(team("two")).To(Equal(model.Team("desks")))
	})

	// A token in the clear, or one that belongs to two teams, is a mistake.
	It("refuse a file with faults", func() {
		for _, content := range []string{`[]`, `{"gates":["secret"]}`, `{"A b":[]}`, `{"gates":["` + digestOf("x") + `"],"desks":["` + digestOf("x") + `"]}`} {
			path := filepath.Join(GinkgoT().TempDir(), "credentials.json")
			writeCredentials(path, content)
			_, err := operator.LoadCredentials(path, time.Now, zap.NewNop())
			Expect(err).To(MatchError(ContainSubstring("credentials.json")))
		}
	})
})

var _ = Describe("Views", func() {
	// An answer must reach the query that asked for it, in full.
	It("are asked of the reducer", func(ctx SpecContext) {
		var h *harness
		h = newHarness(func(o *operator.Options) {
			o.Post = func(e event.Event) {
				q, ok := e.(event.Query)
				if !ok {
					return
				}
				views := map[event.ViewKind]any{
					event.ViewWorkers:   []event.WorkerView{{Worker: model.Worker{ID: "w1"}, Capacity: model.Resources{MilliCPU: 32_000}, Draining: true}},
					event.ViewInstances: []event.InstanceView{{Instance: model.Instance{ID: "entry-1"}, Self: true, Revision: 4}},
					event.ViewQueue:     []event.QueueView{{Request: "c1", Class: model.ClassUrgent, QueuedAt: at}},
				}
				if q.Request == "c1" {
					views[event.ViewExplain] = event.ExplainView{Request: "c1", Status: model.StatusWaiting, Attempts: []event.AttemptView{{Worker: "w1"}}}
				}
				go h.server.Apply(event.AnswerQuery{Token: q.Token, View: views[q.View]})
			}
		})
		client := h.as("")
		workers, err := client.Workers(ctx, &operatorv1.WorkersRequest{})
		Expect(err).NotTo(HaveOccurred())
		Expect(workers.GetWorkers()[0].GetCapacity().GetMilliCpu()).To(Equal(int64(32_000)))
		instances, err := client.Instances(ctx, &operatorv1.InstancesRequest{})
		Expect(err).NotTo(HaveOccurred())
		Expect(instances.GetInstances()[0].GetDocumentRevision()).To(Equal(uint64(4)))
		queue, err := client.Queue(ctx, &operatorv1.QueueRequest{})
		Expect(err).NotTo(HaveOccurred())
		Expect(queue.GetWaiting()[0].GetClass()).To(Equal("urgent"))
		explained, err := client.Explain(ctx, &operatorv1.ExplainRequest{RequestId: "c1"})
		Expect(err).NotTo(HaveOccurred())
		Expect(explained.GetAnsweredBy()).To(Equal("entry-1"))
		Expect(explained.GetAttempts()).To(HaveLen(1))
		_, err = client.Explain(ctx, &operatorv1.ExplainRequest{RequestId: "c2"})
		Expect(connect.CodeOf(err)).To(Equal(connect.CodeInternal))
		Expect(h.server.Apply(event.AnswerQuery{Token: 1})).To(BeFalse())
	})

	// The committed document and the one in force differ while an edit spreads.
	It("show the document and the timeline", func(ctx SpecContext) {
		h := newHarness(func(o *operator.Options) {
			o.ReadDocument = func(context.Context) (*document.Document, error) { return nil, errors.New("down") }
		})
		shown, err := h.as("").ShowDocument(ctx, &operatorv1.ShowDocumentRequest{Section: "gates"})
		Expect(err).NotTo(HaveOccurred())
		Expect(shown.GetSections()).To(HaveLen(1))
		Expect(shown.GetSections()[0].GetRevision()).To(Equal(uint64(2)))
		_, err = h.as("").ShowDocument(ctx, &operatorv1.ShowDocumentRequest{Committed: true})
		Expect(connect.CodeOf(err)).To(Equal(connect.CodeUnavailable))
		h.options.Timeline.Add(timeline.Record{At: at, Process: "entry-1", Kind: "start", Request: "c1"})
		records, err := h.as("").Timeline(ctx, &operatorv1.TimelineRequest{RequestId: "c1"})
		Expect(err).NotTo(HaveOccurred())
		Expect(records.GetRecords()).To(HaveLen(1))
	})
})
