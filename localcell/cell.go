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
	Deployment     Deployment
	Log            *zap.Logger // of the instances; nil for none
	ModifySettings func(*settings.Settings)
}

// Cell is a running cell: instances, workers and the platform's stand-in, all in
// this process.
type Cell struct {
	options            Options
	platform           *tableservicestandin.Platform
	recorder           *workerstandin.Recorder
	workers            []*workerstandin.Worker
	instances          []*Instance
	operatorCredential credential
	loopbackNetwork    *loopback.Network
	network            *network
}

// Instance is one instance of a cell with clients for it.
type Instance struct {
	Info           model.Instance
	Settings       *settings.Settings
	Daemon         *daemon.Daemon // nil while the instance is down
	CallerClient   callerv1connect.CallerServiceClient
	OperatorClient operatorv1connect.OperatorServiceClient
}

// readyPollInterval is the interval between two checks for a state that a caller
// waits for.
const readyPollInterval = 20 * time.Millisecond

// Start starts a cell, commits the example document of the deployment and waits
// until every instance has the document and every worker's lease is held.
func Start(ctx context.Context, o Options) (*Cell, error) {
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	c := &Cell{options: o, recorder: workerstandin.NewRecorder(), loopbackNetwork: loopback.New(), network: newNetwork(o.Deployment)}
	if err := c.startAll(ctx); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

func (c *Cell) startAll(ctx context.Context) error {
	var err error
	if c.operatorCredential, err = newCredential(); err != nil {
		return err
	}
	if c.platform, err = tableservicestandin.New(tableservicestandin.Options{Address: ephemeralAddress()}); err != nil {
		return errors.Wrap(err, "start platform stand-in")
	}
	c.network.setDataCentre(c.platform.Address(), c.options.Deployment.DataCentres[0])
	if err := c.startWorkers(); err != nil {
		return err
	}
	for i := range c.options.Deployment.Instances {
		instance, err := c.newInstance(i)
		if err != nil {
			return err
		}
		c.instances = append(c.instances, instance)
	}
	c.publishList()
	for _, instance := range c.instances {
		if err := c.StartInstance(instance); err != nil {
			return err
		}
	}
	if err := c.commitDocument(ctx); err != nil {
		return err
	}
	return c.WaitReady(ctx)
}

func ephemeralAddress() netip.AddrPort { return netip.MustParseAddrPort("127.0.0.1:0") }

func (c *Cell) startWorkers() error {
	d := c.options.Deployment
	for i := range d.Workers {
		centre := d.DataCentres[i%len(d.DataCentres)]
		rack := i / len(d.DataCentres) / d.WorkersPerRack
		w, err := workerstandin.New(workerstandin.Options{
			ID:         model.WorkerID(fmt.Sprintf("worker-%02d", i+1)),
			Address:    ephemeralAddress(),
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
			return errors.Wrap(err, "start worker stand-in")
		}
		c.network.setDataCentre(w.Address(), centre)
		c.workers = append(c.workers, w)
	}
	return nil
}

// publishList puts all workers and instances on the platform's list.
func (c *Cell) publishList() {
	var workers []model.Worker
	for _, w := range c.workers {
		workers = append(workers, w.Info())
	}
	var instances []model.Instance
	for _, instance := range c.instances {
		instances = append(instances, instance.Info)
	}
	c.platform.SetList(workers, instances)
}

func (c *Cell) newInstance(i int) (*Instance, error) {
	d := c.options.Deployment
	s := settings.Default()
	for _, a := range []*netip.AddrPort{&s.CallerAddress, &s.OperatorAddress, &s.PeerAddress, &s.MetricsAddress} {
		var err error
		if *a, err = c.loopbackNetwork.FreeAddress(i); err != nil {
			return nil, err
		}
	}
	s.Instance = model.InstanceID(fmt.Sprintf("entry-%d", i+1))
	s.DataCentre = d.DataCentres[i%len(d.DataCentres)]
	s.PlatformAddress = c.platform.Address()
	s.CredentialsFile = c.operatorCredential.file
	if c.options.ModifySettings != nil {
		c.options.ModifySettings(s)
	}
	c.network.setDataCentre(s.PeerAddress, s.DataCentre)
	client := &http.Client{Transport: newTransport()}
	return &Instance{
		Info:           model.Instance{ID: s.Instance, Address: s.PeerAddress, DataCentre: s.DataCentre, Weight: 1},
		Settings:       s,
		CallerClient:   callerv1connect.NewCallerServiceClient(client, "http://"+s.CallerAddress.String()),
		OperatorClient: operatorv1connect.NewOperatorServiceClient(client, "http://"+s.OperatorAddress.String(), c.operatorCredential.clientOption()),
	}, nil
}

// newTransport returns a transport that speaks HTTP/2 without TLS, so that
// concurrent calls share a connection.
func newTransport() *http.Transport {
	protocols := &http.Protocols{}
	protocols.SetUnencryptedHTTP2(true)
	return &http.Transport{Protocols: protocols}
}

// StartInstance starts an instance that is down.
func (c *Cell) StartInstance(instance *Instance) error {
	d, err := daemon.New(instance.Settings, c.options.Log.With(zap.String("instance", string(instance.Info.ID))), daemon.Options{
		Dial: c.network.dialFrom(instance.Info.DataCentre),
	})
	if err != nil {
		return errors.Wrapf(err, "start instance %s", instance.Info.ID)
	}
	instance.Daemon = d
	return nil
}

func (c *Cell) commitDocument(ctx context.Context) error {
	sections, err := examples.Sections(c.options.Deployment.Name)
	if err != nil {
		return err
	}
	for _, s := range sections {
		r, err := c.instances[0].OperatorClient.EditSection(ctx, &operatorv1.EditSectionRequest{
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
		err := c.checkReady(ctx)
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrap(err, "wait until the cell is ready")
		case <-time.After(readyPollInterval):
		}
	}
}

func (c *Cell) checkReady(ctx context.Context) error {
	var newest uint64
	held := 0
	for _, instance := range c.instances {
		if instance.Daemon == nil {
			continue
		}
		r, err := instance.OperatorClient.Instances(ctx, &operatorv1.InstancesRequest{})
		if err != nil {
			return err
		}
		self := r.GetInstances()[0]
		held += int(self.GetWorkers())
		if newest == 0 {
			newest = self.GetDocumentRevision()
		}
		if newest == 0 || self.GetDocumentRevision() != newest {
			return errors.Errorf("%s has document revision %d", instance.Info.ID, self.GetDocumentRevision())
		}
	}
	if held != len(c.workers) {
		return errors.Errorf("%d of %d leases are held", held, len(c.workers))
	}
	return nil
}

// Instances returns all instances, including those that are down.
func (c *Cell) Instances() []*Instance { return c.instances }

// Workers returns the worker stand-ins.
func (c *Cell) Workers() []*workerstandin.Worker { return c.workers }

// Platform returns the platform's stand-in.
func (c *Cell) Platform() *tableservicestandin.Platform { return c.platform }

// Recorder returns the recorder that all workers share.
func (c *Cell) Recorder() *workerstandin.Recorder { return c.recorder }

// Close kills all instances, stops the stand-ins and removes the files of the
// cell.
func (c *Cell) Close() {
	for _, instance := range c.instances {
		c.Kill(instance)
	}
	for _, w := range c.workers {
		w.Close()
	}
	if c.platform != nil {
		_ = c.platform.Close()
	}
	c.network.close()
	c.operatorCredential.remove()
}

// Instance returns the instance with an identifier, or an error if there is none.
func (c *Cell) Instance(id string) (*Instance, error) {
	for _, instance := range c.instances {
		if string(instance.Info.ID) == id {
			return instance, nil
		}
	}
	return nil, errors.Errorf("no instance is called %q", id)
}

// Kill stops an instance without a shutdown, as the loss of its machine would.
func (c *Cell) Kill(instance *Instance) {
	if instance.Daemon == nil {
		return
	}
	instance.Daemon.Kill()
	instance.Daemon = nil
}

// Stop shuts an instance down gracefully: requests in flight complete, at most
// until ctx ends.
func (c *Cell) Stop(ctx context.Context, instance *Instance) error {
	if instance.Daemon == nil {
		return nil
	}
	d := instance.Daemon
	instance.Daemon = nil
	return d.Shutdown(ctx)
}

// TokenFile writes the operators' token to a file for the command-line client
// and returns its path. Close removes the file.
func (c *Cell) TokenFile() (string, error) {
	path := filepath.Join(filepath.Dir(c.operatorCredential.file), "token")
	if err := os.WriteFile(path, []byte(c.operatorCredential.token), 0o600); err != nil {
		return "", errors.Wrap(err, "write token file")
	}
	return path, nil
}
