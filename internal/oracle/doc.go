// Package oracle computes how much of the core time that a scenario's workloads request could have run, given the true
// state of every machine at every instant.
//
// Two figures enclose the optimum. Bound is never below it: it lets workloads be split and migrated at no cost, and
// respects only the total capacity of the machines that are up at an instant. Place is never above it: it is the
// schedule of an online algorithm without any delay, so it could have been carried out. Where the two meet, the optimum
// is known exactly. With Constraints, Place also keeps the limits that a scheduler must keep besides those of the
// machines.
//
// Times are in milliseconds; sizes are in cores and in the scenario's unit of memory. The package does no I/O.
package oracle
