// Package compatibility tests that the formats which leave a process do not change: bytes on the wire, stored
// traces and state directories, JSON documents, command names and flags, and the outcome of every virtual scenario.
//
// The files in testdata were written by revision 51e6872. A test that differs from one of them shows a change that
// clients, nodes, scripts or stored data would notice. Running the tests with -update rewrites the text files; binary
// traces and state directories are never rewritten.
package compatibility
