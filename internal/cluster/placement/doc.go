// Package placement decides in rounds which pending task starts on which runner.
//
// The algorithm is the query distribution of Kairos (Li et al., "Kairos: Building Cost-Efficient Machine Learning
// Inference Systems with Heterogeneous Cloud Resources", arXiv:2210.05889v3, section 5.1), in which queries are tasks
// and instances are runners: each round is a minimum-cost one-to-one assignment (equations 4 to 8) of tasks to the slots
// that runners offer. The cost of task i on a runner of kind j is C_j x L_ij, i's predicted runtime weighted by the
// heterogeneity coefficient of the kind (definition 1); a pairing that would end too late costs a fixed penalty instead.
// The paper's instances take one query at a time and are alike for all queries. What goes beyond it is ours: runners that
// take several tasks, gangs, constraints, reservations and preemption.
//
// A round goes through phases, each in the file of its name:
//
//   - snapshot: the runners as they are now, and what the round has assigned to them so far;
//   - selection: the tasks that take part, in the order of their rank;
//   - filter and score: where a task may start, and what it costs there;
//   - unit: gangs and large tasks, all members or none, with plans for now and for later;
//   - reservation: capacity that is kept for such a unit until it can start;
//   - matching: all other tasks, in batches;
//   - preemption: runs of less priority that are stopped for tasks that would otherwise miss their objectives.
//
// The package is pure: everything that it decides on comes with each call; it starts no goroutines, does no I/O and reads
// no clock. The same calls in the same order lead to the same decisions, so that simulated days can be repeated: the
// order of iterations and of floating-point sums is part of that. The caller carries the decisions out, and reports
// runtimes to the Predictor. A Planner and its Predictor serve one goroutine at a time.
package placement
