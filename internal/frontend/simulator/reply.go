package simulator

import (
	"encoding/binary"
	"io"

	"grebeglade/placement"
)

// replyCode says what a record of a reply is.
type replyCode uint8

// Codes of the records that are sent, by the protocol's names.
const (
	codeBind     replyCode = 67 // a workload is offered to a node
	codeObserve  replyCode = 68 // discovery is to send its changes
	codeAbort    replyCode = 70 // a workload is unschedulable
	codeTest     replyCode = 71 // a node is to be checked
	codeTakeOff  replyCode = 72 // a running workload is to be migrated
	codeAlarm    replyCode = 74 // the instance is to be called at a time
	codePushBack replyCode = 76 // a workload is rejected
)

const (
	replyHeaderSize = 4 + 4
	observeChanges  = 1 // in codeObserve: changes are wanted, from now on
	noRetryAfter    = 0 // in codePushBack: no advice when to request again
	alarmName       = 0 // in codeAlarm: what the simulator returns; no instance has to tell its alarms apart
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
	f := binary.BigEndian.AppendUint32(p.fields, uint32(workload))
	f = binary.BigEndian.AppendUint32(f, uint32(node))
	f = binary.BigEndian.AppendUint64(f, nanos(timeout))
	p.add(codeBind, instance, f)
}

func (p *reply) migrate(instance uint16, workload placement.WorkloadID) {
	p.add(codeTakeOff, instance, binary.BigEndian.AppendUint32(p.fields, uint32(workload)))
}

func (p *reply) checkHealth(instance uint16, node placement.NodeID) {
	p.add(codeTest, instance, binary.BigEndian.AppendUint32(p.fields, uint32(node)))
}

func (p *reply) subscribe(instance uint16) {
	p.add(codeObserve, instance, append(p.fields, observeChanges))
}

func (p *reply) reject(instance uint16, workload placement.WorkloadID) {
	f := binary.BigEndian.AppendUint32(p.fields, uint32(workload))
	p.add(codePushBack, instance, binary.BigEndian.AppendUint64(f, noRetryAfter))
}

func (p *reply) unschedulable(instance uint16, workload placement.WorkloadID) {
	p.add(codeAbort, instance, binary.BigEndian.AppendUint32(p.fields, uint32(workload)))
}

func (p *reply) alarm(instance uint16, at placement.Millis) {
	f := binary.BigEndian.AppendUint64(p.fields, nanos(at))
	p.add(codeAlarm, instance, binary.BigEndian.AppendUint32(f, alarmName))
}

// writeTo writes the reply, which is empty afterwards.
func (p *reply) writeTo(w io.Writer) error {
	var header [replyHeaderSize]byte
	binary.BigEndian.PutUint32(header[:], uint32(p.count))
	binary.BigEndian.PutUint32(header[4:], uint32(len(p.records)))
	if _, err := w.Write(header[:]); err != nil {
		return err
	}
	if _, err := w.Write(p.records); err != nil {
		return err
	}
	p.count = 0
	p.records = p.records[:0]
	return nil
}
