// Package experiment runs scenarios in virtual time with something varied, keeps the figures of each run in a directory
// from which an interrupted experiment is resumed, and reports what difference it made and with which certainty.
//
// A plan crosses the levels of its factors. Every crossing, a cell, is run with the same seeds, so that cells are compared
// in pairs: the same workloads are wanted at the same times, and the faults are drawn alike.
package experiment
