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

// listRepeat is the number of successful polls after which an unchanged list is
// posted again, so that the reducer can tell an unchanged list from a lost one.
const listRepeat = 10

// listPoll returns the function that polls the list of instances once.
func (c *Client) listPoll() func(context.Context) {
	var (
		last  event.PlatformListRead
		have  uint64
		polls int
	)
	return func(ctx context.Context) {
		request := &platformv1.InstanceListRequest{Have: have}
		response, err := invoke(ctx, c, readCall, 0, c.instances.List, request)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			polls = listRepeat - 1 // The next success is posted.
			logevent.ListFailed.Log(c.log, zap.Error(err))
			c.post(event.PlatformListFailed{Reason: err.Error()})
			return
		}
		polls++
		if !response.Unchanged {
			list, err := listRead(response)
			if err != nil {
				c.post(event.PlatformListFailed{Reason: err.Error()})
				return
			}
			have = response.Version
			if last.Workers == nil && last.Instances == nil || !reflect.DeepEqual(list, last) {
				last, polls = list, 0
			}
		}
		if polls%listRepeat == 0 {
			c.post(last)
		}
	}
}

// listRead maps the platform's list to its event.
func listRead(response *platformv1.InstanceListResponse) (event.PlatformListRead, error) {
	var list event.PlatformListRead
	for _, w := range response.Workers {
		address, err := netip.ParseAddrPort(w.Address)
		if err != nil {
			return event.PlatformListRead{}, errors.Wrapf(err, "address of worker %q", w.Id)
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
			return event.PlatformListRead{}, errors.Wrapf(err, "address of instance %q", i.Id)
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
