package peer_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fuchsiacross/event"
	"fuchsiacross/membership"
	"fuchsiacross/model"
	"fuchsiacross/peer"
)

var _ = Describe("traffic", func() {
	// Guards against overhead that the heartbeat test does not count, such as
	// WebSocket headers and keepalive frames. All traffic of the links must stay
	// within half of the 29 KB/s that a daemon has for control traffic.
	It("of 99 links stays within half of the control traffic budget", func() {
		const budget = 29_000 / 2
		inDataCentre := func(centre string) func(*peer.Options) {
			return func(o *peer.Options) { o.Self.DataCentre = model.DataCentre(centre) }
		}
		hub := newEndpoint("entry-00", 1, inDataCentre("centre-0"))
		all := []*endpoint{hub}
		instances := []model.Instance{hub.instance}
		for i := range 99 {
			centre := fmt.Sprintf("centre-%d", (i+1)%15)
			e := newEndpoint(model.InstanceID(fmt.Sprintf("entry-%02d", i+1)), 1, inDataCentre(centre))
			e.instance.DataCentre = model.DataCentre(centre)
			all = append(all, e)
			instances = append(instances, e.instance)
		}
		hub.instance.DataCentre = "centre-0"
		instances[0] = hub.instance
		opening := time.Now()
		hub.links.SetPeers(instances)
		Eventually(hub.openLinks, "10s", "5ms").Should(Equal(int64(99)))
		fmt.Fprintf(GinkgoWriter, "99 links open in %v with %d B sent and %d B received\n",
			time.Since(opening).Round(time.Millisecond), hub.counter("peer.bytes_sent"), hub.counter("peer.bytes_received"))

		views := make([]*membership.View, len(all))
		for i := range all {
			views[i] = membership.New(instances[i], 1, uint64(i))
			views[i].UpdateList(time.Now(), instances)
		}
		// The hub sends to all of its targets. Each other instance sends only to the
		// hub, if the hub is one of its targets.
		sendHeartbeats := func() {
			for i, e := range all {
				for _, id := range views[i].HeartbeatTargets(time.Now()) {
					if i == 0 || id == hub.instance.ID {
						h := event.Heartbeat{Instance: e.instance.ID, Incarnation: 1, HeardPeers: views[i].HeardPeers(time.Now())}
						h.FreeCapacity[0].QueuedRequests = uint32(time.Now().UnixMilli())
						e.links.Apply(event.SendPeer{To: id, Message: h})
					}
				}
			}
		}
		run := func(d time.Duration) {
			for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
				sendHeartbeats()
			}
		}
		run(2600 * time.Millisecond) // includes the first heartbeat of every link
		before := hub.counter("peer.bytes_sent") + hub.counter("peer.bytes_received")
		messages := hub.counter("peer.messages_sent")
		const measurementDuration = 2400 * time.Millisecond
		run(measurementDuration)
		bytes := float64(hub.counter("peer.bytes_sent")+hub.counter("peer.bytes_received")-before) / measurementDuration.Seconds()
		rate := float64(hub.counter("peer.messages_sent")-messages) / measurementDuration.Seconds()
		fmt.Fprintf(GinkgoWriter, "99 links: %.1f KB/s in both directions, %.1f heartbeats/s sent\n", bytes/1000, rate)
		Expect(bytes).To(BeNumerically("<", budget))
		Expect(hub.openLinks()).To(Equal(int64(99)))
		Expect(postedEvents[event.PeerDown](hub)()).To(BeEmpty())
	})
})
