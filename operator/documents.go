package operator

import (
	"context"
	"fmt"
	"slices"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"
	"go.uber.org/zap"
	"google.golang.org/protobuf/types/known/timestamppb"

	"fuchsiacross/document"
	"fuchsiacross/finding"
	"fuchsiacross/logevent"
	"fuchsiacross/model"
	"fuchsiacross/operatorv1"
	"fuchsiacross/rpcserver"
)

const (
	defaultHistoryLimit = 100
	maxHistoryLimit     = 10_000
)

// ShowDocument returns the document in force at this instance or, on demand, the
// committed one. If the request names a section, only that section is returned.
func (s *Server) ShowDocument(ctx context.Context, m *operatorv1.ShowDocumentRequest) (*operatorv1.ShowDocumentResponse, error) {
	if fs := rpcserver.FindUnknownFields(m); fs.Any() {
		return nil, rpcserver.InvalidArgument(fs)
	}
	d := s.options.Document()
	if m.GetCommitted() {
		var err error
		if d, err = s.readDocument(ctx); err != nil {
			return nil, err
		}
	}
	sections := d.Sections
	if name := m.GetSection(); name != "" {
		section, ok := d.Section(name)
		if !ok {
			return nil, connect.NewError(connect.CodeNotFound, errors.Errorf("document revision %d has no section %q", d.Revision, name))
		}
		sections = []document.Section{*section}
	}
	response := &operatorv1.ShowDocumentResponse{Revision: uint64(d.Revision)}
	for _, section := range sections {
		response.Sections = append(response.Sections, sectionToProto(section))
	}
	return response, nil
}

// CheckSection returns findings about all errors in a section.
func (s *Server) CheckSection(_ context.Context, m *operatorv1.CheckSectionRequest) (*operatorv1.CheckSectionResponse, error) {
	if fs := rpcserver.FindUnknownFields(m); fs.Any() {
		return nil, rpcserver.InvalidArgument(fs)
	}
	fs := document.CheckSection(m.GetSection(), []byte(m.GetBody()))
	return &operatorv1.CheckSectionResponse{Findings: findingsToProto(fs)}, nil
}

// EditSection authorises, checks and commits an edit of one section.
func (s *Server) EditSection(ctx context.Context, m *operatorv1.EditSectionRequest) (*operatorv1.EditSectionResponse, error) {
	if fs := checkEditRequest(m); fs.Any() {
		return nil, rpcserver.InvalidArgument(fs)
	}
	team := teamFromContext(ctx)
	if team == "" {
		return nil, s.denyCall("editing needs credentials, and the instance has none configured")
	}
	body := []byte(m.GetBody())
	condition := model.Revision(m.GetSectionRevision())
	current, err := s.authoriseEdit(ctx, team, m.GetSection(), condition)
	if err != nil {
		return nil, err
	}
	if fs := document.CheckSection(m.GetSection(), body); fs.Any() {
		return &operatorv1.EditSectionResponse{
			Result:          operatorv1.EditResult_EDIT_RESULT_REFUSED,
			SectionRevision: uint64(current),
			Findings:        findingsToProto(fs),
		}, nil
	}
	if condition > current {
		return &operatorv1.EditSectionResponse{
			Result:          operatorv1.EditResult_EDIT_RESULT_CONFLICT,
			SectionRevision: uint64(current),
			Message:         fmt.Sprintf("the section has revision %d", current),
		}, nil
	}
	return s.commitEdit(ctx, Edit{
		ID:              m.GetEditId(),
		Section:         m.GetSection(),
		SectionRevision: condition,
		Body:            body,
		Team:            team,
		At:              s.options.Now(),
	})
}

func (s *Server) commitEdit(ctx context.Context, e Edit) (*operatorv1.EditSectionResponse, error) {
	result, err := s.options.Edit(ctx, e)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, errors.Wrap(err, "the edit was not committed"))
	}
	s.edits.Inc(1)
	editLogEvent(result.Status).Log(s.options.Log, zap.String("edit_id", e.ID), zap.String("section", e.Section), zap.String("team", string(e.Team)), zap.Uint8("status", uint8(result.Status)))
	return &operatorv1.EditSectionResponse{
		Result:           editResultToProto(result.Status),
		DocumentRevision: uint64(result.DocumentRevision),
		SectionRevision:  uint64(result.SectionRevision),
		Message:          result.Message,
	}, nil
}

func checkEditRequest(m *operatorv1.EditSectionRequest) finding.List {
	fs := rpcserver.FindUnknownFields(m)
	if !document.IsValidName(m.GetSection()) {
		fs.Add("section", fmt.Sprintf("%q is not the name of a section", m.GetSection()))
	}
	if n := len(m.GetEditId()); n == 0 || n > maxEditIDBytes {
		fs.Add("edit_id", fmt.Sprintf("length %d is outside 1 to %d bytes", n, maxEditIDBytes))
	}
	return fs
}

// authoriseEdit returns the revision of a section that this instance takes as current,
// or an error if the team may not edit the revision that is the condition of the edit.
// An edit whose condition is an older revision is permitted: it cannot commit anything,
// but it may be the retry of a committed edit whose result was lost.
func (s *Server) authoriseEdit(ctx context.Context, team model.Team, name string, condition model.Revision) (model.Revision, error) {
	owners, current := sectionOwners(s.options.Document(), name)
	if current != condition {
		d, err := s.readDocument(ctx)
		if err != nil {
			return 0, err
		}
		owners, current = sectionOwners(d, name)
	}
	switch {
	case condition < current:
		return current, nil
	case team == OperatorsTeam && (name == document.CellSection || current == 0):
		return current, nil
	case slices.Contains(owners, team):
		return current, nil
	}
	return 0, s.denyCall("team %s is not an owner of section %s", team, name)
}

// sectionOwners returns the owners and the revision of a section. The revision is 0 if
// the section does not exist.
func sectionOwners(d *document.Document, name string) ([]model.Team, model.Revision) {
	section, ok := d.Section(name)
	if !ok {
		return nil, 0
	}
	return section.Owners, section.Revision
}

// denyCall counts and logs a call that the team may not make, and returns its error.
func (s *Server) denyCall(format string, args ...any) error {
	s.deniedCalls.Inc(1)
	err := errors.Errorf(format, args...)
	logevent.OperatorCallRefused.Log(s.options.Log, zap.Error(err))
	return connect.NewError(connect.CodePermissionDenied, err)
}

func (s *Server) readDocument(ctx context.Context) (*document.Document, error) {
	d, err := s.options.ReadDocument(ctx)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, errors.Wrap(err, "read the committed document"))
	}
	return d, nil
}

// History returns committed edits, newest first: 100 by default and at most 10,000.
func (s *Server) History(ctx context.Context, m *operatorv1.HistoryRequest) (*operatorv1.HistoryResponse, error) {
	if fs := rpcserver.FindUnknownFields(m); fs.Any() {
		return nil, rpcserver.InvalidArgument(fs)
	}
	limit := int(m.GetLimit())
	if limit == 0 {
		limit = defaultHistoryLimit
	}
	entries, err := s.options.History(ctx, m.GetSection(), min(limit, maxHistoryLimit))
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, errors.Wrap(err, "read the history"))
	}
	response := &operatorv1.HistoryResponse{}
	for _, e := range entries {
		response.Edits = append(response.Edits, &operatorv1.Edit{
			EditId:           e.ID,
			Section:          e.Section,
			SectionRevision:  uint64(e.SectionRevision),
			DocumentRevision: uint64(e.DocumentRevision),
			Team:             string(e.Team),
			At:               timestamppb.New(e.At),
		})
	}
	return response, nil
}

func editResultToProto(s EditStatus) operatorv1.EditResult {
	switch s {
	case EditCommitted:
		return operatorv1.EditResult_EDIT_RESULT_COMMITTED
	case EditConflict:
		return operatorv1.EditResult_EDIT_RESULT_CONFLICT
	case EditRefused:
		return operatorv1.EditResult_EDIT_RESULT_REFUSED
	}
	return operatorv1.EditResult_EDIT_RESULT_UNKNOWN
}

func sectionToProto(s document.Section) *operatorv1.Section {
	m := &operatorv1.Section{Name: s.Name, Revision: uint64(s.Revision), EditId: s.EditID, Body: string(s.Body)}
	for _, o := range s.Owners {
		m.Owners = append(m.Owners, string(o))
	}
	return m
}

func findingsToProto(fs finding.List) []*operatorv1.Finding {
	var ms []*operatorv1.Finding
	for _, f := range fs.Sorted() {
		ms = append(ms, &operatorv1.Finding{Place: f.Place, Message: f.Message})
	}
	return ms
}

// editLogEvent returns the log event for the result of an edit.
func editLogEvent(s EditStatus) logevent.Event {
	switch s {
	case EditCommitted:
		return logevent.EditCommitted
	case EditUnknown:
		return logevent.EditUncertain
	default:
		return logevent.EditRejected
	}
}
