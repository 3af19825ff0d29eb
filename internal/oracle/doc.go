// Package oracle computes how much of the core time that a scenario's workloads want could have run, given the true state
// of every machine at every instant.
//
// Two figures enclose the best possible: Bound is never below it, since it lets workloads be split and migrated at no
// cost, and respects only what the machines of an instant have together. Place is never above it: it is a schedule that
// could have been carried out, by an online rule without any delay. Where the two meet, the best is known exactly. With
// Rules, Place also keeps the limits that a scheduler must keep besides those of the machines.
//
// Times are in milliseconds; sizes are in cores and in the scenario's unit of memory. The package does no I/O.
package oracle
