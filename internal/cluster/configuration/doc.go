// Package configuration is the operator's configuration, the versioned document of routes and services: how a change of it is
// parsed and checked, the replicated state machine of its versions (State), the lookup of a request's route (Table), and the
// feed that brings each version to the processes that follow it (State.Since and Advance).
//
// It is pure: no clock, no I/O, no goroutines. The same commands in the same order lead to the same state on each replica,
// and State.Digest shows whether they have. A State serves one goroutine at a time; a Document and a Table never change and
// may be used by any.
//
// Each item is kept twice: as the JSON that the operator sent, so that what is read back is what was sent, unknown fields
// included, and as its type of configuration.proto. A change of few items shares all others with the document before it
// and parses only what is new.
//
// Commands, snapshots and feeds are encoded by gob, in logs and files and between processes of different versions. gob finds
// fields by their names and drops the ones that it doesn't find, without an error: the field names of Command, feed, image,
// imageSection, imageQueue, snapshot and commandKey are the format and stay.
package configuration
