// Package storage keeps the durable state of an allocator in a directory: the binds of workloads that must not take
// effect twice and that may be running when the allocator crashes. Package recovery decides which binds these are;
// package storage makes them durable and reads them back.
//
// # Directory
//
// A directory holds pairs of files that share an increasing number: NUMBER.snap is a snapshot of all live binds, and
// NUMBER.log is the write-ahead log of what changed since. A snapshot replaces every file of a lower number, so that
// the time to start depends on the number of live binds and not on their history. A new pair is begun by each start
// and by each log that has grown too long. No file of an earlier incarnation is ever appended to, since a crash may
// have truncated its last record.
//
// # Files
//
// A log is a header followed by records, each with its length and a CRC-32C checksum. A snapshot has the same format
// with exactly one record. Integers are little-endian, and the payload of a record is a protobuf message of package
// statepb. Times are Unix milliseconds, because they have to mean the same to the next incarnation.
//
// A log that ends in an incomplete record was truncated by a crash: the record had not been reported as durable and is
// dropped. A record that cannot be read, and is followed by one that can, was changed afterwards and is reported as a
// *CorruptionError.
//
// The page docs/state.md describes the directory to operators.
package storage

//go:generate protoc --proto_path=../.. --go_out=../.. --go_opt=module=grebeglade internal/storage/statepb/state.proto
