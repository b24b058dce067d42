// Package cluster puts the scheduler onto a simulated deployment: consensus, the state machines of jobs and of the
// configuration, the owners' decisions and the feed; and the whole of the frontends' and agents' processes but for their
// sockets. What the replicas' disk and links do in production is modelled. A run is drawn from one seed. It is for tests
// only, and runs in a testing/synctest bubble, see shell.
//
// SIMULATION_SEEDS sets how many days the tests play; SIMULATION_SEED plays one day again in each of them, and
// SIMULATION_JOB with it tells all that the ledgers hold of a job.
package cluster
