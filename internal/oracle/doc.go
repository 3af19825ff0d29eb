// Package oracle computes how much of the core time that a scenario's workloads request could have run, given the true
// state of every machine at every instant.
//
// Bound and Place enclose the optimum. Bound is an upper bound: it allows workloads to be split and migrated at no
// cost, and limits them only by the total capacity of the machines that are up at an instant. Place is a lower bound:
// the result of a feasible schedule, which an online algorithm computes without delays. Where both are equal, they are
// the optimum. With Constraints, Place also applies limits that a scheduler must respect besides the machines'
// capacity.
//
// Times are in milliseconds; sizes are in cores and in the scenario's unit of memory. The package does no I/O.
package oracle
