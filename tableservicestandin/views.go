package tableservicestandin

import (
	"context"
	"net"
	"net/http"
	"net/netip"

	"google.golang.org/protobuf/proto"

	"fuchsiacross/model"
	"fuchsiacross/platformv1"
)

// Views gives askers that connect to an IP address of the platform other peer
// addresses in the list, by instance. A test thus puts a link of its own
// between each pair of instances.
type Views map[netip.Addr]map[model.InstanceID]netip.AddrPort

// SetViews replaces the views. It takes effect for an asker with the next list
// that it does not have.
func (p *Platform) SetViews(v Views) { p.views.Store(&v) }

// viewed returns a list as the asker of a call sees it.
func (p *Platform) viewed(ctx context.Context, response *platformv1.InstanceListResponse) *platformv1.InstanceListResponse {
	views := p.views.Load()
	local, ok := ctx.Value(http.LocalAddrContextKey).(*net.TCPAddr)
	if views == nil || !ok {
		return response
	}
	view := (*views)[local.AddrPort().Addr().Unmap()]
	if view == nil {
		return response
	}
	response = proto.CloneOf(response)
	for _, i := range response.Instances {
		if address, ok := view[model.InstanceID(i.Id)]; ok {
			i.PeerAddress = address.String()
		}
	}
	return response
}
