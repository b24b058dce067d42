// Package configuration is the operator's configuration: a versioned JSON document of routes, services and limits. It has
//   - the parser of changes, with the checks that a change must pass (Document),
//   - the state machine that every replica of the configuration shard runs (State),
//   - the lookup of a request's route (Table), and
//   - the feed with which other processes follow the newest version (State.Since, Advance).
//
// The package uses no clock, no I/O, no goroutines and no random numbers. So the same commands in the same order lead to the
// same state, and to results of the same kind and version, on each replica; State.Digest shows whether they did. A State
// must be used by one goroutine at a time. A Document and a Table never change and may be used by any.
//
// A document is accepted if
//   - `version` is an integer above the version of the previous document,
//   - `routes` and `services` are lists of items, and a replacement has both,
//   - each item has a name that no other item of its list has,
//   - each route has a timeoutMs above 0 and the name of an existing service,
//   - no two routes have the same queue, that is the same host, compared without case, and the same path prefix,
//   - `limits`, if there is one, is an object, and
//   - the JSON has at most about maxDocumentBytes.
//
// The values of all other fields have no bounds here; configuration.proto has their types. Fields and sections that
// configuration.proto doesn't define are kept as they are.
//
// Each item is kept in two forms: as the JSON that the operator sent, so that a reader gets exactly this JSON back,
// unknown fields included, and as its type of configuration.proto. A new document shares all unchanged items with the
// document before it; only new and changed items are parsed.
//
// Commands, snapshots and feeds are encoded by gob, in logs and files and between processes of different versions. gob
// finds fields by their names, and silently drops fields that the receiver doesn't have: the field names of Command,
// feed, image, imageSection, imageQueue, snapshot and commandKey are the format and must not change.
package configuration
