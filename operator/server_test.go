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

var fixedTime = time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)

func digestOf(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

func writeCredentials(path string, content string) {
	// Like a deployment, replaces the file by a rename, so that os.SameFile differs.
	Expect(os.WriteFile(path+".new", []byte(content), 0o600)).To(Succeed())
	Expect(os.Rename(path+".new", path)).To(Succeed())
}

func assembleDocument(revision, gates model.Revision, owners string) *document.Document {
	d, err := document.Assemble(revision, []document.Section{
		{Name: "cell", Revision: 1, DocumentRevision: 1, Body: []byte(`{"owners":["operators"]}`)},
		{Name: "gates", Revision: gates, DocumentRevision: revision, Body: []byte(`{"owners":["` + owners + `"]}`)},
	})
	Expect(err).NotTo(HaveOccurred())
	return d
}

// harness is a server with a document in force, a committed document, and a function
// Edit that returns result for every edit.
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
	h := &harness{inForce: assembleDocument(4, 2, "gates"), committed: assembleDocument(4, 2, "gates")}
	h.result = operator.EditResult{Status: operator.EditCommitted, DocumentRevision: 5, SectionRevision: 3}
	var tokens atomic.Uint64
	h.options = operator.Options{
		Instance:     "entry-1",
		Post:         func(event.Event) {},
		NextToken:    func() event.Token { return event.Token(tokens.Add(1)) },
		Now:          func() time.Time { return fixedTime },
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

// clientWithToken returns a client that sends a bearer token. It sends none if token is
// empty.
func (h *harness) clientWithToken(token string) operatorv1connect.OperatorServiceClient {
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

func editRequest(section string, revision uint64, body string) *operatorv1.EditSectionRequest {
	return &operatorv1.EditSectionRequest{Section: section, SectionRevision: revision, EditId: "e1", Body: body}
}

const (
	validBody   = `{"owners":["gates"]}`
	invalidBody = `{"owners":["gates"],"quota":{"milli_cpu":-1},"x":1}`
)

var _ = Describe("EditSection", func() {
	// Guards against a team that edits the section of another team and so takes its
	// quota.
	It("permits edits by owners only", func(ctx SpecContext) {
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
			response, err := h.clientWithToken(test.token).EditSection(ctx, editRequest(test.section, test.revision, validBody))
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

	// Guards against an edit by a former owner through an instance whose document is
	// stale.
	It("authorises an edit by the section revision that it replaces", func(ctx SpecContext) {
		h := newHarness(withCredentials)
		h.committed = assembleDocument(6, 3, "desks")
		_, err := h.clientWithToken("ga").EditSection(ctx, editRequest("gates", 3, validBody))
		Expect(connect.CodeOf(err)).To(Equal(connect.CodePermissionDenied))
		_, err = h.clientWithToken("de").EditSection(ctx, editRequest("gates", 3, validBody))
		Expect(err).NotTo(HaveOccurred())
		response, err := h.clientWithToken("de").EditSection(ctx, editRequest("gates", 9, validBody))
		Expect(err).NotTo(HaveOccurred())
		Expect(response.GetResult()).To(Equal(operatorv1.EditResult_EDIT_RESULT_CONFLICT))
		Expect(response.GetSectionRevision()).To(Equal(uint64(3)))
		Expect(h.edits).To(HaveLen(1))
	})

	// Guards against the commit of an invalid section, which no instance can put in
	// force.
	It("does not commit a section that fails the check", func(ctx SpecContext) {
		h := newHarness(withCredentials)
		response, err := h.clientWithToken("ga").EditSection(ctx, editRequest("gates", 2, invalidBody))
		Expect(err).NotTo(HaveOccurred())
		Expect(response.GetResult()).To(Equal(operatorv1.EditResult_EDIT_RESULT_REFUSED))
		Expect(response.GetFindings()).To(HaveLen(2))
		Expect(response.GetFindings()[0].GetPlace()).To(Equal("/quota/milli_cpu"))
		check, err := h.clientWithToken("de").CheckSection(ctx, &operatorv1.CheckSectionRequest{Section: "gates", Body: invalidBody})
		Expect(err).NotTo(HaveOccurred())
		Expect(check.GetFindings()).To(HaveLen(2))
		Expect(h.edits).To(BeEmpty())
	})

	// Guards against a conflicting, refused or unknown edit that is reported as committed,
	// so that the operator relies on settings that are not in force.
	It("reports the result of an edit", func(ctx SpecContext) {
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
			response, err := h.clientWithToken("ga").EditSection(ctx, editRequest("gates", 2, validBody))
			Expect(err).NotTo(HaveOccurred())
			Expect(response.GetResult()).To(Equal(test.want))
			Expect(response.GetSectionRevision()).To(Equal(uint64(7)))
		}
	})

	// Without credentials, the team of a call is not known, so nobody may edit.
	It("denies edits if no credentials are configured", func(ctx SpecContext) {
		h := newHarness(func(*operator.Options) {})
		_, err := h.clientWithToken("op").EditSection(ctx, editRequest("cell", 1, validBody))
		Expect(connect.CodeOf(err)).To(Equal(connect.CodePermissionDenied))
		_, err = h.clientWithToken("").ShowDocument(ctx, &operatorv1.ShowDocumentRequest{})
		Expect(err).NotTo(HaveOccurred())
	})
})

var _ = Describe("Credentials", func() {
	// Guards against a revoked token that is valid until a restart, and against a damaged
	// file that invalidates all tokens or admits any.
	It("are reloaded if the file changes to a valid one", func() {
		path := filepath.Join(GinkgoT().TempDir(), "credentials.json")
		writeCredentials(path, `{"gates":["`+digestOf("one")+`"]}`)
		now := fixedTime
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

	// Guards against a file that contains a token itself instead of its digest, or the
	// same token for two teams.
	It("reject an invalid file", func() {
		for _, content := range []string{`[]`, `{"gates":["secret"]}`, `{"A b":[]}`, `{"gates":["` + digestOf("x") + `"],"desks":["` + digestOf("x") + `"]}`} {
			path := filepath.Join(GinkgoT().TempDir(), "credentials.json")
			writeCredentials(path, content)
			_, err := operator.LoadCredentials(path, time.Now, zap.NewNop())
			Expect(err).To(MatchError(ContainSubstring("credentials.json")))
		}
	})
})

var _ = Describe("Views", func() {
	// Guards against an answer of the reducer that is lost, incomplete or delivered to
	// another query.
	It("are queried from the reducer", func(ctx SpecContext) {
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
					event.ViewQueue:     []event.QueueView{{Request: "c1", Class: model.ClassUrgent, QueuedAt: fixedTime}},
				}
				if q.Request == "c1" {
					views[event.ViewExplain] = event.ExplainView{Request: "c1", Status: model.StatusWaiting, Attempts: []event.AttemptView{{Worker: "w1"}}}
				}
				go h.server.Apply(event.AnswerQuery{Token: q.Token, View: views[q.View]})
			}
		})
		client := h.clientWithToken("")
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

	// Until all instances have received an edit, the committed document differs from the
	// one in force. Guards against one being shown as the other.
	It("show the document and the timeline", func(ctx SpecContext) {
		h := newHarness(func(o *operator.Options) {
			o.ReadDocument = func(context.Context) (*document.Document, error) { return nil, errors.New("down") }
		})
		shown, err := h.clientWithToken("").ShowDocument(ctx, &operatorv1.ShowDocumentRequest{Section: "gates"})
		Expect(err).NotTo(HaveOccurred())
		Expect(shown.GetSections()).To(HaveLen(1))
		Expect(shown.GetSections()[0].GetRevision()).To(Equal(uint64(2)))
		_, err = h.clientWithToken("").ShowDocument(ctx, &operatorv1.ShowDocumentRequest{Committed: true})
		Expect(connect.CodeOf(err)).To(Equal(connect.CodeUnavailable))
		h.options.Timeline.Add(timeline.Record{At: fixedTime, Process: "entry-1", Kind: "start", Request: "c1"})
		records, err := h.clientWithToken("").Timeline(ctx, &operatorv1.TimelineRequest{RequestId: "c1"})
		Expect(err).NotTo(HaveOccurred())
		Expect(records.GetRecords()).To(HaveLen(1))
	})
})
