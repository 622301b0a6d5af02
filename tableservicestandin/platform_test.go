package tableservicestandin_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"

	"connectrpc.com/connect"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fuchsiacross/platformv1"
	"fuchsiacross/platformv1/platformv1connect"
	"fuchsiacross/tableservicestandin"
)

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// newPlatform starts a platform and returns it with its URL.
func newPlatform() (*tableservicestandin.Platform, string) {
	p, err := tableservicestandin.New(tableservicestandin.Options{Address: loopback})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(p.Close)
	return p, "http://" + p.Address().String()
}

// callControl calls the control interface and returns the status and the body.
func callControl(method, url, body string) (int, string) {
	request, err := http.NewRequest(method, url, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	response, err := http.DefaultClient.Do(request)
	Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	Expect(err).NotTo(HaveOccurred())
	return response.StatusCode, string(data)
}

// commitRequest returns a transaction that writes one row, with its token as the value.
func commitRequest(token, key string, expected uint64) *platformv1.CommitRequest {
	return &platformv1.CommitRequest{
		Token:  token,
		Writes: []*platformv1.Write{{Key: key, ExpectedVersion: expected, Value: []byte(token)}},
	}
}

var _ = Describe("Platform", func() {
	ctx := context.Background()

	// If the table applied a write with an outdated version, it would hide a faulty
	// scheduler.
	It("applies conditional writes all or not at all", func() {
		_, url := newPlatform()
		table := platformv1connect.NewTableServiceClient(http.DefaultClient, url)
		r, err := table.Commit(ctx, commitRequest("t-1", "a", 0))
		Expect(err).NotTo(HaveOccurred())
		Expect(r.Applied).To(BeTrue())
		both := commitRequest("t-2", "a", 0)
		both.Writes = append(both.Writes, commitRequest("t-2", "b", 0).Writes...)
		r, err = table.Commit(ctx, both)
		Expect(err).NotTo(HaveOccurred())
		Expect(r.Applied).To(BeFalse())
		Expect(r.Conflicts).To(HaveLen(1))
		read, err := table.Read(ctx, &platformv1.ReadRequest{Key: "b"})
		Expect(err).NotTo(HaveOccurred())
		Expect(read.Row.Version).To(BeZero())
	})

	// A client that resolves a token relies on the answer, so a delayed commit with
	// the token must not take effect afterwards.
	It("rejects a token that was resolved as not applied", func() {
		_, url := newPlatform()
		table := platformv1connect.NewTableServiceClient(http.DefaultClient, url)
		resolved, err := table.Resolve(ctx, &platformv1.ResolveRequest{Token: "t-1"})
		Expect(err).NotTo(HaveOccurred())
		Expect(resolved.Applied).To(BeFalse())
		_, err = table.Commit(ctx, commitRequest("t-1", "a", 0))
		Expect(connect.CodeOf(err)).To(Equal(connect.CodeAborted))
		_, err = table.Commit(ctx, commitRequest("t-2", "a", 0))
		Expect(err).NotTo(HaveOccurred())
		again, err := table.Commit(ctx, commitRequest("t-2", "a", 0))
		Expect(err).NotTo(HaveOccurred())
		Expect(again.Applied).To(BeTrue())
		resolved, err = table.Resolve(ctx, &platformv1.ResolveRequest{Token: "t-2"})
		Expect(err).NotTo(HaveOccurred())
		Expect(resolved.Applied).To(BeTrue())
	})

	// Scenario scripts set faults and read counters only over HTTP.
	It("is controlled over HTTP", func() {
		_, url := newPlatform()
		table := platformv1connect.NewTableServiceClient(http.DefaultClient, url)
		tests := []struct {
			faults string
			code   connect.Code
		}{
			{`{"down":true}`, connect.CodeUnavailable},
			{`{"refuse_share":1}`, connect.CodeUnavailable},
			{`{"writes_per_second":-1,"lose_answers":1}`, connect.CodeUnknown},
		}
		for _, test := range tests {
			status, _ := callControl(http.MethodPut, url+"/standin/faults", test.faults)
			Expect(status).To(Equal(http.StatusOK))
			_, err := table.Commit(ctx, commitRequest("t-"+test.faults, test.faults, 0))
			Expect(err).To(HaveOccurred())
			if test.code != connect.CodeUnknown {
				Expect(connect.CodeOf(err)).To(Equal(test.code))
			}
		}
		status, _ := callControl(http.MethodPut, url+"/standin/faults", `{"unknown":1}`)
		Expect(status).To(Equal(http.StatusBadRequest))
		_, counters := callControl(http.MethodGet, url+"/standin/counters", "")
		Expect(counters).To(ContainSubstring(`"commits":1`))
		Expect(counters).To(ContainSubstring(`"lost_answers":1`))
		_, rows := callControl(http.MethodGet, url+"/standin/rows?prefix=%7B%22writes", "")
		Expect(rows).To(ContainSubstring(`"version":1`))
		status, _ = callControl(http.MethodPut, url+"/standin/list",
			`{"workers":[{"id":"w-1","address":"127.0.0.1:1","leaving":true}],"instances":[]}`)
		Expect(status).To(Equal(http.StatusOK))
		instances := platformv1connect.NewInstanceServiceClient(http.DefaultClient, url)
		list, err := instances.List(ctx, &platformv1.InstanceListRequest{})
		Expect(err).NotTo(HaveOccurred())
		Expect(list.Workers[0].Leaving).To(BeTrue())
		list, err = instances.List(ctx, &platformv1.InstanceListRequest{Have: list.Version})
		Expect(err).NotTo(HaveOccurred())
		Expect(list.Unchanged).To(BeTrue())
	})

	// If limits were not enforced, an instance that writes too much would go
	// unnoticed.
	It("throttles calls above the limits", func() {
		p, url := newPlatform()
		table := platformv1connect.NewTableServiceClient(http.DefaultClient, url)
		p.SetFaults(tableservicestandin.Faults{WritesPerSecond: 3})
		refused := 0
		for i := range 10 {
			_, err := table.Commit(ctx, commitRequest(string(rune('a'+i)), string(rune('a'+i)), 0))
			if connect.CodeOf(err) == connect.CodeResourceExhausted {
				refused++
			}
		}
		// The ten calls may fall into two seconds.
		Expect(refused).To(BeNumerically(">=", 4))
		Expect(p.Counters().Throttled).To(BeEquivalentTo(refused))
		Expect(p.Counters().PeakWrites).To(BeNumerically("<=", 3))
	})
})

var _ = Describe("Balancer", func() {
	// If the balancer sent callers to a dead entry, tests that stop an instance would
	// fail because of the balancer.
	It("distributes connections and skips entries that refuse them", func() {
		names := []string{"a", "b"}
		var entries []netip.AddrPort
		for _, name := range names {
			listener, err := net.Listen("tcp", loopback.String())
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(listener.Close)
			entries = append(entries, listener.Addr().(*net.TCPAddr).AddrPort())
			go func() {
				for {
					conn, err := listener.Accept()
					if err != nil {
						return
					}
					_, _ = conn.Write([]byte(name))
					_ = conn.Close()
				}
			}()
		}
		dead, err := net.Listen("tcp", loopback.String())
		Expect(err).NotTo(HaveOccurred())
		entries = append(entries, dead.Addr().(*net.TCPAddr).AddrPort())
		Expect(dead.Close()).To(Succeed())
		b, err := tableservicestandin.NewBalancer(loopback, entries)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(b.Close)
		var got string
		for range 6 {
			conn, err := net.Dial("tcp", b.Address().String())
			Expect(err).NotTo(HaveOccurred())
			data, err := io.ReadAll(conn)
			Expect(err).NotTo(HaveOccurred())
			_ = conn.Close()
			got += string(data)
		}
		Expect(got).To(Equal("abaaba"))
	})
})
