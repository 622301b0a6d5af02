package scenario

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"github.com/go-faster/errors"

	"fuchsiacross/callerv1/callerv1connect"
	"fuchsiacross/client"
	"fuchsiacross/operatorv1"
)

// callTimeoutSeconds limits one call of a check, so that an instance that does not
// answer delays a wait only briefly.
const callTimeoutSeconds = 2

// instance is one daemon of a cell.
type instance struct {
	process
	dataCentre      string
	callerAddress   netip.AddrPort
	operatorAddress netip.AddrPort
	peerAddress     netip.AddrPort
	metricsAddress  netip.AddrPort
	client          *client.Client // calls this instance only
	http2Client     callerv1connect.CallerServiceClient
}

// newHTTP2Client returns a client that speaks HTTP/2. A server that shuts down
// then announces the last call that it accepts. With HTTP/1 a call that the server
// never read cannot be distinguished from one that was interrupted.
func newHTTP2Client(entry netip.AddrPort) callerv1connect.CallerServiceClient {
	protocols := &http.Protocols{}
	protocols.SetUnencryptedHTTP2(true)
	h := &http.Client{Transport: &http.Transport{Protocols: protocols}}
	return callerv1connect.NewCallerServiceClient(h, "http://"+entry.String())
}

// instanceView is the state that an instance reports about itself and its peers.
type instanceView struct {
	documentRevision uint64
	heldWorkerCount  int
	live             map[string]bool // by instance, whether this one reports it as live
}

func (i *instance) readView() (instanceView, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeoutSeconds*time.Second)
	defer cancel()
	r, err := i.client.Instances(ctx)
	if err != nil {
		return instanceView{}, err
	}
	v := instanceView{live: map[string]bool{}}
	for _, x := range r.GetInstances() {
		v.live[x.GetId()] = x.GetLive()
		if x.GetSelf() {
			v.documentRevision, v.heldWorkerCount = x.GetDocumentRevision(), int(x.GetWorkers())
		}
	}
	return v, nil
}

// heldWorkers returns the workers whose lease the instance holds.
func (i *instance) heldWorkers() ([]string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeoutSeconds*time.Second)
	defer cancel()
	r, err := i.client.Workers(ctx)
	if err != nil {
		return nil, err
	}
	var held []string
	for _, w := range r.GetWorkers() {
		if w.GetHolder() == i.name {
			held = append(held, w.GetId())
		}
	}
	return held, nil
}

// editSection commits a section of the document if revision is the section's
// present revision.
func (i *instance) editSection(ctx context.Context, section, body string, revision uint64) error {
	r, err := i.client.EditSection(ctx, &operatorv1.EditSectionRequest{
		Section:         section,
		Body:            body,
		SectionRevision: revision,
		EditId:          client.NewID(),
	})
	if err != nil {
		return errors.Wrapf(err, "edit section %s", section)
	}
	if r.GetResult() != operatorv1.EditResult_EDIT_RESULT_COMMITTED {
		return errors.Errorf("edit of section %s: %s %v", section, r.GetResult(), r.GetFindings())
	}
	return nil
}
