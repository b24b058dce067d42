// Package assignment solves the minimum-cost one-to-one assignment: which row takes which column, so that as many
// as possible are matched and the sum of the costs is least. It decides nothing else and keeps no state but buffers.
package assignment

import (
	"math"
	"slices"
)

// Unmatched stands in a result for a row that got no column.
const Unmatched = -1

// none is the cost of a column that is added where columns are short; it stands for "no column". Real costs must be
// well below it.
const none = 1e9

// Solve returns for each row its column in a minimum-cost one-to-one assignment, or Unmatched where columns are short.
// Each row of costs has at least that many columns. Costs are finite and well below 1e9.
func Solve(costs [][]float64, columns int) []int {
	var solver Solver
	return solver.Solve(costs, columns)
}

// Solver solves one assignment after another in the same buffers. Its zero value is ready; it serves one caller at
// a time.
//
// It is the Hungarian method with potentials: rows are added one by one, each along the cheapest path of exchanges
// to a free column. Row and column 0 are internal.
type Solver struct {
	rowPotential, columnPotential []float64
	rowOf                         []int // by column: the row that it is given to, 0: free
	before                        []int // by column: the column before it on the cheapest path
	least                         []float64
	used                          []bool
	result                        []int
}

// Solve is as the function Solve. The result is valid until the next call.
func (s *Solver) Solve(costs [][]float64, columns int) []int {
	width := max(len(costs), columns)
	s.reset(len(costs), width)
	for row := 1; row <= len(costs); row++ {
		s.exchange(s.path(costs, columns, width, row))
	}
	for column := 1; column <= columns; column++ {
		if s.rowOf[column] > 0 {
			s.result[s.rowOf[column]-1] = column - 1
		}
	}
	return s.result
}

func (s *Solver) reset(rows, width int) {
	s.rowPotential = cleared(s.rowPotential, rows+1)
	s.columnPotential = cleared(s.columnPotential, width+1)
	s.rowOf = cleared(s.rowOf, width+1)
	s.before = cleared(s.before, width+1)
	s.least = cleared(s.least, width+1)
	s.used = cleared(s.used, width+1)
	s.result = cleared(s.result, rows)
	for row := range s.result {
		s.result[row] = Unmatched
	}
}

func cleared[T any](buffer []T, length int) []T {
	buffer = slices.Grow(buffer[:0], length)[:length]
	clear(buffer)
	return buffer
}

// path finds the cheapest path of exchanges from a new row to a free column, which it returns.
func (s *Solver) path(costs [][]float64, columns, width, row int) int {
	for column := range s.least {
		s.least[column], s.used[column] = math.Inf(1), false
	}
	s.rowOf[0] = row
	current := 0
	for s.rowOf[current] != 0 {
		s.used[current] = true
		next, delta := s.relax(costs[s.rowOf[current]-1], columns, width, current)
		s.shift(delta)
		current = next
	}
	return current
}

// relax looks at all columns from the row at the end of the path, and returns the nearest one and its distance.
func (s *Solver) relax(costs []float64, columns, width, current int) (next int, delta float64) {
	potential := s.rowPotential[s.rowOf[current]]
	least, used, columnPotential := s.least[:width+1], s.used[:width+1], s.columnPotential[:width+1]
	delta = math.Inf(1)
	for column := 1; column < len(least); column++ {
		if used[column] {
			continue
		}
		cost := none - potential - columnPotential[column]
		if column <= columns {
			cost = costs[column-1] - potential - columnPotential[column]
		}
		if cost < least[column] {
			least[column], s.before[column] = cost, current
		}
		if least[column] < delta {
			delta, next = least[column], column
		}
	}
	return next, delta
}

// shift moves the potentials so that the next column of the path costs nothing.
func (s *Solver) shift(delta float64) {
	least, used, columnPotential := s.least, s.used[:len(s.least)], s.columnPotential[:len(s.least)]
	for column := range least {
		if used[column] {
			s.rowPotential[s.rowOf[column]] += delta
			columnPotential[column] -= delta
		} else {
			least[column] -= delta
		}
	}
}

// exchange gives each column on the path that ends at column to the row before it.
func (s *Solver) exchange(column int) {
	for column != 0 {
		s.rowOf[column] = s.rowOf[s.before[column]]
		column = s.before[column]
	}
}
