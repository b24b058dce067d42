package answers_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"ospreypond/internal/cluster/failure"
	"ospreypond/internal/cluster/failure/answers"
)

func TestEveryKindHasAnAnswerOfItsOwnName(t *testing.T) {
	g := NewWithT(t)
	names := map[string]failure.Kind{}
	for kind := range failure.Kinds {
		told := answers.To(kind)
		g.Expect(told.Name).NotTo(BeEmpty(), "kind %d", kind)
		g.Expect(told.Advice).NotTo(BeEmpty(), told.Name)
		g.Expect(told.Status).To(BeNumerically(">=", 200), told.Name)
		g.Expect(names).NotTo(HaveKey(told.Name))
		names[told.Name] = kind
	}
}

func TestAnUnknownKindIsInDoubt(t *testing.T) {
	g := NewWithT(t)
	g.Expect(answers.To(failure.Kinds)).To(Equal(answers.To(failure.UnknownOutcome)))
	g.Expect(failure.Kinds.String()).To(Equal(failure.UnknownOutcome.String()))
}
