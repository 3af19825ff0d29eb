// Package benchmark measures how fast an allocator decides: the placement module alone, the engine, and the whole path
// over loopback sockets, alternating in one run, so that the ratios hold on any machine. It also measures the memory of
// workloads, and what traces and state directories cost.
//
// A decision is the whole lifecycle of a workload: request, bind, confirmation, end.
//
// rates.go compares the rates of inprocess.go (module and engine) and sockets.go (the whole path). cluster.go is the
// allocator on loopback sockets, node.go its nodes, frames.go what both ends write. memory.go, statecost.go,
// tracecost.go and tracelookup.go measure one cost each. fleet.go says what everything is measured with.
package benchmark
