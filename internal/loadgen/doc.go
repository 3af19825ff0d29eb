// Package loadgen is an open-loop load generator: it sends requests for workloads to a running allocator at scheduled
// times, whether or not the allocator keeps up, and measures the latency of each answer from the scheduled time.
//
// The delay until the generator sends a request is part of the latency, since a client waits for it too; it is also
// reported separately, as Timings.SendDelay. Result.Overrun is set if too many requests are sent late: the latencies
// then measure the generator and not the allocator.
//
// A Schedule, random or from traces, holds the requests and their times. Run sends them over one or more connections,
// each with its own client name, and counts the answers into a Result.
package loadgen
