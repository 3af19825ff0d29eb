// Package recovery decides which binds an allocator must make durable before it sends them, and what a request may lead
// to for a key that has been bound before: in this incarnation or, according to the directory of package storage, in an
// earlier one.
//
// It does no I/O; its caller makes the binds durable and reads them back. Times are Unix milliseconds, because they
// have to mean the same to the next incarnation. A key is in one of these states:
//
//	unknown    nothing that matters is known of it
//	bound      one bind is known; it was accepted, or may have been
//	rebound    bound again while an earlier bind may have been accepted
//	inherited  bound by an earlier incarnation
//
// and changes its state as follows:
//
//	state               event                           next state
//	unknown             a bind is about to be sent      bound
//	bound               the bind was never accepted     unknown
//	bound, rebound,     a bind is about to be sent      rebound
//	inherited
//	any                 the last bind expires           unknown
//	bound, rebound      the allocator restarts          inherited
//
// A rejection of the last bind of a rebound or inherited key says nothing about the binds before, so that the key
// stays known. A request for a known key of an at-most-once group is answered that the workload may have run, as is a
// request for an inherited key of any group. A request for a key that is bound or rebound in a group that is idempotent
// by key is scheduled: within an incarnation the scheduler itself knows where the workload may go.
package recovery
