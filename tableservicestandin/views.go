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

// Views replaces the peer addresses of instances in the list for the clients that
// connect to an IP address of the platform. The outer key is the IP address at the
// platform, the inner key the instance whose address is replaced. Tests thus put
// a simulated link between each pair of instances.
type Views map[netip.Addr]map[model.InstanceID]netip.AddrPort

// SetViews replaces the views. A client sees them with the next version of the list
// that it does not have.
func (p *Platform) SetViews(v Views) { p.views.Store(&v) }

// applyView returns the list with the peer addresses for the client of a call.
func (p *Platform) applyView(ctx context.Context, response *platformv1.InstanceListResponse) *platformv1.InstanceListResponse {
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
