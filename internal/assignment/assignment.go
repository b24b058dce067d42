// Package assignment solves the linear sum assignment problem: it matches rows to columns one to one, so that as many
// rows as possible are matched and the sum of their costs is minimal.
//
// The algorithm is the Hungarian method with shortest augmenting paths and potentials (Jonker and Volgenant, "A
// Shortest Augmenting Path Algorithm for Dense and Sparse Linear Assignment Problems", Computing 38, 1987). It takes
// O(n^3) steps for n rows and columns. It is deterministic: of several minimal assignments, equal costs always give the
// same one.
package assignment

import (
	"math"
	"slices"
)

// Unmatched is the result for a row without a column, where there are fewer columns than rows.
const Unmatched = -1

// noColumnCost is the cost of a dummy column. If there are fewer columns than rows, dummy columns make up the
// difference, and a row with a dummy column is unmatched. Real costs must be well below noColumnCost: then no row gets
// a dummy column while a real one is free.
const noColumnCost = 1e9

// Solve returns the column of each row in a minimum-cost assignment, or Unmatched. costs is indexed by row, then
// column. Each row must have at least columns entries; further entries are ignored. Costs must be finite and well below
// noColumnCost (1e9); they may be negative.
func Solve(costs [][]float64, columns int) []int {
	var solver Solver
	return solver.Solve(costs, columns)
}

// Solver solves one assignment problem after another and reuses its buffers. The zero value is ready to use. Only one
// goroutine may use it at a time.
//
// Rows are added to the assignment one by one. For each, the solver finds the shortest augmenting path: a sequence of
// columns that starts at the new row and ends at a free column, where each column but the last is taken from its row,
// which gets the next column instead. Two invariants hold after each row:
//
//   - The reduced cost of each pair, its cost less the potentials of its row and column, is not negative.
//   - The reduced cost of each matched pair is 0. So the assignment of the rows added so far is a cheapest one.
//
// The slices count rows and columns from 1. Row 0 marks a free column, and column 0 holds the row that is being added.
type Solver struct {
	rowPotential, columnPotential []float64
	rowOf                         []int     // by column: the row that has it; 0: free
	previousColumn                []int     // by column: the column before it on the shortest path to it
	distance                      []float64 // by column: shortest path to it, less that to the last visited column
	visited                       []bool    // by column: whether its shortest path is final
	result                        []int     // by row, counted from 0
}

// Solve returns the same as the function Solve. The result is valid until the next call.
func (s *Solver) Solve(costs [][]float64, columns int) []int {
	width := max(len(costs), columns)
	s.reset(len(costs), width)
	for row := 1; row <= len(costs); row++ {
		s.augment(s.augmentingPath(costs, columns, width, row))
	}
	for column := 1; column <= columns; column++ {
		if s.rowOf[column] > 0 {
			s.result[s.rowOf[column]-1] = column - 1
		}
	}
	return s.result
}

// reset clears the buffers and sizes them for rows rows and width columns, dummy columns included.
func (s *Solver) reset(rows, width int) {
	s.rowPotential = cleared(s.rowPotential, rows+1)
	s.columnPotential = cleared(s.columnPotential, width+1)
	s.rowOf = cleared(s.rowOf, width+1)
	s.previousColumn = cleared(s.previousColumn, width+1)
	s.distance = cleared(s.distance, width+1)
	s.visited = cleared(s.visited, width+1)
	s.result = cleared(s.result, rows)
	for row := range s.result {
		s.result[row] = Unmatched
	}
}

// cleared returns a slice of zero values, in the memory of buffer if that is large enough.
func cleared[T any](buffer []T, length int) []T {
	buffer = slices.Grow(buffer[:0], length)[:length]
	clear(buffer)
	return buffer
}

// augmentingPath finds the shortest augmenting path from a new row to a free column by Dijkstra's algorithm on reduced
// costs. It returns the free column; previousColumn leads from there back to column 0.
func (s *Solver) augmentingPath(costs [][]float64, columns, width, row int) int {
	for column := range s.distance {
		s.distance[column], s.visited[column] = math.Inf(1), false
	}
	s.rowOf[0] = row
	current := 0
	for s.rowOf[current] != 0 {
		s.visited[current] = true
		next, delta := s.relax(costs[s.rowOf[current]-1], columns, width, current)
		s.adjustPotentials(delta)
		current = next
	}
	return current
}

// relax updates the distances of the columns that are not visited, for paths by way of the current column and its row.
// It returns the nearest of these columns and its distance.
func (s *Solver) relax(costs []float64, columns, width, current int) (next int, delta float64) {
	potential := s.rowPotential[s.rowOf[current]]
	distance, visited, columnPotential := s.distance[:width+1], s.visited[:width+1], s.columnPotential[:width+1]
	delta = math.Inf(1)
	for column := 1; column < len(distance); column++ {
		if visited[column] {
			continue
		}
		cost := noColumnCost - potential - columnPotential[column]
		if column <= columns {
			cost = costs[column-1] - potential - columnPotential[column]
		}
		if cost < distance[column] {
			distance[column], s.previousColumn[column] = cost, current
		}
		if distance[column] < delta {
			delta, next = distance[column], column
		}
	}
	return next, delta
}

// adjustPotentials moves the distance delta into the potentials, so that the nearest column is at distance 0. The
// reduced costs of the pairs on the path to it are 0 then, and none becomes negative.
func (s *Solver) adjustPotentials(delta float64) {
	distance, visited, columnPotential := s.distance, s.visited[:len(s.distance)], s.columnPotential[:len(s.distance)]
	for column := range distance {
		if visited[column] {
			s.rowPotential[s.rowOf[column]] += delta
			columnPotential[column] -= delta
		} else {
			distance[column] -= delta
		}
	}
}

// augment gives each column on the path that ends at column to the row that had the column before it. The new row, in
// column 0, so gets the first column of the path.
func (s *Solver) augment(column int) {
	for column != 0 {
		s.rowOf[column] = s.rowOf[s.previousColumn[column]]
		column = s.previousColumn[column]
	}
}
