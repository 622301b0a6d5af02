package localcell

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"fuchsiacross/callerv1/callerv1connect"
	"fuchsiacross/daemon"
	"fuchsiacross/examples"
	"fuchsiacross/loopback"
	"fuchsiacross/model"
	"fuchsiacross/operatorv1"
	"fuchsiacross/operatorv1/operatorv1connect"
	"fuchsiacross/settings"
	"fuchsiacross/tableservice"
	"fuchsiacross/tableservicestandin"
	"fuchsiacross/workerstandin"
)

// Options configure a Cell.
type Options struct {
	Deployment Deployment
	Log        *zap.Logger // of the instances; nil for none
	Change     func(*settings.Settings)
}

// Cell is a running cell.
type Cell struct {
	o        Options
	platform *tableservicestandin.Platform
	recorder *workerstandin.Recorder
	workers  []*workerstandin.Worker
	entries  []*Instance
	operator credential
	hosts    *loopback.Network
	network  *network
}

// Entry is one instance of a cell with its clients.
type Instance struct {
	Info           model.Instance
	Settings       *settings.Settings
	Daemon         *daemon.Daemon // nil while the instance is down
	CallerClient   callerv1connect.CallerServiceClient
	OperatorClient operatorv1connect.OperatorServiceClient
}

// readyPoll is the time between two looks at whether the cell is ready.
const readyPoll = 20 * time.Millisecond

// Start starts a cell, commits the example document of the deployment and waits
// until every instance has it and every worker's lease is held.
func Start(ctx context.Context, o Options) (*Cell, error) {
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	c := &Cell{o: o, recorder: workerstandin.NewRecorder(), hosts: loopback.New(), network: newNetwork(o.Deployment)}
	if err := c.start(ctx); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

func (c *Cell) start(ctx context.Context) error {
	var err error
	if c.operator, err = newCredential(); err != nil {
		return err
	}
	if c.platform, err = tableservicestandin.New(tableservicestandin.Options{Address: anyPort()}); err != nil {
		return errors.Wrap(err, "platform")
	}
	c.network.place(c.platform.Address(), c.o.Deployment.DataCentres[0])
	if err := c.startWorkers(); err != nil {
		return err
	}
	for i := range c.o.Deployment.Instances {
		e, err := c.newEntry(i)
		if err != nil {
			return err
		}
		c.entries = append(c.entries, e)
	}
	c.publish()
	for _, e := range c.entries {
		if err := c.StartInstance(e); err != nil {
			return err
		}
	}
	if err := c.commitDocument(ctx); err != nil {
		return err
	}
	return c.WaitReady(ctx)
}

func anyPort() netip.AddrPort { return netip.MustParseAddrPort("127.0.0.1:0") }

func (c *Cell) startWorkers() error {
	d := c.o.Deployment
	for i := range d.Workers {
		centre := d.DataCentres[i%len(d.DataCentres)]
		rack := i / len(d.DataCentres) / d.WorkersPerRack
		w, err := workerstandin.New(workerstandin.Options{
			ID:         model.WorkerID(fmt.Sprintf("worker-%02d", i+1)),
			Address:    anyPort(),
			DataCentre: centre,
			Rack:       model.Rack(fmt.Sprintf("%s-rack-%d", centre, rack+1)),
			Capacity:   d.Capacity,
			Recorder:   c.recorder,
			Permissive: true,
			FetchBody: func(_ context.Context, digest model.Digest) ([]byte, error) {
				return c.platform.Object(tableservice.ObjectName(digest))
			},
		})
		if err != nil {
			return errors.Wrap(err, "worker")
		}
		c.network.place(w.Address(), centre)
		c.workers = append(c.workers, w)
	}
	return nil
}

// publish tells the platform's list about all workers and instances.
func (c *Cell) publish() {
	var workers []model.Worker
	for _, w := range c.workers {
		workers = append(workers, w.Info())
	}
	var instances []model.Instance
	for _, e := range c.entries {
		instances = append(instances, e.Info)
	}
	c.platform.SetList(workers, instances)
}

func (c *Cell) newEntry(i int) (*Instance, error) {
	d := c.o.Deployment
	s := settings.Default()
	for _, a := range []*netip.AddrPort{&s.CallerAddress, &s.OperatorAddress, &s.PeerAddress, &s.MetricsAddress} {
		var err error
		if *a, err = c.hosts.FreeAddress(i); err != nil {
			return nil, err
		}
	}
	s.Instance = model.InstanceID(fmt.Sprintf("entry-%d", i+1))
	s.DataCentre = d.DataCentres[i%len(d.DataCentres)]
	s.PlatformAddress = c.platform.Address()
	s.CredentialsFile = c.operator.file
	if c.o.Change != nil {
		c.o.Change(s)
	}
	c.network.place(s.PeerAddress, s.DataCentre)
	client := &http.Client{Transport: transport()}
	return &Instance{
		Info:           model.Instance{ID: s.Instance, Address: s.PeerAddress, DataCentre: s.DataCentre, Weight: 1},
		Settings:       s,
		CallerClient:   callerv1connect.NewCallerServiceClient(client, "http://"+s.CallerAddress.String()),
		OperatorClient: operatorv1connect.NewOperatorServiceClient(client, "http://"+s.OperatorAddress.String(), c.operator.option()),
	}, nil
}

// transport speaks HTTP/2 without TLS, so that many calls share a connection.
func transport() *http.Transport {
	protocols := &http.Protocols{}
	protocols.SetUnencryptedHTTP2(true)
	return &http.Transport{Protocols: protocols}
}

// StartEntry starts an instance that is down.
func (c *Cell) StartInstance(e *Instance) error {
	d, err := daemon.New(e.Settings, c.o.Log.With(zap.String("instance", string(e.Info.ID))), daemon.Options{
		Dial: c.network.dial(e.Info.DataCentre),
	})
	if err != nil {
		return errors.Wrapf(err, "instance %s", e.Info.ID)
	}
	e.Daemon = d
	return nil
}

func (c *Cell) commitDocument(ctx context.Context) error {
	sections, err := examples.Sections(c.o.Deployment.Name)
	if err != nil {
		return err
	}
	for _, s := range sections {
		r, err := c.entries[0].OperatorClient.EditSection(ctx, &operatorv1.EditSectionRequest{
			Section: s.Name,
			Body:    string(s.Body),
			EditId:  "example-" + s.Name,
		})
		if err != nil {
			return errors.Wrapf(err, "edit section %s", s.Name)
		}
		if r.GetResult() != operatorv1.EditResult_EDIT_RESULT_COMMITTED {
			return errors.Errorf("edit of section %s: %s %v", s.Name, r.GetResult(), r.GetFindings())
		}
	}
	return nil
}

// WaitReady waits until every running instance has the newest document and
// every worker's lease is held.
func (c *Cell) WaitReady(ctx context.Context) error {
	for {
		err := c.notReady(ctx)
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrap(err, "cell is not ready")
		case <-time.After(readyPoll):
		}
	}
}

func (c *Cell) notReady(ctx context.Context) error {
	var newest uint64
	held := 0
	for _, e := range c.entries {
		if e.Daemon == nil {
			continue
		}
		r, err := e.OperatorClient.Instances(ctx, &operatorv1.InstancesRequest{})
		if err != nil {
			return err
		}
		self := r.GetInstances()[0]
		held += int(self.GetWorkers())
		if newest == 0 {
			newest = self.GetDocumentRevision()
		}
		if newest == 0 || self.GetDocumentRevision() != newest {
			return errors.Errorf("%s has document revision %d", e.Info.ID, self.GetDocumentRevision())
		}
	}
	if held != len(c.workers) {
		return errors.Errorf("%d of %d leases are held", held, len(c.workers))
	}
	return nil
}

// Entries returns the instances.
func (c *Cell) Instances() []*Instance { return c.entries }

// Workers returns the workers' stand-ins.
func (c *Cell) Workers() []*workerstandin.Worker { return c.workers }

// Platform returns the platform's stand-in.
func (c *Cell) Platform() *tableservicestandin.Platform { return c.platform }

// Recorder returns what the workers have recorded.
func (c *Cell) Recorder() *workerstandin.Recorder { return c.recorder }

// Close ends the cell.
func (c *Cell) Close() {
	for _, e := range c.entries {
		c.Kill(e)
	}
	for _, w := range c.workers {
		w.Close()
	}
	if c.platform != nil {
		_ = c.platform.Close()
	}
	c.network.close()
	c.operator.remove()
}

// Entry returns the instance with an identifier.
func (c *Cell) Instance(id string) (*Instance, error) {
	for _, e := range c.entries {
		if string(e.Info.ID) == id {
			return e, nil
		}
	}
	return nil, errors.Errorf("no instance is called %q", id)
}

// Kill ends an instance at once, as the loss of its machine would.
func (c *Cell) Kill(e *Instance) {
	if e.Daemon == nil {
		return
	}
	e.Daemon.Kill()
	e.Daemon = nil
}

// Stop shuts an instance down without interrupting a request.
func (c *Cell) Stop(ctx context.Context, e *Instance) error {
	if e.Daemon == nil {
		return nil
	}
	d := e.Daemon
	e.Daemon = nil
	return d.Shutdown(ctx)
}

// TokenFile writes the operators' token to a file for the client and returns
// its path. The file is removed with the cell.
func (c *Cell) TokenFile() (string, error) {
	path := filepath.Join(filepath.Dir(c.operator.file), "token")
	if err := os.WriteFile(path, []byte(c.operator.token), 0o600); err != nil {
		return "", errors.Wrap(err, "token")
	}
	return path, nil
}
