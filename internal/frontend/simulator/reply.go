package simulator

import (
	"encoding/binary"
	"fmt"
	"io"

	"grebeglade/placement"
)

// replyCode says what a record of a reply is.
type replyCode uint8

// Codes of the records that are sent, with the protocol's names.
const (
	codeBind          replyCode = 67 // bind: a workload is offered to a node
	codeSubscribe     replyCode = 68 // observe: discovery is to send its changes
	codeUnschedulable replyCode = 70 // abort: a workload is unschedulable
	codeCheckHealth   replyCode = 71 // test: a node is to be checked
	codeMigrate       replyCode = 72 // take off: a running workload is to be migrated
	codeWakeAt        replyCode = 74 // alarm: the instance is to be called at a time
	codeReject        replyCode = 76 // push back: a workload is rejected
)

const (
	replyHeaderSize    = 4 + 4
	subscribeToChanges = 1 // in codeSubscribe: changes are to be sent from now on
	noRetryAfter       = 0 // in codeReject: no advice when to request again
	timerName          = 0 // in codeWakeAt: returned at the wake-up; an instance has no use for it
)

// reply collects the records that answer one batch.
type reply struct {
	count   int
	records []byte
	fields  []byte // of the record that is being added; reused
}

// add appends a record of an instance.
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

// writeTo writes the reply, which is empty afterwards.
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
