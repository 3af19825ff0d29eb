// Package storage keeps the durable state of an allocator in a directory: the binds of workloads that must not take
// effect twice and that may be running when the allocator crashes. Package recovery selects these binds; package
// storage makes them durable and reads them back.
//
// # Directory
//
// A directory holds pairs of files with the same increasing number: NUMBER.snap is a snapshot of all live binds, and
// NUMBER.log is the write-ahead log of the changes since. A snapshot replaces all files with lower numbers, so that the
// start-up time depends on the number of live binds and not on the length of their history. A new pair is created at
// each start, when the log exceeds its size limit, and after a failed write or sync. Files of an earlier incarnation
// are never appended to, since a crash may have truncated their last record.
//
// # Files
//
// A log is a header followed by records, each with its length and a CRC-32C checksum. A snapshot has the same format
// with exactly one record. Integers are little-endian, and the payload of a record is a protobuf message of package
// statepb. Times are Unix milliseconds, since they must remain valid in the next incarnation.
//
// An invalid record at the end of a log was left by a crash: it was never reported as durable, and is dropped. An
// invalid record that is followed by a valid one was changed after it was written, and is reported as a
// *CorruptionError.
//
// The page docs/state.md describes the directory to operators.
package storage

//go:generate protoc --proto_path=../.. --go_out=../.. --go_opt=module=grebeglade internal/storage/statepb/state.proto
