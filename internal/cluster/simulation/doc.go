// Package simulation models a complete deployment in virtual time: machines, links, disks, runners, clients and an
// operator. It contains no code of the scheduler; package cluster below it runs the shipped processes on the machines.
// It is for tests only.
//
// A World executes events one at a time and derives all random draws from one seed. A seed replays the same run as long as
// the code makes the same draws in the same order. A Deployment runs a Scenario of traffic and faults, in the manner of
// FoundationDB's simulation and Jepsen's nemesis. A History records all that clients, runners and the operator saw. Audit
// and AuditPromises check the history against the scheduler's rules; they do not see the scheduler's internal state.
//
// All calls must come from one goroutine, which calls World.Run or Deployment.Play. No call blocks, and this goroutine also
// makes all callbacks.
package simulation
