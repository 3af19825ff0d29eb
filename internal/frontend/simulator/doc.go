// Package simulator serves allocators to an external simulator, which drives them over standard input and output.
//
// The simulator sends batches and waits for a reply to each. Integers are big-endian, floats are IEEE 754 single
// precision, and durations and times are in nanoseconds:
//
//	batch   size uint32 (of what follows), time uint64, count uint32, records
//	reply   count uint32, size uint32 (of the records), records
//	record  code uint8, size uint32 (of what follows), fields
//
// One process runs several allocators, the instances, which do not communicate with each other. The first field of most
// records is the number of the instance that the record is for or from. For compatibility with later versions of the
// protocol, records with unknown codes and additional fields at the end of a record are skipped.
package simulator
