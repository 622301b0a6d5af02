package main

import (
	"context"
	"crypto/ed25519"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"io"
	"log"
	"math/big"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/types/known/timestamppb"

	"fuchsiacross/callerv1"
	"fuchsiacross/callerv1/callerv1connect"
	"fuchsiacross/model"
	"fuchsiacross/operatorv1"
	"fuchsiacross/operatorv1/operatorv1connect"
)

// stub is a server that answers every request with the same outcome and every edit
// with the same result.
type stub struct {
	callerv1connect.UnimplementedCallerServiceHandler
	operatorv1connect.UnimplementedOperatorServiceHandler
	outcome *callerv1.Outcome
	err     error
	edit    *operatorv1.EditSectionResponse
	submits []*callerv1.SubmitRequest
	edits   []*operatorv1.EditSectionRequest
}

func (s *stub) Submit(_ context.Context, m *callerv1.SubmitRequest) (*callerv1.SubmitResponse, error) {
	s.submits = append(s.submits, m)
	return &callerv1.SubmitResponse{Outcome: s.outcome}, s.err
}

func (s *stub) Status(context.Context, *callerv1.StatusRequest) (*callerv1.StatusResponse, error) {
	return &callerv1.StatusResponse{Outcome: s.outcome}, s.err
}

func (s *stub) Cancel(context.Context, *callerv1.CancelRequest) (*callerv1.CancelResponse, error) {
	return &callerv1.CancelResponse{Outcome: s.outcome}, s.err
}

func (s *stub) ShowDocument(context.Context, *operatorv1.ShowDocumentRequest) (*operatorv1.ShowDocumentResponse, error) {
	return &operatorv1.ShowDocumentResponse{Revision: 9, Sections: []*operatorv1.Section{{Name: "cell", Revision: 4, Body: `{"owners":["operators"]}`}}}, nil
}

func (s *stub) EditSection(_ context.Context, m *operatorv1.EditSectionRequest) (*operatorv1.EditSectionResponse, error) {
	s.edits = append(s.edits, m)
	return s.edit, nil
}

func (s *stub) Workers(context.Context, *operatorv1.WorkersRequest) (*operatorv1.WorkersResponse, error) {
	return &operatorv1.WorkersResponse{Workers: []*operatorv1.Worker{{Id: "w1", Draining: true}}}, nil
}

func (s *stub) Explain(context.Context, *operatorv1.ExplainRequest) (*operatorv1.ExplainResponse, error) {
	return &operatorv1.ExplainResponse{Status: "waiting", Attempts: []*operatorv1.AttemptInfo{{Worker: "w1"}}}, nil
}

func (s *stub) Timeline(context.Context, *operatorv1.TimelineRequest) (*operatorv1.TimelineResponse, error) {
	return &operatorv1.TimelineResponse{Records: []*operatorv1.TimelineRecord{{At: timestamppb.Now(), Process: "entry-1", Kind: "start"}}}, nil
}

// selfSigned returns a CA certificate that has signed no server certificate.
func selfSigned() []byte {
	public, private, err := ed25519.GenerateKey(nil)
	Expect(err).NotTo(HaveOccurred())
	template := &x509.Certificate{SerialNumber: big.NewInt(1), IsCA: true, BasicConstraintsValid: true}
	raw, err := x509.CreateCertificate(rand.Reader, template, template, public, private)
	Expect(err).NotTo(HaveOccurred())
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: raw})
}

// command runs one command line against the stub.
func (s *stub) command(stdin string, args ...string) (code int, stdout, stderr string) {
	mux := http.NewServeMux()
	mux.Handle(callerv1connect.NewCallerServiceHandler(s))
	mux.Handle(operatorv1connect.NewOperatorServiceHandler(s))
	server := httptest.NewServer(mux)
	defer server.Close()
	var stdoutText, stderrText strings.Builder
	args = append([]string{"--entry", server.Listener.Addr().String()}, args...)
	code = run(context.Background(), args, strings.NewReader(stdin), &stdoutText, &stderrText)
	return code, stdoutText.String(), stderrText.String()
}

func newOutcome(s callerv1.Status) *callerv1.Outcome {
	answer := []byte("answer")
	digest := model.DigestOf(answer)
	return &callerv1.Outcome{RequestId: "r", Status: s, Answer: answer, AnswerDigest: digest[:], AnswerLength: 6}
}

var _ = Describe("Exit codes", func() {
	// Scripts rely on the exit code to decide whether to repeat a command.
	It("follow the outcome of a request", func() {
		tests := []struct {
			status         callerv1.Status
			submit, cancel int
		}{
			{callerv1.Status_STATUS_DONE, exitOK, exitFailed},
			{callerv1.Status_STATUS_WAITING, exitOK, exitFailed},
			{callerv1.Status_STATUS_FAILED, exitFailed, exitFailed},
			{callerv1.Status_STATUS_NOT_RUN, exitFailed, exitOK},
			{callerv1.Status_STATUS_CANCELLED, exitFailed, exitOK},
			{callerv1.Status_STATUS_NOT_FOUND, exitFailed, exitFailed},
			{callerv1.Status_STATUS_UNKNOWN, exitUnknown, exitUnknown},
			{callerv1.Status_STATUS_EXPIRED, exitUnknown, exitUnknown},
		}
		for _, test := range tests {
			s := &stub{outcome: newOutcome(test.status)}
			code, stdout, stderr := s.command("body", "submit", "gates", "check")
			Expect(code).To(Equal(test.submit), "%s", test.status)
			Expect(stdout).To(Equal("answer"))
			Expect(stderr).To(ContainSubstring(s.submits[0].GetRequestId()))
			code, _, _ = s.command("", "status", "r")
			Expect(code).To(Equal(test.submit), "%s", test.status)
			code, _, _ = s.command("", "cancel", "r")
			Expect(code).To(Equal(test.cancel), "%s", test.status)
		}
	})

	It("follow the code of a refusal", func() {
		tests := []struct {
			code connect.Code
			want int
		}{
			{connect.CodeInvalidArgument, exitInput},
			{connect.CodeUnauthenticated, exitInput},
			{connect.CodeDataLoss, exitUnknown},
			{connect.CodeUnavailable, exitUnavailable},
			{connect.CodeAlreadyExists, exitConflict},
		}
		for _, test := range tests {
			s := &stub{err: connect.NewError(test.code, errors.New("reason"))}
			code, _, stderr := s.command("", "submit", "gates", "check")
			Expect(code).To(Equal(test.want))
			Expect(stderr).To(ContainSubstring("reason"))
		}
	})

	It("follow the result of an edit", func() {
		tests := []struct {
			result operatorv1.EditResult
			want   int
		}{
			{operatorv1.EditResult_EDIT_RESULT_COMMITTED, exitOK},
			{operatorv1.EditResult_EDIT_RESULT_CONFLICT, exitConflict},
			{operatorv1.EditResult_EDIT_RESULT_REFUSED, exitInput},
			{operatorv1.EditResult_EDIT_RESULT_UNKNOWN, exitUnknown},
		}
		for _, test := range tests {
			for _, output := range []string{"text", "json"} {
				s := &stub{edit: &operatorv1.EditSectionResponse{Result: test.result}}
				code, _, stderr := s.command("{}", "--output", output, "document", "edit", "cell")
				Expect(code).To(Equal(test.want))
				Expect(s.edits[0].GetSectionRevision()).To(Equal(uint64(4)))
				Expect(stderr).To(HavePrefix("edit " + s.edits[0].GetEditId()))
			}
		}
	})

	// Scripts must be able to tell an invalid command line from a failure of the
	// system, and an invalid command line must send nothing.
	It("are 2 for bad input", func() {
		s := &stub{outcome: newOutcome(callerv1.Status_STATUS_DONE)}
		for _, args := range [][]string{
			{},
			{"unknown"},
			{"status"},
			{"status", "a", "b"},
			{"submit", "gates"},
			{"submit", "gates", "check", "--tasks", "-1"},
			{"submit", "gates", "check", "--memory-bytes", "9223372036854775808"},
			{"submit", "gates", "check", "--body", "/nonexistent"},
			{"submit", "gates", "check", "--class", "soon"},
			{"--entry", "host:1", "status", "r"},
			{"--token-file", "/nonexistent", "workers"},
			{"timeline", "--after", "noon"},
			{"document", "check", "gates", "--offline"},
		} {
			code, _, stderr := s.command("", args...)
			Expect(code).To(Equal(exitInput), "%v: %s", args, stderr)
		}
		Expect(s.submits).To(BeEmpty())
	})
})

var _ = Describe("Commands", func() {
	// Without verification of the server certificate the bearer token leaks to any
	// server that listens on the address.
	It("connect only to servers whose certificate a given authority signed", func() {
		s := &stub{}
		mux := http.NewServeMux()
		mux.Handle(operatorv1connect.NewOperatorServiceHandler(s))
		server := httptest.NewUnstartedServer(mux)
		server.Config.ErrorLog = log.New(io.Discard, "", 0)
		server.StartTLS()
		defer server.Close()
		authority := filepath.Join(GinkgoT().TempDir(), "ca.pem")
		block := &pem.Block{Type: "CERTIFICATE", Bytes: server.Certificate().Raw}
		Expect(os.WriteFile(authority, pem.EncodeToMemory(block), 0o600)).To(Succeed())
		runWithCA := func(path string) int {
			return run(context.Background(), []string{"--operator", server.Listener.Addr().String(), "--ca-file", path, "workers"}, nil, io.Discard, io.Discard)
		}
		Expect(runWithCA(authority)).To(Equal(exitOK))
		other := filepath.Join(GinkgoT().TempDir(), "other.pem")
		Expect(os.WriteFile(other, selfSigned(), 0o600)).To(Succeed())
		Expect(runWithCA(other)).To(Equal(exitUnavailable))
		Expect(runWithCA("/dev/null")).To(Equal(exitInput))
	})

	// A flag that is not sent makes the request run with other parameters.
	It("send the values of their flags", func() {
		s := &stub{outcome: newOutcome(callerv1.Status_STATUS_WAITING)}
		code, _, _ := s.command("lot", "submit", "gates", "season", "--id", "s1", "--kind", "batch", "--class", "background", "--tasks", "3", "--gang",
			"--idempotent", "false", "--milli-cpu", "250", "--deadline-seconds", "60", "--no-wait")
		Expect(code).To(Equal(exitOK))
		m := s.submits[0]
		Expect(m.GetDeadline()).NotTo(BeNil())
		m.Deadline = nil
		idempotent := false
		want := &callerv1.SubmitRequest{
			RequestId: "s1", Team: "gates", Workload: "season", Kind: callerv1.Kind_KIND_BATCH, Class: callerv1.Class_CLASS_BACKGROUND,
			Tasks: 3, Gang: true, Idempotent: &idempotent, Resources: &callerv1.Resources{MilliCpu: 250}, Body: []byte("lot"), NoWait: true,
		}
		Expect(m.String()).To(Equal(want.String()))

		s.edit = &operatorv1.EditSectionResponse{Result: operatorv1.EditResult_EDIT_RESULT_COMMITTED}
		code, _, _ = s.command("{}", "document", "edit", "gates", "--revision", "0", "--edit-id", "e1")
		Expect(code).To(Equal(exitOK))
		Expect(s.edits[0].GetSectionRevision()).To(BeZero())
		Expect(s.edits[0].GetEditId()).To(Equal("e1"))
		code, _, _ = s.command("", "drain", "w1", "w2")
		Expect(code).To(Equal(exitOK))
		Expect(s.edits[1].GetBody()).To(MatchJSON(`{"owners":["operators"],"drained_workers":["w1","w2"]}`))
	})

	// Scripts parse the output, and the text of a section is piped back into an edit.
	It("print results", func() {
		s := &stub{outcome: newOutcome(callerv1.Status_STATUS_DONE)}
		page := filepath.Join(GinkgoT().TempDir(), "page.html")
		tests := []struct {
			args   []string
			stdout string
		}{
			{[]string{"document", "show", "cell"}, "{\"owners\":[\"operators\"]}\n"},
			{[]string{"document", "show"}, "SECTION  REVISION  OWNERS  EDIT\ncell     4         -       -\n"},
			{[]string{"workers"}, "draining"},
			{[]string{"explain", "r"}, "w1"},
			{[]string{"timeline"}, "entry-1"},
			{[]string{"--output", "json", "timeline"}, `"process": "entry-1"`},
			{[]string{"--output", "json", "status", "r"}, "{\n  \"request_id\": \"r\",\n  \"status\": \"STATUS_DONE\""},
			{[]string{"timeline", "--html", page}, ""},
			{[]string{"document", "edit", "--help"}, "document edit cell < cell.json"},
		}
		for _, test := range tests {
			code, stdout, stderr := s.command("", test.args...)
			Expect(code).To(Equal(exitOK), "%v: %s", test.args, stderr)
			Expect(stdout).To(ContainSubstring(test.stdout))
		}
		html, err := os.ReadFile(page)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(html)).To(ContainSubstring("entry-1"))
	})
})
