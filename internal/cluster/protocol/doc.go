// Package protocol defines the messages of the scheduler: what runners and operators send as JSON, and what frontends,
// agents and control processes send each other by gob. It has types, their encodings and the mapping of services to
// shards, and nothing that keeps state or does I/O; values may be used by several goroutines as long as none changes
// them.
//
// # Compatibility
//
// Processes of two versions talk to each other while a cluster is upgraded, and gob matches fields by name and drops
// what it doesn't find, without an error. The names and the wire types of the fields of every message here are
// therefore the wire format: they may be added to, but never renamed or retyped, also where a better word is known
// (HoldMs is the length of a lease, Saved is a checkpoint; see docs/GLOSSARY.md). A new field must mean by its zero
// value what its absence meant before. The names of the request and response types, with this package's name, are wire
// format as well: package transport sends them to find the handler and to check the response. Names of other types aren't
// sent, and a named string type is encoded as a string.
//
// Messages that runners and clients exchange with the scheduler are JSON, by the tags of their fields; rows of runs are
// JSON arrays. Unknown fields are ignored, absent ones are zero.
//
// # Errors
//
// Errors don't travel in responses: a call that fails carries an error with a kind of package failure, such as
// NotLeader, Gone or UnknownOutcome.
package protocol
