// Package placement decides in rounds which pending task starts on which runner.
//
// The algorithm is based on the query distribution of Kairos (Li et al., "Kairos: Building Cost-Efficient Machine Learning
// Inference Systems with Heterogeneous Cloud Resources", arXiv:2210.05889v3, section 5.1). Its queries are tasks here, and
// its instances are runners. The paper solves a minimum-cost one-to-one assignment of queries to instances (equations 4 to
// 8). The cost of task i on a runner of kind j is C_j x L_ij: i's predicted runtime there, weighted by the heterogeneity
// coefficient of the kind (definition 1). A pairing that would end too late costs a fixed penalty instead.
//
// The paper's instances take one query at a time, and each can take any query. This package adds runners that take several
// tasks, gangs, constraints, reservations and preemption.
//
// # A round
//
//  1. Snapshot (snapshot.go, runnerstate.go). The round copies the state of the runners. It updates the copy with each task
//     that it places, so that it never places more than fits.
//  2. Selection (selection.go, candidate.go). It ranks the tasks, and selects the first ones, up to fixed limits.
//  3. Units (unit.go, plan.go). It places gangs and large tasks first, so that small tasks don't take the capacity that
//     they need at once. All members of a gang are placed together, or none.
//  4. Reservation (reservation.go). It reserves capacity for a unit that must wait. Other tasks of the same or a lower
//     priority may use that capacity only if they don't delay the unit, or if their step is starving.
//  5. Matching (matching.go). It places all other tasks in batches, each by a minimum-cost assignment.
//  6. Preemption (preemption.go). For tasks that weren't placed and would miss their objectives by waiting, it stops runs
//     of lower priority, a bounded number with a bounded loss of work. The tasks start in a later round.
//
// Steps 3 to 5 are done for each priority, from the highest to the lowest. Once a task is placed, no later step moves it.
// Each step asks the filters whether a task may start on a runner (filter.go), and compares the possible runners by cost
// (score.go).
//
// Three rules prevent starvation. Capacity is reserved for units that must wait. If no task of a step is running although
// most of the service is free, one of its tasks may ignore reservations and the reliability of runners
// (candidate.starving). The caller promotes tasks that have long expired (Task.Aged), which then rank as late ones.
//
// The package is pure: its decisions depend only on the arguments of its calls. It does no I/O, reads no clock and
// starts no goroutine. The same calls in the same order lead to the same decisions, so that simulations can be
// repeated. This includes the order of iterations and of floating-point additions. The caller carries the decisions
// out, and reports runtimes to the Predictor. A Planner and its Predictor may be used by one goroutine at a time.
package placement
