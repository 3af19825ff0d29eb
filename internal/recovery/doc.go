// Package recovery decides which binds an allocator must make durable before it sends them, and whether a request for a
// key with an earlier bind is admitted. The earlier bind may be of this incarnation or, according to the state
// directory of package storage, of an earlier one.
//
// The package does no I/O; its caller makes the binds durable and reads them back. Times are Unix milliseconds, because
// stored times must be valid in the next incarnation. A key is in one of these states:
//
//	unknown    not in the registry
//	bound      one bind is recorded; it was or may have been accepted
//	rebound    a further bind is recorded while an earlier one may have been accepted
//	inherited  bound by an earlier incarnation
//
// The state changes as follows:
//
//	state               event                           next state
//	unknown             a bind is about to be sent      bound
//	bound               the bind was never accepted     unknown
//	bound, rebound,     a bind is about to be sent      rebound
//	inherited
//	any                 the last bind expires           unknown
//	bound, rebound      the allocator restarts          inherited
//
// If the last bind of a rebound or inherited key is rejected, the key stays in the registry, since an earlier bind may
// have been accepted. A request for a recorded key of an at-most-once group is answered that the workload may have run,
// as is a request for an inherited key of any group. A request for a bound or rebound key of a group that is idempotent
// by key is scheduled: within an incarnation, the scheduler itself restricts the nodes to those that are allowed.
package recovery
