package tableservicestandin

import (
	"context"
	"sync"
	"time"

	"fuchsiacross/model"
	"fuchsiacross/platformv1"
)

// listHistory is the number of former lists kept for a list that lags.
const listHistory = 1000

// listed is the list from a time on.
type listed struct {
	at       time.Time
	version  uint64
	response *platformv1.InstanceListResponse
}

// list is the list of workers and instances with its history.
type list struct {
	mu      sync.Mutex
	history []listed
}

func newList() *list {
	return &list{history: []listed{{version: 1, response: &platformv1.InstanceListResponse{Version: 1}}}}
}

// SetList replaces the list of workers and instances.
func (p *Platform) SetList(workers []model.Worker, instances []model.Instance) {
	response := &platformv1.InstanceListResponse{}
	for _, w := range workers {
		response.Workers = append(response.Workers, &platformv1.WorkerEntry{
			Id:         string(w.ID),
			Address:    w.Address.String(),
			DataCentre: string(w.DataCentre),
			Rack:       string(w.Rack),
			Leaving:    w.Leaving,
		})
	}
	for _, i := range instances {
		response.Instances = append(response.Instances, &platformv1.InstanceEntry{
			Id:          string(i.ID),
			PeerAddress: i.Address.String(),
			DataCentre:  string(i.DataCentre),
			Weight:      i.Weight,
			Leaving:     i.Leaving,
		})
	}
	p.list.set(response)
}

func (l *list) set(response *platformv1.InstanceListResponse) {
	l.mu.Lock()
	defer l.mu.Unlock()
	response.Version = l.history[len(l.history)-1].version + 1
	l.history = append(l.history, listed{at: time.Now(), version: response.Version, response: response})
	if len(l.history) > listHistory {
		l.history = l.history[1:]
	}
}

// get returns the list as it was at a time, or the oldest that is known.
func (l *list) get(at time.Time) listed {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := len(l.history) - 1; i > 0; i-- {
		if !l.history[i].at.After(at) {
			return l.history[i]
		}
	}
	return l.history[0]
}

// instanceService serves the list.
type instanceService struct{ p *Platform }

// List returns the list, or says that the asker has it.
func (s *instanceService) List(ctx context.Context, r *platformv1.InstanceListRequest) (*platformv1.InstanceListResponse, error) {
	if err := s.p.faults.read(); err != nil {
		return nil, err
	}
	f, _ := s.p.faults.get()
	l := s.p.list.get(time.Now().Add(-time.Duration(f.ListLagMilliseconds) * time.Millisecond))
	if r.Have == l.version {
		return &platformv1.InstanceListResponse{Version: l.version, Unchanged: true}, nil
	}
	return s.p.viewed(ctx, l.response), nil
}
