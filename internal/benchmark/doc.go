// Package benchmark measures how fast an allocator decides: the placement module alone, the engine, and the whole path over
// loopback sockets, alternating in one run, so that the ratios hold on any machine. It also measures the memory of
// workloads, and what traces and state directories cost.
//
// A decision is the whole lifecycle of a workload: request, bind, confirmation, end.
package benchmark
