package placement

import (
	"math"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func ms(value float64) time.Duration { return time.Duration(value * float64(time.Millisecond)) }

// near reports whether a prediction deviates from wantMs by at most the fraction tolerance of wantMs.
func near(got time.Duration, wantMs, tolerance float64) bool {
	return math.Abs(milliseconds(got)-wantMs) <= tolerance*wantMs
}

var _ = Describe("predictions", func() {
	var p *Predictor
	var rng *rand.Rand
	BeforeEach(func() {
		p = NewPredictor()
		rng = rand.New(rand.NewPCG(3, 4))
	})

	It("equal the hints before any run", func() {
		Expect(p.Predict("q", "a", 700)).To(Equal(ms(700)))
		Expect(p.kindRatio("a")).To(Equal(1.0))
	})

	It("need no hints", func() {
		Expect(p.Predict("q", "a", 0)).To(BeNumerically(">", 0))
		for range 20 {
			p.Observe("q", "a", 0, ms(4000), false)
		}
		Expect(near(p.Predict("q", "a", 0), 4000, 0.15)).To(BeTrue())
	})

	DescribeTable("are positive and limited for any hint", func(size float64) {
		p.Observe("q", "a", 500, ms(900), false)
		p.Observe("q", "a", size, ms(900), false)
		Expect(p.Predict("q", "b", size)).To(And(BeNumerically(">", 0), BeNumerically("<=", 25*time.Hour)))
	},
		Entry("none", 0.0), Entry("negative", -5.0), Entry("not a number", math.NaN()),
		Entry("infinite", math.Inf(1)), Entry("tiny", 1e-9), Entry("huge", 1e300),
	)

	It("follow a linear dependence on the hints after some runs", func() {
		for i := range 40 {
			size := float64(300 + 97*i)
			p.Observe("q", "a", size, ms(200+1.5*size), false)
		}
		Expect(near(p.Predict("q", "a", 1234), 200+1.5*1234, 0.08)).To(BeTrue())
		Expect(near(p.Predict("q", "a", 3333), 200+1.5*3333, 0.08)).To(BeTrue())
	})

	It("approach the queue's mean if the hints are noise", func() {
		for range 150 {
			p.Observe("q", "a", 200+3000*rng.Float64(), ms(1000+100*rng.Float64()), false)
		}
		Expect(near(p.Predict("q", "a", 200), 1050, 0.15)).To(BeTrue())
		Expect(near(p.Predict("q", "a", 3100), 1050, 0.15)).To(BeTrue())
	})

	It("have a smaller error than hints that are wrong by up to nine tenths", func() {
		hintError, ownError := 0.0, 0.0
		for i := range 400 {
			took := 300 + 1400*rng.Float64()
			hint := took * (0.1 + 1.8*rng.Float64())
			if i >= 100 {
				hintError += math.Abs(hint - took)
				ownError += math.Abs(milliseconds(p.Predict("q", "a", hint)) - took)
			}
			p.Observe("q", "a", hint, ms(took), false)
		}
		Expect(ownError).To(BeNumerically("<", 0.75*hintError))
	})

	It("give the largest weight to runs with exactly the same hint", func() {
		for range 50 {
			p.Observe("q", "a", 400+1000*rng.Float64(), ms(1000), false)
		}
		p.Observe("q", "a", 777, ms(3000), false)
		p.Observe("q", "a", 777, ms(3000), false)
		Expect(p.Predict("q", "a", 777)).To(BeNumerically(">", ms(2000)))
		Expect(p.Predict("q", "a", 778)).To(BeNumerically("<", ms(1500)))
	})

	It("average the runs of a limited number of hints", func() {
		for i := range 10 * maxHints {
			p.Observe("q", "a", float64(100+i), ms(500), false)
		}
		Expect(p.queues["q"].byHint).To(HaveLen(maxHints))
	})

	It("distinguish kinds of runners, and runs outside the rack of their data", func() {
		for i := range 200 {
			size := float64(300 + 10*(i%100))
			p.Observe("q", "a", size, ms(size), false)
			p.Observe("q", "b", size, ms(2*size), i%2 == 0 && false)
			p.Observe("q", "a", size, ms(1.5*size), true)
		}
		Expect(near(p.Predict("q", "a", 800), 800, 0.05)).To(BeTrue())
		Expect(near(p.Predict("q", "b", 800), 1600, 0.05)).To(BeTrue())
		Expect(p.kindRatio("a") / p.kindRatio("b")).To(BeNumerically("~", 0.5, 0.03))
	})

	It("apply the ratio of a kind of runner to other queues", func() {
		for i := range 200 {
			size := float64(300 + 10*(i%100))
			p.Observe("q", "a", size, ms(size), false)
			p.Observe("q", "b", size, ms(2*size), false)
		}
		ratio := float64(p.Predict("other", "b", 500)) / float64(p.Predict("other", "a", 500))
		Expect(ratio).To(BeNumerically("~", 2, 0.1))
	})

	It("change little after a few runs that stalled", func() {
		for i := range 100 {
			took := 1000.0
			if i%20 == 19 {
				took = 60000
			}
			p.Observe("q", "a", float64(600+8*i), ms(took), false)
		}
		Expect(p.Predict("q", "a", 900)).To(BeNumerically("<", ms(1500)))
	})

	It("follow a change of the runtimes", func() {
		for range 200 {
			p.Observe("q", "a", 1000, ms(1000), false)
		}
		for range 200 {
			p.Observe("q", "a", 1000, ms(3000), false)
		}
		Expect(near(p.Predict("q", "a", 1000), 3000, 0.1)).To(BeTrue())
	})
})
