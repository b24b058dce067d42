// Package configuration holds the operator's configuration: how an order is read and checked, the state machine of its
// versions, the lookup of a request's route, and what is fed to the processes that follow it. It is pure: no clock, no
// disk, no goroutine. The same commands in the same order give the same state on each replica.
//
// Each item is kept twice: as the operator sent it, so that what is read back is what was sent, unknown fields included,
// and as the type of configuration.proto. A Document never changes; a change of few items shares all others with the
// document before it and reads only what is new.
package configuration
