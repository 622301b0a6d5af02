package tableservice

import (
	"context"
	"net/netip"
	"reflect"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"fuchsiacross/event"
	"fuchsiacross/logevent"
	"fuchsiacross/model"
	"fuchsiacross/platformv1"
)

// pollsPerRepost is the number of successful polls after which an unchanged list is
// posted again, so that the reducer can distinguish an unchanged list from one that
// cannot be read.
const pollsPerRepost = 10

// newListPoller returns a function that polls the list of workers and instances once.
// The function keeps the latest list between its calls and posts it when it changes,
// with the first successful poll after a failed one, and every pollsPerRepost polls.
func (c *Client) newListPoller() func(context.Context) {
	var (
		latest  event.PlatformListRead
		version uint64
		polls   int
	)
	return func(ctx context.Context) {
		request := &platformv1.InstanceListRequest{Have: version}
		response, err := invoke(ctx, c, readCall, 0, c.instances.List, request)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			polls = pollsPerRepost - 1 // Posts the list after the next successful poll.
			logevent.InstanceListFailed.Log(c.log, zap.Error(err))
			c.post(event.PlatformListFailed{Reason: err.Error()})
			return
		}
		polls++
		if !response.Unchanged {
			list, err := listFromResponse(response)
			if err != nil {
				c.post(event.PlatformListFailed{Reason: err.Error()})
				return
			}
			version = response.Version
			if latest.Workers == nil && latest.Instances == nil || !reflect.DeepEqual(list, latest) {
				latest, polls = list, 0
			}
		}
		if polls%pollsPerRepost == 0 {
			c.post(latest)
		}
	}
}

// listFromResponse converts the platform's list to an event.
func listFromResponse(response *platformv1.InstanceListResponse) (event.PlatformListRead, error) {
	var list event.PlatformListRead
	for _, w := range response.Workers {
		address, err := netip.ParseAddrPort(w.Address)
		if err != nil {
			return event.PlatformListRead{}, errors.Wrapf(err, "parse the address of worker %q", w.Id)
		}
		list.Workers = append(list.Workers, model.Worker{
			ID:         model.WorkerID(w.Id),
			Address:    address,
			DataCentre: model.DataCentre(w.DataCentre),
			Rack:       model.Rack(w.Rack),
			Leaving:    w.Leaving,
		})
	}
	for _, i := range response.Instances {
		address, err := netip.ParseAddrPort(i.PeerAddress)
		if err != nil {
			return event.PlatformListRead{}, errors.Wrapf(err, "parse the address of instance %q", i.Id)
		}
		list.Instances = append(list.Instances, model.Instance{
			ID:         model.InstanceID(i.Id),
			Address:    address,
			DataCentre: model.DataCentre(i.DataCentre),
			Weight:     i.Weight,
			Leaving:    i.Leaving,
		})
	}
	return list, nil
}
