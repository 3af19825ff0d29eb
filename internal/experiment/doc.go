// Package experiment runs scenarios in virtual time under varied settings, stores the measures of each run, and reports
// which differences are significant. An interrupted experiment resumes from the directory in which its runs are stored.
//
// A plan crosses the levels of its factors. Each combination of levels is a cell. All cells run with the same seeds, so
// that they are compared in pairs: the same workloads are requested at the same times, and faults are drawn from the
// same random numbers.
//
// Plan.Run executes the runs, Read reads a directory, Result.WriteReport writes the report, and Compare compares two
// directories or two cells.
package experiment
