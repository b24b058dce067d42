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

var _ = DescribeTable("Solve finds the minimum-cost assignment of a small problem", func(costs [][]float64, columns int, want []int) {
	Expect(append([]int{}, assignment.Solve(costs, columns)...)).To(Equal(want))
},
	Entry("without rows", nil, 3, []int{}),
	Entry("without columns: no row is matched", [][]float64{{}, {}}, 0, []int{-1, -1}),
	Entry("with one row and one column", [][]float64{{5}}, 1, []int{0}),
	Entry("where the cheapest column of the first row is not part of it", [][]float64{{1, 2}, {1, 9}}, 2, []int{1, 0}),
	Entry("with fewer columns than rows: the most expensive row is unmatched", [][]float64{{3}, {1}, {2}}, 1, []int{-1, 0, -1}),
	Entry("with fewer rows than columns", [][]float64{{4, 1, 3}, {2, 0, 5}}, 3, []int{1, 0}),
	Entry("with entries beyond the number of columns, which are ignored", [][]float64{{9, 1}}, 1, []int{0}),
	Entry("with negative costs", [][]float64{{-1, -5}, {-4, -7}}, 2, []int{1, 0}),
)

var _ = Describe("the assignment of random costs", func() {
	It("is one-to-one, matches as many rows as possible and has the least cost, also if the solver is reused", func() {
		var solver assignment.Solver
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			rows, columns := rapid.IntRange(0, 5).Draw(t, "rows"), rapid.IntRange(0, 5).Draw(t, "columns")
			costs := make([][]float64, rows)
			for i := range costs {
				costs[i] = rapid.SliceOfN(rapid.Map(rapid.IntRange(-9, 20), toFloat), columns, columns).Draw(t, "row")
			}
			sum, matched := total(t, costs, solver.Solve(costs, columns))
			if want := min(rows, columns); matched != want {
				t.Fatalf("%d rows matched, want %d", matched, want)
			}
			if want := minCost(costs, columns, 0, 0, min(rows, columns)); math.Abs(sum-want) > 1e-9 {
				t.Fatalf("total cost %v, want %v", sum, want)
			}
		})
	})
})

func toFloat(i int) float64 { return float64(i) }

// total returns the cost of an assignment and the number of its matched rows. It fails if two rows have the same
// column.
func total(t *rapid.T, costs [][]float64, result []int) (sum float64, matched int) {
	t.Helper()
	seen := map[int]bool{}
	for row, column := range result {
		if column == assignment.Unmatched {
			continue
		}
		if seen[column] {
			t.Fatalf("column %d is assigned to two rows", column)
		}
		seen[column] = true
		sum += costs[row][column]
		matched++
	}
	return sum, matched
}

// minCost returns the least cost of matching left of the rows from row on, by brute force. used has the bits of the
// columns that are taken. It returns infinity if there is no such matching.
func minCost(costs [][]float64, columns, row int, used uint, left int) float64 {
	if row == len(costs) {
		if left > 0 {
			return math.Inf(1)
		}
		return 0
	}
	best := minCost(costs, columns, row+1, used, left)
	for column := 0; column < columns && left > 0; column++ {
		if used>>column&1 == 0 {
			best = min(best, costs[row][column]+minCost(costs, columns, row+1, used|1<<column, left-1))
		}
	}
	return best
}
