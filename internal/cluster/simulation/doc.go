// Package simulation has a whole deployment in virtual time: machines, links, disks, runners, clients and an
// operator, driven by one seed, with a ledger of what clients, runners and the operator truly saw and an auditor that
// holds the ledger against the scheduler's rules. It has no code of the scheduler itself; package cluster below it puts
// the shipped processes in. It is for tests only.
package simulation
