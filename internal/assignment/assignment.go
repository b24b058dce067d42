// Package assignment solves the linear sum assignment problem: which row takes which column, so that as many rows as
// possible are matched and the sum of their costs is least.
//
// It is the Hungarian method by shortest augmenting paths with potentials, which takes O(n^3) steps for n rows and columns
// (Jonker and Volgenant, "A Shortest Augmenting Path Algorithm for Dense and Sparse Linear Assignment Problems", Computing
// 38, 1987). Of several assignments of the same cost it always finds the same one. It keeps no state but buffers, and a
// Solver serves one goroutine at a time.
package assignment

import (
	"math"
	"slices"
)

// Unmatched is the column of a row that was not matched, since there are fewer columns than rows.
const Unmatched = -1

// noColumnCost is the cost of the columns that are added where there are fewer columns than rows: a row that gets one of
// them is unmatched. Real costs must be well below it, so that this happens to no more rows than it must.
const noColumnCost = 1e9

// Solve returns the column of each row in a minimum-cost assignment, or Unmatched. costs are by row and column; each row
// has at least the given number of columns, and what it has beyond is ignored. Costs are finite and well below 1e9; they
// may be negative.
func Solve(costs [][]float64, columns int) []int {
	var solver Solver
	return solver.Solve(costs, columns)
}

// Solver solves one assignment after another in the same buffers. Its zero value is ready. It serves one goroutine at a
// time.
//
// Rows are added one by one, each along the shortest augmenting path to a free column. In its slices, rows and columns are
// counted from 1; row 0 means that a column is free, and column 0 stands for the row that is being added.
type Solver struct {
	rowPotential, columnPotential []float64
	rowOf                         []int     // by column: the row that has it, 0: free
	previousColumn                []int     // by column: the column before it on the shortest path
	distance                      []float64 // by column: from the row that is being added
	visited                       []bool    // by column: whether its shortest path is final
	result                        []int     // by row, counted from 0
}

// Solve does what the function Solve does. The result is valid until the next call.
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

// reset prepares the buffers for a number of rows and columns, the added ones included.
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

// cleared returns a slice of zeros, in the buffer if that is large enough.
func cleared[T any](buffer []T, length int) []T {
	buffer = slices.Grow(buffer[:0], length)[:length]
	clear(buffer)
	return buffer
}

// augmentingPath finds the shortest augmenting path from a new row to a free column, and returns that column. The path is
// in previousColumn. The search is Dijkstra's, on costs less potentials.
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

// relax updates the distances of all columns that are not visited, by the row of the current one, and returns the nearest
// column and its distance.
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

// adjustPotentials changes the potentials so that the nearest column is at distance 0.
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

// augment gives each column on the path that ends at column to the row of the column before it.
func (s *Solver) augment(column int) {
	for column != 0 {
		s.rowOf[column] = s.rowOf[s.previousColumn[column]]
		column = s.previousColumn[column]
	}
}
