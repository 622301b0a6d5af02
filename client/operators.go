package client

import (
	"bytes"
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/types/known/timestamppb"

	"fuchsiacross/document"
	"fuchsiacross/model"
	"fuchsiacross/operatorv1"
	"fuchsiacross/timeline"
)

// ShowDocument returns one section, or all sections if section is empty, of the document
// in force at the instance or of the committed document.
func (c *Client) ShowDocument(ctx context.Context, section string, committed bool) (*operatorv1.ShowDocumentResponse, error) {
	return failover(ctx, c.operators, false, func(ctx context.Context, e endpoint) (*operatorv1.ShowDocumentResponse, error) {
		return e.operator.ShowDocument(ctx, &operatorv1.ShowDocumentRequest{Section: section, Committed: committed})
	})
}

// CheckSection returns the findings of the server for the body of a section.
func (c *Client) CheckSection(ctx context.Context, section, body string) (*operatorv1.CheckSectionResponse, error) {
	return failover(ctx, c.operators, false, func(ctx context.Context, e endpoint) (*operatorv1.CheckSectionResponse, error) {
		return e.operator.CheckSection(ctx, &operatorv1.CheckSectionRequest{Section: section, Body: body})
	})
}

// SectionRevision returns the revision of a committed section, or 0 if the section does
// not exist.
func (c *Client) SectionRevision(ctx context.Context, section string) (model.Revision, error) {
	s, err := c.committedSection(ctx, section)
	return model.Revision(s.GetRevision()), err
}

// committedSection returns a section of the committed document, or nil if it has none.
func (c *Client) committedSection(ctx context.Context, name string) (*operatorv1.Section, error) {
	shown, err := c.ShowDocument(ctx, "", true)
	if err != nil {
		return nil, err
	}
	for _, s := range shown.GetSections() {
		if s.GetName() == name {
			return s, nil
		}
	}
	return nil, nil
}

// EditSection commits one section.
func (c *Client) EditSection(ctx context.Context, m *operatorv1.EditSectionRequest) (*operatorv1.EditSectionResponse, error) {
	return failover(ctx, c.operators, true, func(ctx context.Context, e endpoint) (*operatorv1.EditSectionResponse, error) {
		return e.operator.EditSection(ctx, m)
	})
}

// Drain edits the section of the cell: it adds workers to drained_workers, which get no
// new work, or with undo removes them.
func (c *Client) Drain(ctx context.Context, editID string, workers []model.WorkerID, undo bool) (*operatorv1.EditSectionResponse, error) {
	section, err := c.committedSection(ctx, document.CellSection)
	if err != nil {
		return nil, err
	}
	body := section.GetBody()
	if section == nil {
		body = `{"owners":["operators"]}`
	}
	body, err = editDrainedWorkers(body, workers, undo)
	if err != nil {
		return nil, err
	}
	return c.EditSection(ctx, &operatorv1.EditSectionRequest{
		Section:         document.CellSection,
		Body:            body,
		SectionRevision: section.GetRevision(),
		EditId:          editID,
	})
}

// editDrainedWorkers changes the field drained_workers in the text of a section. It
// keeps all other fields as they are written, including those unknown to this client.
func editDrainedWorkers(body string, workers []model.WorkerID, undo bool) (string, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal([]byte(body), &fields); err != nil {
		return "", errors.Wrap(err, "section cell")
	}
	var names []string
	if raw, ok := fields["drained_workers"]; ok {
		if err := json.Unmarshal(raw, &names); err != nil {
			return "", errors.Wrap(err, "section cell: /drained_workers")
		}
	}
	for _, w := range workers {
		names = slices.DeleteFunc(names, func(n string) bool { return n == string(w) })
		if !undo {
			names = append(names, string(w))
		}
	}
	slices.Sort(names)
	raw, err := json.Marshal(append([]string{}, names...))
	if err != nil {
		return "", errors.Wrap(err, "section cell")
	}
	fields["drained_workers"] = raw
	var b bytes.Buffer
	encoder := json.NewEncoder(&b)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(fields); err != nil {
		return "", errors.Wrap(err, "section cell")
	}
	return b.String(), nil
}

// History returns committed edits, newest first.
func (c *Client) History(ctx context.Context, section string, limit uint32) (*operatorv1.HistoryResponse, error) {
	return failover(ctx, c.operators, false, func(ctx context.Context, e endpoint) (*operatorv1.HistoryResponse, error) {
		return e.operator.History(ctx, &operatorv1.HistoryRequest{Section: section, Limit: limit})
	})
}

// Workers lists the workers that one instance knows.
func (c *Client) Workers(ctx context.Context) (*operatorv1.WorkersResponse, error) {
	return failover(ctx, c.operators, false, func(ctx context.Context, e endpoint) (*operatorv1.WorkersResponse, error) {
		return e.operator.Workers(ctx, &operatorv1.WorkersRequest{})
	})
}

// Instances lists the instances that one of them knows.
func (c *Client) Instances(ctx context.Context) (*operatorv1.InstancesResponse, error) {
	return failover(ctx, c.operators, false, func(ctx context.Context, e endpoint) (*operatorv1.InstancesResponse, error) {
		return e.operator.Instances(ctx, &operatorv1.InstancesRequest{})
	})
}

// Queue lists the requests that wait at one instance.
func (c *Client) Queue(ctx context.Context) (*operatorv1.QueueResponse, error) {
	return failover(ctx, c.operators, false, func(ctx context.Context, e endpoint) (*operatorv1.QueueResponse, error) {
		return e.operator.Queue(ctx, &operatorv1.QueueRequest{})
	})
}

// Explain asks every address for its state of a request. Answers with the status
// not_found are left out unless there are no others. It returns the answers together
// with the errors of the addresses that did not answer.
func (c *Client) Explain(ctx context.Context, id model.RequestID) ([]*operatorv1.ExplainResponse, error) {
	all, err := callAll(ctx, c.operators, func(ctx context.Context, e endpoint) (*operatorv1.ExplainResponse, error) {
		return e.operator.Explain(ctx, &operatorv1.ExplainRequest{RequestId: string(id)})
	})
	known := slices.DeleteFunc(slices.Clone(all), func(r *operatorv1.ExplainResponse) bool {
		return r.GetStatus() == model.StatusNotFound.String()
	})
	if len(known) == 0 {
		return all, err
	}
	return known, err
}

// Timeline asks every address for its timeline records and merges them. It returns the
// records together with the errors of the addresses that did not answer.
func (c *Client) Timeline(ctx context.Context, after time.Time, request model.RequestID, limit uint32) ([]timeline.Record, error) {
	m := &operatorv1.TimelineRequest{RequestId: string(request), Limit: limit}
	if !after.IsZero() {
		m.After = timestamppb.New(after)
	}
	answers, err := callAll(ctx, c.operators, func(ctx context.Context, e endpoint) (*operatorv1.TimelineResponse, error) {
		return e.operator.Timeline(ctx, m)
	})
	var lists [][]timeline.Record
	for _, r := range answers {
		lists = append(lists, timelineRecords(r))
	}
	return timeline.Merge(lists...), err
}

// callAll makes a call at all endpoints concurrently. It returns the answers in the order
// of the endpoints, and the errors of the endpoints that did not answer.
func callAll[R any](ctx context.Context, endpoints []endpoint, call func(context.Context, endpoint) (R, error)) ([]R, error) {
	if len(endpoints) == 0 {
		return nil, &Error{KindInput, errors.New("no address is given")}
	}
	answers := make([]R, len(endpoints))
	failures := make([]error, len(endpoints))
	var group sync.WaitGroup
	for i := range endpoints {
		group.Go(func() {
			answers[i], failures[i] = failover(ctx, endpoints[i:i+1], false, call)
		})
	}
	group.Wait()
	var got []R
	for i, err := range failures {
		if err == nil {
			got = append(got, answers[i])
		}
	}
	return got, errors.Join(failures...)
}

func timelineRecords(r *operatorv1.TimelineResponse) []timeline.Record {
	var rs []timeline.Record
	for _, m := range r.GetRecords() {
		rs = append(rs, timeline.Record{
			At:       m.GetAt().AsTime(),
			Process:  m.GetProcess(),
			Sequence: m.GetSequence(),
			Kind:     m.GetKind(),
			Request:  model.RequestID(m.GetRequestId()),
			Attempt: model.Attempt{
				Request: model.RequestID(m.GetRequestId()),
				Task:    m.GetTask(),
				Number:  m.GetAttempt(),
			},
			Worker: model.WorkerID(m.GetWorker()),
			Peer:   model.InstanceID(m.GetPeer()),
			Detail: m.GetDetail(),
		})
	}
	return rs
}
