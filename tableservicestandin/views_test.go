package tableservicestandin_test

import (
	"context"
	"net/http"
	"net/netip"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fuchsiacross/model"
	"fuchsiacross/platformv1"
	"fuchsiacross/platformv1/platformv1connect"
	"fuchsiacross/tableservicestandin"
)

var _ = Describe("Views", func() {
	// If a view affected other clients, a test that cuts one link would also
	// disconnect instances that it means to keep connected.
	It("changes the list only for clients that connect to its address", func() {
		p, err := tableservicestandin.New(tableservicestandin.Options{Address: netip.MustParseAddrPort("0.0.0.0:0")})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(p.Close)
		link := netip.MustParseAddrPort("127.0.0.9:1")
		p.SetViews(tableservicestandin.Views{netip.MustParseAddr("127.0.3.1"): {"b": link}})
		direct := netip.MustParseAddrPort("127.0.1.2:2")
		p.SetList(nil, []model.Instance{{ID: "b", Address: direct}})
		for _, c := range []struct {
			host netip.Addr
			want netip.AddrPort
		}{
			{netip.MustParseAddr("127.0.3.1"), link},
			{netip.MustParseAddr("127.0.3.2"), direct},
		} {
			at := netip.AddrPortFrom(c.host, p.Address().Port())
			client := platformv1connect.NewInstanceServiceClient(http.DefaultClient, "http://"+at.String())
			list, err := client.List(context.Background(), &platformv1.InstanceListRequest{})
			Expect(err).NotTo(HaveOccurred())
			Expect(list.Instances[0].PeerAddress).To(Equal(c.want.String()))
		}
	})
})
