package replica

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreypond/internal/cluster/consensus"
)

var _ = Describe("peers", func() {
	const second = time.Second
	var known *peers

	contact := func(at time.Duration, address string, avoidsLeadership bool) {
		known.recordContact(&Envelope{From: 2, Address: address, Reluctant: avoidsLeadership}, at)
	}
	member := func(address string) []consensus.Member {
		return []consensus.Member{{ID: 2, Address: address}}
	}

	BeforeEach(func() {
		known = newPeers(consensus.Member{ID: 1, Address: "self"})
	})

	It("has the address of its own process, and none of an unknown peer", func() {
		Expect(known.address(1)).To(Equal("self"))
		Expect(known.address(2)).To(BeEmpty())
		Expect(known.acceptsLeadership(2, second)).To(BeFalse())
		Expect(known.sinceContact(2, 3*second)).To(Equal(3 * second))
	})

	It("prefers an address that a peer has announced within 5 s to that of a membership", func() {
		known.learnAddresses(member("old"), 0)
		Expect(known.address(2)).To(Equal("old"))
		contact(second, "new", false)
		known.learnAddresses(member("old"), 2*second)
		Expect(known.address(2)).To(Equal("new"))
		known.learnAddresses(member("newest"), 10*second)
		Expect(known.address(2)).To(Equal("newest"))
	})

	It("measures how long contact has been steady, from zero again after a gap or avoided leadership", func() {
		for at := second; at <= 6*second; at += second / 2 {
			contact(at, "", false)
		}
		Expect(known.steadyFor(2, 6*second)).To(Equal(5 * second))
		Expect(known.steadyFor(2, 8*second)).To(BeZero(), "the last contact is more than maxContactGap ago")
		contact(8*second, "", false)
		Expect(known.steadyFor(2, 8*second)).To(BeZero())
		contact(8*second+second/2, "", true)
		contact(9*second, "", false)
		Expect(known.steadyFor(2, 9*second)).To(Equal(second / 2))
		Expect(known.acceptsLeadership(2, 9*second)).To(BeFalse())
		Expect(known.acceptsLeadership(2, 11*second)).To(BeTrue())
	})
})
