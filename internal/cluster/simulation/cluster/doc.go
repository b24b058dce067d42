// Package cluster runs the shipped scheduler processes on a simulated deployment in virtual time. It is for tests only.
//
// Real code: control processes with their replica engine, log format, state machines, shard owners and operator's HTTP
// interface; frontends; agents. Each process is the shipped one without its sockets and files.
//
// Modelled code, in package simulation: links, disks, machines, clocks, runners, clients and the operator. This package
// models the transport between processes (see caller) and an agent's TCP connections to runners (see runnerConn).
// docs/control-safety/simulation.md lists the modelled parts.
//
// Run plays a scenario drawn from a seed, and its Outcome lists the rules that were broken. It must be called in a
// testing/synctest bubble, because a harness waits with synctest.Wait until the goroutines of its process are blocked.
// The type harness explains why a seed replays the same run.
//
// Environment variables of the tests:
//   - SIMULATION_SEEDS is the number of scenarios that the spec with all kinds of faults plays; most other specs play a
//     fraction of it.
//   - SIMULATION_SEED is a single seed. Every spec that calls playSeeds plays it instead of the spec's seeds.
//   - SIMULATION_JOB is the ID of a job: for each failed scenario, the spec prints all records of the job in the history.
package cluster
