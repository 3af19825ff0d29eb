package eventlog

import (
	"encoding/binary"
	"math"
)

// digestedSize is the size of an event's encoding for the digest, in bytes. Bytes that belong to no field are zero.
const digestedSize = 32

// addToDigest adds all fields of an event except the revision to the digest.
func (l *Log) addToDigest(e Event) {
	var b [digestedSize]byte
	binary.LittleEndian.PutUint64(b[:], math.Float64bits(float64(e.At)))
	b[8] = byte(e.Kind)
	b[9] = e.Detail
	b[10] = byte(e.Reason)
	binary.LittleEndian.PutUint32(b[12:], uint32(e.Bind))
	binary.LittleEndian.PutUint32(b[16:], uint32(e.Workload))
	binary.LittleEndian.PutUint32(b[20:], uint32(e.Node))
	binary.LittleEndian.PutUint16(b[24:], uint16(e.Group))
	_, _ = l.digest.Write(b[:]) // Write of a hash never returns an error
}

// Digest returns a hash of all events added so far, including the dropped ones. Runs with the same events have the same
// digest.
func (l *Log) Digest() uint64 { return l.digest.Sum64() }
