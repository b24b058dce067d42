package answers_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"ospreypond/internal/cluster/failure"
	"ospreypond/internal/cluster/failure/answers"
)

func TestEveryKindHasAnAnswerWithAUniqueName(t *testing.T) {
	g := NewWithT(t)
	names := map[string]failure.Kind{}
	for kind := range failure.KindCount {
		answer := answers.ForKind(kind)
		g.Expect(answer.Name).NotTo(BeEmpty(), "kind %d", kind)
		g.Expect(answer.Advice).NotTo(BeEmpty(), answer.Name)
		g.Expect(answer.Status).To(BeNumerically(">=", 200), answer.Name)
		g.Expect(names).NotTo(HaveKey(answer.Name))
		names[answer.Name] = kind
	}
}

func TestAnUnknownKindIsAnsweredAsUnknownOutcome(t *testing.T) {
	g := NewWithT(t)
	g.Expect(answers.ForKind(failure.KindCount)).To(Equal(answers.ForKind(failure.UnknownOutcome)))
	g.Expect(failure.KindCount.String()).To(Equal(failure.UnknownOutcome.String()))
}
