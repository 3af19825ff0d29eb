package simulator

import (
	"encoding/binary"
	"fmt"
	"io"

	"grebeglade/placement"
)

// replyCode is the type of a record of a reply.
type replyCode uint8

// Codes of the records of a reply. Each comment begins with the protocol's name of the record.
const (
	codeBind          replyCode = 67 // bind: offer a workload to a node
	codeSubscribe     replyCode = 68 // observe: subscribe to node discovery's updates
	codeUnschedulable replyCode = 70 // abort: a workload is unschedulable
	codeCheckHealth   replyCode = 71 // test: check a node's health
	codeMigrate       replyCode = 72 // take off: migrate a running workload
	codeWakeAt        replyCode = 74 // alarm: wake the instance at a time
	codeReject        replyCode = 76 // push back: a workload is rejected
)

const (
	replyHeaderSize    = 4 + 4 // bytes of count and size
	subscribeToChanges = 1     // value in codeSubscribe: send updates from now on
	noRetryAfter       = 0     // retry delay in codeReject: none is suggested
	timerName          = 0     // timer name in codeWakeAt: returned in codeWakeup, unused by instances
)

// reply collects the records of the reply to one batch.
type reply struct {
	count   int    // number of records
	records []byte // encoded records
	fields  []byte // buffer for the fields of the next record
}

// add appends a record. fields are those after the instance number.
func (p *reply) add(code replyCode, instance uint16, fields []byte) {
	const instanceSize = 2
	p.records = append(p.records, uint8(code))
	p.records = binary.BigEndian.AppendUint32(p.records, uint32(instanceSize+len(fields)))
	p.records = binary.BigEndian.AppendUint16(p.records, instance)
	p.records = append(p.records, fields...)
	p.fields = fields[:0]
	p.count++
}

func (p *reply) bind(instance uint16, workload placement.WorkloadID, node placement.NodeID, timeout placement.Millis) {
	fields := binary.BigEndian.AppendUint32(p.fields, uint32(workload))
	fields = binary.BigEndian.AppendUint32(fields, uint32(node))
	fields = binary.BigEndian.AppendUint64(fields, nanos(timeout))
	p.add(codeBind, instance, fields)
}

func (p *reply) migrate(instance uint16, workload placement.WorkloadID) {
	p.add(codeMigrate, instance, binary.BigEndian.AppendUint32(p.fields, uint32(workload)))
}

func (p *reply) checkHealth(instance uint16, node placement.NodeID) {
	p.add(codeCheckHealth, instance, binary.BigEndian.AppendUint32(p.fields, uint32(node)))
}

func (p *reply) subscribe(instance uint16) {
	p.add(codeSubscribe, instance, append(p.fields, subscribeToChanges))
}

func (p *reply) reject(instance uint16, workload placement.WorkloadID) {
	fields := binary.BigEndian.AppendUint32(p.fields, uint32(workload))
	p.add(codeReject, instance, binary.BigEndian.AppendUint64(fields, noRetryAfter))
}

func (p *reply) unschedulable(instance uint16, workload placement.WorkloadID) {
	p.add(codeUnschedulable, instance, binary.BigEndian.AppendUint32(p.fields, uint32(workload)))
}

func (p *reply) wakeAt(instance uint16, at placement.Millis) {
	fields := binary.BigEndian.AppendUint64(p.fields, nanos(at))
	p.add(codeWakeAt, instance, binary.BigEndian.AppendUint32(fields, timerName))
}

// writeTo writes the reply and resets it for the next batch.
func (p *reply) writeTo(w io.Writer) error {
	var header [replyHeaderSize]byte
	binary.BigEndian.PutUint32(header[:], uint32(p.count))
	binary.BigEndian.PutUint32(header[4:], uint32(len(p.records)))
	if _, err := w.Write(header[:]); err != nil {
		return fmt.Errorf("write reply: %w", err)
	}
	if _, err := w.Write(p.records); err != nil {
		return fmt.Errorf("write reply: %w", err)
	}
	p.count = 0
	p.records = p.records[:0]
	return nil
}
