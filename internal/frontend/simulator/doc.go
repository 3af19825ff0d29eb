// Package simulator runs allocators behind the protocol of the users' simulator, on standard input and output.
//
// The simulator sends batches and waits for the reply to each. Integers are big-endian, floats are IEEE 754 single
// precision, and durations and times are nanoseconds:
//
//	batch   size uint32 (of what follows), time uint64, count uint32, records
//	reply   count uint32, size uint32 (of the records), records
//	record  code uint8, size uint32 (of what follows), fields
//
// The fields of most records begin with the number of the instance that a record is for or from: one process runs
// several allocators, which know nothing of each other. Records of unknown codes, and fields behind those that are
// known, are skipped, as they belong to a later version of the protocol.
package simulator
