// Package transport carries messages between the processes of a cluster: allocators, nodes, clients and the discovery
// service.
//
// A handler is a state machine that serves any number of connections and acts through its network only. A Handler
// receives messages of any Codec, a FrameHandler receives frames of the project's own protobuf protocol. Loop runs
// handlers on sockets; internal/simulation/network runs a FrameHandler in virtual time, under the same contract. The
// methods of a handler are never called concurrently. Times are milliseconds on a monotonic clock.
//
// On sockets, socketEvents decodes what an event loop has read, eventQueue holds the messages, and the worker passes
// them to its handler. What the handler sends is encoded at once, and written when the worker flushes: after each batch
// of events, or earlier if the batch takes long.
package transport

// ConnID identifies a connection of one handler. IDs start at 1 and are never reused.
type ConnID uint64
