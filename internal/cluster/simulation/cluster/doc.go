// Package cluster puts the scheduler that ships onto a simulated deployment: control processes with their replica engine,
// its log, the state machines, the owners, the feed and the operator's interface; frontends; agents. All of it runs but
// for its sockets and files: links, disks, machines and clocks are those of package simulation. What is modelled is listed
// in docs/control-safety/simulation.md. A run is drawn from one seed. It is for tests
// only, and runs in a testing/synctest bubble, see shell.
//
// SIMULATION_SEEDS sets how many days the tests play; SIMULATION_SEED plays one day again in each of them, and
// SIMULATION_JOB with it tells all that the ledgers hold of a job.
package cluster
