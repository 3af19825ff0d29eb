// Package benchmark measures the decision rate of an allocator: of the placement module alone, of the engine, and of
// the complete path over loopback sockets. Their measurements alternate in one run, so that their ratios can be
// compared between machines. It also measures the memory per workload, and the costs of traces and state directories.
//
// A decision is the complete lifecycle of a workload: request, bind, confirmation, end.
//
// rates.go compares the rates of inprocess.go (module and engine) and sockets.go (complete path). cluster.go has the
// allocator on loopback sockets, node.go its nodes, and frames.go the frames that clients and nodes send. memory.go,
// statecost.go, tracecost.go and tracelookup.go measure one cost each. fleet.go has the nodes and workloads of all
// measurements.
package benchmark
