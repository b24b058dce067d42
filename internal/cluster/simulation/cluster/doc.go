// Package cluster runs the shipped scheduler on a simulated deployment: control processes with their replica engine, its
// log, the state machines, the owners, the feed and the operator's interface; frontends; agents. All of it is the code
// that ships, except for sockets and files: links, disks, machines and clocks are those of package simulation. What is
// modelled is listed in docs/control-safety/simulation.md.
//
// Run plays a scenario drawn from a seed, and its Outcome says which rules were broken. It must be called in a
// testing/synctest bubble, see shell. It is for tests only.
//
// SIMULATION_SEEDS sets how many scenarios the tests play. SIMULATION_SEED plays one again in each of them, and with it
// SIMULATION_JOB prints everything that the history records of a job.
package cluster
