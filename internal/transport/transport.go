// Package transport carries messages between the processes of a cluster: allocators, nodes, clients and the endpoint list.
//
// A handler is a state machine behind any number of connections; a network is all that it can do to the world. A Handler
// takes messages of any Codec, a FrameHandler takes the project's own protobuf frames. Loop runs handlers on sockets;
// package simulation runs a FrameHandler in virtual time, with the same contract. A handler is called from one goroutine
// at a time. Times are milliseconds on a clock that never goes back.
//
// On sockets, the way of a message is: socketEvents decodes what an event loop has read, eventQueue holds it, and the
// worker hands it to its handler. What the handler sends is encoded at once, and leaves when the worker flushes: after each
// batch of events, or earlier if the batch takes long.
package transport

// ConnID identifies a connection of one handler. IDs start at 1 and are never used again.
type ConnID uint64
