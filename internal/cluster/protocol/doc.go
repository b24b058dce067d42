// Package protocol defines the messages of the scheduler: the JSON messages of runners and clients, and the gob messages
// that frontends, agents and control processes send each other. It has the types, their encodings, and the mapping of
// services to shards. It keeps no state and does no I/O. Several goroutines may use a value at once if none
// changes it.
//
// # Compatibility
//
// While a cluster is upgraded, processes of two versions call each other. gob matches fields by name, and drops a field that
// the receiver doesn't have without an error. Therefore:
//
//   - The name and the wire type of each field are the wire format. Fields may be added, but never renamed or retyped, also
//     where a better name is known: HoldMs is the length of a lease, Saved is a checkpoint, How is a run's outcome
//     (see docs/GLOSSARY.md).
//   - The zero value of a new field must have the same meaning as the absence of the field in messages of older versions.
//   - The names of the request and response types, with this package's name, are wire format as well: package transport
//     sends them to find the handler and to check the response.
//   - The names of other types aren't sent. A named string type is encoded as a string.
//
// Messages between runners or clients and the scheduler are JSON, with the field names of the tags. Rows of runs and orders
// are JSON arrays. A receiver ignores fields that it doesn't know, and a field that is absent has its zero value.
//
// # Units
//
// A field whose name ends in Ms is in milliseconds. A field named ClockMs, or described as on the runner's clock, is a
// reading of the runner's own clock, which is comparable only with other readings of the same incarnation.
//
// # Errors
//
// A response has no field for an error. A call that fails returns an error with a kind of package failure, such as
// NotLeader, Gone or UnknownOutcome.
package protocol
