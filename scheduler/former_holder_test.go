package scheduler_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fuchsiacross/event"
	"fuchsiacross/model"
)

func (n *node) status(id model.RequestID) event.Token {
	t := n.cell.recorder.openCall(n, &model.Request{ID: id}, false)
	n.receive(n.incarnation, event.Status{Token: t, Request: id})
	return t
}

// endAttempts ends all running attempts at a task of a request successfully.
func (c *testCell) endAttempts(id model.RequestID, task uint32) {
	for _, w := range c.workers {
		for a := range w.tasks {
			if a.Request == id && a.Task == task {
				w.end(a, model.TaskFinished, true)
			}
		}
	}
}

var _ = Describe("former holders of a partition", func() {
	var c *testCell
	BeforeEach(func() {
		c = newTestCell(7, 3, 4, smallWorker)
		c.run(2 * time.Second)
	})
	AfterEach(func() { Expect(c.recorder.faults).To(BeEmpty()) })

	// isolateHolder cuts the holder of a partition off from the store and from all
	// instances until another has claimed the partition.
	isolateHolder := func(id model.RequestID) *node {
		former := c.partitionHolder(id)
		c.cutLink(former.name(), "store")
		for _, n := range c.nodes {
			if n != former {
				c.cutLinkBothWays(former.name(), n.name())
			}
		}
		Expect(c.runUntil(5*time.Second, func() bool { return c.partitionHolder(id) != former })).To(BeTrue())
		c.run(time.Second)
		return former
	}
	// reconnect ends all cuts but that between an instance and the store.
	reconnect := func(n *node) {
		clear(c.cutLinks)
		c.cutLink(n.name(), "store")
		c.run(1500 * time.Millisecond)
	}

	It("lose no result of a request that the next holder has accepted", func() {
		q := c.newRequest("later", model.KindBatch, model.ClassStandard, false, 0)
		former := isolateHolder(q.ID)
		c.otherInstance(former).submit(q, false)
		Expect(c.runUntil(2*time.Second, func() bool { return c.startCount(q.ID) == 1 })).To(BeTrue())
		reconnect(former)
		c.endAttempts(q.ID, 0)
		c.run(2 * time.Second)
		clear(c.cutLinks)
		Expect(c.runUntil(40*time.Second, func() bool { return c.journaledStatus(q.ID) != 0 })).To(BeTrue())
		Expect(c.journaledStatus(q.ID)).To(Equal(model.StatusDone))
		Expect(c.startCount(q.ID)).To(Equal(1))
	})

	It("lose no result of one of several tasks before it is journaled", func() {
		q := c.newRequest("several", model.KindBatch, model.ClassStandard, false, 0)
		q.Tasks = 2
		former := c.partitionHolder(q.ID)
		c.otherInstance(former).submit(q, true)
		Expect(c.runUntil(2*time.Second, func() bool { return c.startCount(q.ID) == 2 })).To(BeTrue())
		c.run(100 * time.Millisecond)
		c.cutLink(former.name(), "store")
		c.endAttempts(q.ID, 0)
		c.run(1500 * time.Millisecond)
		former.kill()
		c.run(5 * time.Second)
		c.endAttempts(q.ID, 1)
		Expect(c.runUntil(40*time.Second, func() bool { return c.journaledStatus(q.ID) != 0 })).To(BeTrue())
		Expect(c.journaledStatus(q.ID)).To(Equal(model.StatusDone))
	})

	It("do not report not_found for a request that the next holder has accepted", func() {
		q := c.newRequest("asked", model.KindBatch, model.ClassStandard, false, 0)
		former := isolateHolder(q.ID)
		c.otherInstance(former).submit(q, false)
		Expect(c.runUntil(2*time.Second, func() bool { return c.startCount(q.ID) == 1 })).To(BeTrue())
		isolated := former.status(q.ID)
		reconnect(former)
		asked := c.otherInstance(former).status(q.ID)
		c.run(10 * time.Second)
		for _, token := range []event.Token{isolated, asked} {
			Expect(c.recorder.calls[token].open).To(BeFalse())
			if o := c.recorder.calls[token].outcome; o != nil {
				Expect(o.Status).NotTo(Equal(model.StatusNotFound))
			}
		}
		clear(c.cutLinks)
		c.run(5 * time.Second)
		c.endAttempts(q.ID, 0)
		Expect(c.runUntil(20*time.Second, func() bool { return c.journaledStatus(q.ID) == model.StatusDone })).To(BeTrue())
	})

	It("do not stop a later attempt of the next holder", func() {
		q := c.newRequest("again", model.KindBatch, model.ClassStandard, false, 0)
		q.Deadline = c.now.Add(time.Minute)
		former := c.partitionHolder(q.ID)
		c.otherInstance(former).submit(q, true)
		for _, w := range c.workers {
			for _, n := range c.nodes {
				c.cutLink(n.name(), w.name())
			}
		}
		Expect(c.runUntil(2*time.Second, func() bool { return c.hasJournaledIntent(q.ID) })).To(BeTrue())
		c.cutLink(former.name(), "store")
		for _, n := range c.nodes {
			if n != former {
				c.cutLinkBothWays(former.name(), n.name())
			}
		}
		c.run(1500 * time.Millisecond)
		for _, w := range c.workers {
			for _, n := range c.nodes {
				if n != former && w.self.DataCentre == former.self.DataCentre {
					delete(c.cutLinks, direction{n.name(), w.name()})
				}
			}
		}
		Expect(c.runUntil(10*time.Second, func() bool { return c.startCount(q.ID) == 1 })).To(BeTrue())
		reconnect(former)
		c.run(3 * time.Second)
		clear(c.cutLinks)
		c.run(3 * time.Second)
		c.endAttempts(q.ID, 0)
		Expect(c.runUntil(40*time.Second, func() bool { return c.journaledStatus(q.ID) != 0 })).To(BeTrue())
		Expect(c.journaledStatus(q.ID)).To(Equal(model.StatusDone))
		Expect(c.startCount(q.ID)).To(Equal(1))
	})

	It("do not stop a running attempt that they give up after a pause", func() {
		q := c.newRequest("paused", model.KindBatch, model.ClassStandard, false, 0)
		q.Deadline = c.now.Add(time.Minute)
		former := c.partitionHolder(q.ID)
		for _, w := range c.workers {
			c.cutLinkBothWays(former.name(), w.name())
		}
		c.run(3 * time.Second)
		c.otherInstance(former).submit(q, false)
		Expect(c.runUntil(2*time.Second, func() bool { return c.startCount(q.ID) == 1 })).To(BeTrue())
		for _, n := range c.nodes {
			if n != former {
				c.cutLink(n.name(), former.name())
			}
		}
		c.run(1500 * time.Millisecond)
		former.pause(20*time.Second, false)
		clear(c.cutLinks)
		c.run(25 * time.Second)
		c.endAttempts(q.ID, 0)
		Expect(c.runUntil(20*time.Second, func() bool { return c.journaledStatus(q.ID) != 0 })).To(BeTrue())
		Expect(c.journaledStatus(q.ID)).To(Equal(model.StatusDone))
		Expect(c.startCount(q.ID)).To(Equal(1))
	})

	It("release what they have reserved for an attempt that the next holder has made", func() {
		q := c.newRequest("same", model.KindBatch, model.ClassStandard, false, 0)
		home := c.partitionHolder(q.ID)
		home.submit(q, false)
		isAccepted := func() bool { _, ok := c.store.journalEntry(q.ID); return ok }
		for !isAccepted() {
			c.run(time.Millisecond)
		}
		former := isolateHolder(q.ID)
		Expect(former).To(Equal(home))
		Expect(c.runUntil(5*time.Second, func() bool { return c.startCount(q.ID) == 1 })).To(BeTrue())
		reconnect(former)
		c.endAttempts(q.ID, 0)
		c.run(2 * time.Second)
		clear(c.cutLinks)
		Expect(c.runUntil(20*time.Second, func() bool { return c.journaledStatus(q.ID) == model.StatusDone })).To(BeTrue())
		c.run(20 * time.Second)
		Expect(former.reducer.Leaks()).To(BeEmpty())
	})

	It("count the room of an attempt that the next holder has made", func() {
		q := c.newRequest("room", model.KindBatch, model.ClassStandard, false, 0)
		q.Resources.MilliCPU = 3000
		q.Deadline = c.now.Add(time.Minute)
		home := c.partitionHolder(q.ID)
		var own []*fakeWorker
		for _, w := range c.workers {
			if home.sessions[w.self.ID] != nil {
				own = append(own, w)
			}
		}
		Expect(own).To(HaveLen(2))
		c.cutLinkBothWays(home.name(), own[0].name())
		c.run(3 * time.Second)
		home.submit(q, false)
		isAccepted := func() bool { _, ok := c.store.journalEntry(q.ID); return ok }
		for !isAccepted() {
			c.run(time.Millisecond)
		}
		for _, w := range c.workers {
			for _, n := range c.nodes {
				if n != home && w != own[0] {
					c.cutLinkBothWays(n.name(), w.name())
				}
			}
		}
		former := isolateHolder(q.ID)
		Expect(c.runUntil(5*time.Second, func() bool { return own[0].used.MilliCPU == 3000 })).To(BeTrue())
		reconnect(former)
		Expect(own[0].holder).To(Equal(former))
		c.cutLink(former.name(), own[1].name())
		c.run(600 * time.Millisecond)
		delete(c.cutLinks, direction{former.name(), own[1].name()})
		c.run(time.Second)
		for i := range 6 {
			u := c.newRequest(fmt.Sprintf("urgent%d", i), model.KindRequest, model.ClassUrgent, true, 2*time.Second)
			u.Resources.MilliCPU = 2000
			former.submit(u, false)
		}
		c.run(3 * time.Second)
		c.endAttempts(q.ID, 0)
		clear(c.cutLinks)
		Expect(c.runUntil(40*time.Second, func() bool { return c.journaledStatus(q.ID) == model.StatusDone })).To(BeTrue())
		Expect(c.startCount(q.ID)).To(Equal(1))
	})
})
