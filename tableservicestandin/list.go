package tableservicestandin

import (
	"context"
	"sync"
	"time"

	"fuchsiacross/model"
	"fuchsiacross/platformv1"
)

// maxListHistory limits the versions that are kept to serve outdated lists, the
// fault ListLagMilliseconds.
const maxListHistory = 1000

// listVersion is one version of the list and the time at which it was set.
type listVersion struct {
	validFrom time.Time
	version   uint64
	response  *platformv1.InstanceListResponse
}

// listHistory holds the latest versions of the list of workers and instances, in
// ascending order.
type listHistory struct {
	mu       sync.Mutex
	versions []listVersion
}

func newListHistory() *listHistory {
	return &listHistory{versions: []listVersion{{version: 1, response: &platformv1.InstanceListResponse{Version: 1}}}}
}

// SetList replaces the list of workers and instances by a new version.
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
	p.list.add(response)
}

// add sets the version of a list and appends it.
func (l *listHistory) add(response *platformv1.InstanceListResponse) {
	l.mu.Lock()
	defer l.mu.Unlock()
	response.Version = l.versions[len(l.versions)-1].version + 1
	l.versions = append(l.versions, listVersion{validFrom: time.Now(), version: response.Version, response: response})
	if len(l.versions) > maxListHistory {
		l.versions = l.versions[1:]
	}
}

// get returns the version that was current at a time, or the oldest that is kept.
func (l *listHistory) get(at time.Time) listVersion {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := len(l.versions) - 1; i > 0; i-- {
		if !l.versions[i].validFrom.After(at) {
			return l.versions[i]
		}
	}
	return l.versions[0]
}

// instanceService implements InstanceService.
type instanceService struct{ p *Platform }

// List returns the list, or Unchanged if the client already has the version that is
// served.
func (s *instanceService) List(ctx context.Context, r *platformv1.InstanceListRequest) (*platformv1.InstanceListResponse, error) {
	if err := s.p.injector.admitRead(); err != nil {
		return nil, err
	}
	f, _ := s.p.injector.get()
	l := s.p.list.get(time.Now().Add(-time.Duration(f.ListLagMilliseconds) * time.Millisecond))
	if r.Have == l.version {
		return &platformv1.InstanceListResponse{Version: l.version, Unchanged: true}, nil
	}
	return s.p.applyView(ctx, l.response), nil
}
