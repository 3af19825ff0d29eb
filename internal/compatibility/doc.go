// Package compatibility tests that the external formats do not change: bytes on the wire, stored traces and state
// directories, JSON documents, command names and flags, and the result of every scenario in virtual time.
//
// The files in testdata were written by revision 51e6872. A difference from one of them is a change that can break
// clients, nodes, scripts or the reading of stored data. Running the tests with -update rewrites the text files; binary
// traces and state directories are never rewritten.
package compatibility
