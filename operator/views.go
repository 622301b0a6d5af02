package operator

import (
	"context"
	"net/netip"
	"time"

	"google.golang.org/protobuf/types/known/timestamppb"

	"fuchsiacross/event"
	"fuchsiacross/finding"
	"fuchsiacross/model"
	"fuchsiacross/operatorv1"
	"fuchsiacross/rpcserver"
)

// maxTimelineRecords limits the records in one response, to about 2 MB.
const maxTimelineRecords = 10_000

// Workers returns the state of all workers that the instance knows.
func (s *Server) Workers(ctx context.Context, _ *operatorv1.WorkersRequest) (*operatorv1.WorkersResponse, error) {
	views, err := queryReducer[[]event.WorkerView](ctx, s, event.ViewWorkers, "")
	if err != nil {
		return nil, err
	}
	response := &operatorv1.WorkersResponse{}
	for _, v := range views {
		response.Workers = append(response.Workers, &operatorv1.Worker{
			Id:          string(v.Worker.ID),
			Address:     formatAddress(v.Worker.Address),
			DataCentre:  string(v.Worker.DataCentre),
			Rack:        string(v.Worker.Rack),
			Leaving:     v.Worker.Leaving,
			Term:        uint64(v.Term),
			Holder:      string(v.Holder),
			Capacity:    resourcesToProto(v.Capacity),
			Reserved:    resourcesToProto(v.Reserved),
			Tasks:       uint32(v.Tasks),
			Draining:    v.Draining,
			Quarantined: v.Quarantined,
		})
	}
	return response, nil
}

// Instances returns the state of all instances that the instance knows.
func (s *Server) Instances(ctx context.Context, _ *operatorv1.InstancesRequest) (*operatorv1.InstancesResponse, error) {
	views, err := queryReducer[[]event.InstanceView](ctx, s, event.ViewInstances, "")
	if err != nil {
		return nil, err
	}
	response := &operatorv1.InstancesResponse{}
	for _, v := range views {
		response.Instances = append(response.Instances, &operatorv1.Instance{
			Id:               string(v.Instance.ID),
			Address:          formatAddress(v.Instance.Address),
			DataCentre:       string(v.Instance.DataCentre),
			Self:             v.Self,
			Live:             v.Live,
			Draining:         v.Draining,
			DocumentRevision: uint64(v.Revision),
			Workers:          uint32(v.Workers),
			HeardFrom:        timeToProto(v.LastHeartbeatAt),
		})
	}
	return response, nil
}

// Queue returns the requests that wait at the instance.
func (s *Server) Queue(ctx context.Context, _ *operatorv1.QueueRequest) (*operatorv1.QueueResponse, error) {
	views, err := queryReducer[[]event.QueueView](ctx, s, event.ViewQueue, "")
	if err != nil {
		return nil, err
	}
	response := &operatorv1.QueueResponse{}
	for _, v := range views {
		response.Waiting = append(response.Waiting, &operatorv1.Waiting{
			RequestId: string(v.Request),
			Team:      string(v.Team),
			Workload:  string(v.Workload),
			Class:     v.Class.String(),
			Since:     timeToProto(v.QueuedAt),
			Deadline:  timeToProto(v.Deadline),
			Reason:    v.Reason,
		})
	}
	return response, nil
}

// Explain returns the state of one request and of its attempts.
func (s *Server) Explain(ctx context.Context, m *operatorv1.ExplainRequest) (*operatorv1.ExplainResponse, error) {
	fs := rpcserver.FindUnknownFields(m)
	if m.GetRequestId() == "" {
		fs.Add("request_id", "is missing")
	}
	if fs.Any() {
		return nil, rpcserver.InvalidArgument(fs)
	}
	v, err := queryReducer[event.ExplainView](ctx, s, event.ViewExplain, model.RequestID(m.GetRequestId()))
	if err != nil {
		return nil, err
	}
	response := &operatorv1.ExplainResponse{
		RequestId:  m.GetRequestId(),
		Status:     v.Status.String(),
		Home:       string(v.Home),
		Reason:     v.Reason,
		AnsweredBy: string(s.options.Instance),
	}
	if v.Durability != 0 {
		response.Durability = v.Durability.String()
	}
	for _, a := range v.Attempts {
		response.Attempts = append(response.Attempts, &operatorv1.AttemptInfo{
			Task:   a.Attempt.Task,
			Number: a.Attempt.Number,
			Worker: string(a.Worker),
			State:  a.State,
			At:     timeToProto(a.At),
			Reason: a.Reason,
		})
	}
	return response, nil
}

// Timeline returns the latest records of this process: at most 10,000, which is also
// the default.
func (s *Server) Timeline(_ context.Context, m *operatorv1.TimelineRequest) (*operatorv1.TimelineResponse, error) {
	fs := rpcserver.FindUnknownFields(m)
	var after time.Time
	if m.GetAfter() != nil {
		if err := m.GetAfter().CheckValid(); err != nil {
			fs = append(fs, finding.Finding{Place: "after", Message: err.Error()})
		}
		after = m.GetAfter().AsTime()
	}
	if fs.Any() {
		return nil, rpcserver.InvalidArgument(fs)
	}
	limit := int(m.GetLimit())
	if limit == 0 || limit > maxTimelineRecords {
		limit = maxTimelineRecords
	}
	response := &operatorv1.TimelineResponse{Process: string(s.options.Instance)}
	for _, r := range s.options.Timeline.Select(after, model.RequestID(m.GetRequestId()), limit) {
		response.Records = append(response.Records, &operatorv1.TimelineRecord{
			At:        timestamppb.New(r.At),
			Process:   r.Process,
			Sequence:  r.Sequence,
			Kind:      r.Kind,
			RequestId: string(r.Request),
			Task:      r.Attempt.Task,
			Attempt:   r.Attempt.Number,
			Worker:    string(r.Worker),
			Peer:      string(r.Peer),
			Detail:    r.Detail,
		})
	}
	return response, nil
}

// formatAddress formats an address. It returns an empty string for the zero address.
func formatAddress(a netip.AddrPort) string {
	if !a.IsValid() {
		return ""
	}
	return a.String()
}

// timeToProto converts a time. It returns nil for the zero time.
func timeToProto(t time.Time) *timestamppb.Timestamp {
	if t.IsZero() {
		return nil
	}
	return timestamppb.New(t)
}

func resourcesToProto(r model.Resources) *operatorv1.Resources {
	return &operatorv1.Resources{
		MilliCpu:     r.MilliCPU,
		MemoryBytes:  r.MemoryBytes,
		Accelerators: r.Accelerators,
		Slots:        r.Slots,
	}
}
