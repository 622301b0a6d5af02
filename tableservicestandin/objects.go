package tableservicestandin

import (
	"context"
	"sync"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"

	"fuchsiacross/platformv1"
)

// objectStore is the object store, held in memory.
type objectStore struct {
	mu     sync.Mutex
	byName map[string][]byte
}

func newObjectStore() *objectStore { return &objectStore{byName: make(map[string][]byte)} }

// Object returns a stored object, or an error if it does not exist.
func (p *Platform) Object(name string) ([]byte, error) {
	p.objects.mu.Lock()
	defer p.objects.mu.Unlock()
	data, ok := p.objects.byName[name]
	if !ok {
		return nil, errors.Errorf("object %q does not exist", name)
	}
	return data, nil
}

// objectService implements ObjectService.
type objectService struct{ p *Platform }

// Put stores an object and replaces an earlier one of the same name.
func (s *objectService) Put(_ context.Context, r *platformv1.PutRequest) (*platformv1.PutResponse, error) {
	if err := s.p.injector.admitWrite(0); err != nil {
		return nil, err
	}
	o := s.p.objects
	o.mu.Lock()
	defer o.mu.Unlock()
	o.byName[r.Name] = r.Data
	return &platformv1.PutResponse{}, nil
}

// Get returns an object, or an error with code NotFound.
func (s *objectService) Get(_ context.Context, r *platformv1.GetRequest) (*platformv1.GetResponse, error) {
	if err := s.p.injector.admitRead(); err != nil {
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

// Delete removes an object. It succeeds if the object does not exist.
func (s *objectService) Delete(_ context.Context, r *platformv1.DeleteRequest) (*platformv1.DeleteResponse, error) {
	if err := s.p.injector.admitWrite(0); err != nil {
		return nil, err
	}
	o := s.p.objects
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.byName, r.Name)
	return &platformv1.DeleteResponse{}, nil
}
