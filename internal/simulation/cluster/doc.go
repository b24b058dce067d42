// Package cluster puts the scheduler's real cores onto a simulated deployment: consensus, the state machines of jobs and
// of the configuration, the owners' decisions and the feed. Only what has goroutines in production (the replicas' disk
// and links, the frontends' and agents' shells) is modelled after it. A run is drawn from one seed. It is for tests only.
//
// SIMULATION_SEEDS sets how many days the tests play; SIMULATION_SEED plays one day again in each of them, and
// SIMULATION_JOB with it tells all that the ledgers hold of a job.
package cluster
