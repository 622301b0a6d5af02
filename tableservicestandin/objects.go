package tableservicestandin

import (
	"context"
	"sync"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"

	"fuchsiacross/platformv1"
)

// objects is the object store in memory.
type objects struct {
	mu     sync.Mutex
	byName map[string][]byte
}

func newObjects() *objects { return &objects{byName: make(map[string][]byte)} }

// Object returns a stored object.
func (p *Platform) Object(name string) ([]byte, error) {
	p.objects.mu.Lock()
	defer p.objects.mu.Unlock()
	data, ok := p.objects.byName[name]
	if !ok {
		return nil, errors.Errorf("object %q does not exist", name)
	}
	return data, nil
}

// objectService serves the object store.
type objectService struct{ p *Platform }

// Put stores an object.
func (s *objectService) Put(_ context.Context, r *platformv1.PutRequest) (*platformv1.PutResponse, error) {
	if err := s.p.faults.write(0); err != nil {
		return nil, err
	}
	o := s.p.objects
	o.mu.Lock()
	defer o.mu.Unlock()
	o.byName[r.Name] = r.Data
	return &platformv1.PutResponse{}, nil
}

// Get returns an object.
func (s *objectService) Get(_ context.Context, r *platformv1.GetRequest) (*platformv1.GetResponse, error) {
	if err := s.p.faults.read(); err != nil {
		return nil, err
	}
	o := s.p.objects
	o.mu.Lock()
	defer o.mu.Unlock()
	data, ok := o.byName[r.Name]
	if !ok {
		return nil, connect.NewError(connect.CodeNotFound, errors.Errorf("object %q does not exist", r.Name))
	}
	return &platformv1.GetResponse{Data: data}, nil
}

// Delete removes an object.
func (s *objectService) Delete(_ context.Context, r *platformv1.DeleteRequest) (*platformv1.DeleteResponse, error) {
	if err := s.p.faults.write(0); err != nil {
		return nil, err
	}
	o := s.p.objects
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.byName, r.Name)
	return &platformv1.DeleteResponse{}, nil
}
