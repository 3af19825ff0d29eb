// Package replay records the calls that an engine makes to the placement module, and makes the calls of a recorded trace
// again.
//
// Recorder stands between the engine and the module and writes down each call with its outcome. Files and Run make the
// calls of a trace to a new module and compare every outcome with the recorded one. ExtractFiles finds the few calls that
// a single decision depends on, and Reproduction.Print writes them as a Go test.
//
// Times are in milliseconds. Recorders and replays belong to one goroutine.
package replay
