// Package transport carries messages between the processes of a cluster: allocators, nodes, clients and the discovery
// service.
//
// A handler is a state machine that serves any number of connections. Events reach it as method calls, and all its
// output goes through its network. A Handler exchanges messages of any Codec; a FrameHandler exchanges frames of the
// project's own protobuf protocol. Loop runs handlers on sockets; internal/simulation/network runs a FrameHandler in
// virtual time, under the same contract. The methods of a handler are never called concurrently. Times are milliseconds
// on a monotonic clock.
//
// On sockets, socketEvents decodes the bytes that an event loop has read, eventQueue queues the messages, and the
// worker passes them to its handler. Messages that the handler sends are encoded immediately and written when the
// worker flushes: after each batch of events, and between two events once maxFlushDelay has passed.
package transport

// ConnID identifies a connection of one handler. IDs start at 1 and are never reused.
type ConnID uint64
