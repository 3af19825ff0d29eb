// Package loadgen is an open-loop load generator: it sends requests for workloads to a running allocator at times that
// are fixed beforehand, whether or not the allocator keeps up, and measures how long each answer took from when its
// request was due.
//
// What the generator itself sends late counts as latency, since a client would have waited for it too, and is also
// shown on its own. If more than a little is late, Result.Overrun says that the generator and not the allocator was
// measured.
//
// A Schedule, random or from traces, says what is sent and when. Run sends it over one or more clients, whose answers a
// tally counts into a Result.
package loadgen
