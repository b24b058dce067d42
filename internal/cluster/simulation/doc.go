// Package simulation models a complete deployment in virtual time: machines, links, disks, runners, clients and an
// operator. It contains no code of the scheduler; package cluster below it runs the shipped processes on the machines.
// It is for tests only.
//
// A World executes events one at a time and draws everything random from one seed, so that a seed replays the same run
// as long as the same draws are made in the same order. A Deployment plays a Scenario: traffic and faults, in the manner
// of FoundationDB's simulation and Jepsen's nemesis. Everything that clients, runners and the operator saw is recorded in
// a History, and Audit and AuditPromises check it against the scheduler's rules, without knowing what the scheduler did.
//
// All calls must come from one goroutine, the one that calls World.Run or Deployment.Play. Nothing here blocks, and what
// a caller passes as a callback is called by that goroutine.
package simulation
