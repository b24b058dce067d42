package failure_test

import (
	"testing"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"ospreypond/internal/cluster/failure"
)

func TestKindAndLeaderOfAnError(t *testing.T) {
	notLeader := &failure.Error{Kind: failure.NotLeader, Message: "elsewhere", Leader: "10.0.0.1:7400"}
	for _, test := range []struct {
		name   string
		err    error
		kind   failure.Kind
		leader string
	}{
		{name: "no error", err: nil, kind: failure.None},
		{name: "an error without a kind", err: errors.New("disk failed"), kind: failure.UnknownOutcome},
		{name: "an error with a kind", err: failure.New(failure.Stale, "old"), kind: failure.Stale},
		{name: "an error with a kind and a formatted message", err: failure.Newf(failure.TooLarge, "%d bytes", 9), kind: failure.TooLarge},
		{name: "an error with a leader", err: notLeader, kind: failure.NotLeader, leader: "10.0.0.1:7400"},
		{name: "a wrapped error", err: errors.Wrap(notLeader, "while submitting"), kind: failure.NotLeader, leader: "10.0.0.1:7400"},
	} {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			g.Expect(failure.KindOf(test.err)).To(Equal(test.kind))
			g.Expect(failure.LeaderOf(test.err)).To(Equal(test.leader))
		})
	}
}

func TestErrorTextBeginsWithTheKind(t *testing.T) {
	g := NewWithT(t)
	g.Expect(failure.Newf(failure.TooLarge, "%d bytes", 9)).To(MatchError("too_large: 9 bytes"))
	g.Expect(failure.KindCount.String()).To(Equal(failure.UnknownOutcome.String()))
}
