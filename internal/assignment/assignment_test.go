package assignment_test

import (
	"math"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"ospreypond/internal/assignment"
)

func TestAssignment(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "assignment")
}

var _ = DescribeTable("small assignments", func(costs [][]float64, columns int, want []int) {
	Expect(append([]int{}, assignment.Solve(costs, columns)...)).To(Equal(want))
},
	Entry("no rows", nil, 3, []int{}),
	Entry("no columns", [][]float64{{}, {}}, 0, []int{-1, -1}),
	Entry("one", [][]float64{{5}}, 1, []int{0}),
	Entry("the greedy choice is not the best", [][]float64{{1, 2}, {1, 9}}, 2, []int{1, 0}),
	Entry("columns are short: the dearest row has none", [][]float64{{3}, {1}, {2}}, 1, []int{-1, 0, -1}),
	Entry("rows are short", [][]float64{{4, 1, 3}, {2, 0, 5}}, 3, []int{1, 0}),
	Entry("only the given columns count", [][]float64{{9, 1}}, 1, []int{0}),
	Entry("negative costs", [][]float64{{-1, -5}, {-4, -7}}, 2, []int{1, 0}),
)

var _ = Describe("any assignment", func() {
	It("is one-to-one, matches as many as can be and costs the least, also in used buffers", func() {
		var solver assignment.Solver
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			rows, columns := rapid.IntRange(0, 5).Draw(t, "rows"), rapid.IntRange(0, 5).Draw(t, "columns")
			costs := make([][]float64, rows)
			for i := range costs {
				costs[i] = rapid.SliceOfN(rapid.Map(rapid.IntRange(-9, 20), toFloat), columns, columns).Draw(t, "row")
			}
			sum, matched := total(t, costs, solver.Solve(costs, columns))
			if want := min(rows, columns); matched != want {
				t.Fatalf("%d matched, %d can be", matched, want)
			}
			if least := cheapest(costs, columns, 0, 0, min(rows, columns)); math.Abs(sum-least) > 1e-9 {
				t.Fatalf("costs %v, %v would do", sum, least)
			}
		})
	})
})

func toFloat(i int) float64 { return float64(i) }

// total adds up an assignment and checks that no column is given twice.
func total(t *rapid.T, costs [][]float64, result []int) (sum float64, matched int) {
	seen := map[int]bool{}
	for row, column := range result {
		if column == assignment.Unmatched {
			continue
		}
		if seen[column] {
			t.Fatalf("column %d given twice", column)
		}
		seen[column] = true
		sum += costs[row][column]
		matched++
	}
	return sum, matched
}

// cheapest tries every assignment of so many rows from the given row on.
func cheapest(costs [][]float64, columns, row int, used uint, left int) float64 {
	if row == len(costs) {
		if left > 0 {
			return math.Inf(1)
		}
		return 0
	}
	best := cheapest(costs, columns, row+1, used, left)
	for column := 0; column < columns && left > 0; column++ {
		if used>>column&1 == 0 {
			best = min(best, costs[row][column]+cheapest(costs, columns, row+1, used|1<<column, left-1))
		}
	}
	return best
}
