package emulator

import (
	"grebeglade/internal/transport"
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

// nodeRegistry holds the registered nodes. Each change increments the revision.
type nodeRegistry struct {
	records  map[uint32]*nodeRecord // key: node ID
	revision uint64                 // revision of the last change
}

// nodeRecord is the registered state of a node.
type nodeRecord struct {
	pb.NodeEntry
	uptimeAt placement.Millis // time at which UpForMs was reported
	revision uint64
	conn     transport.ConnID
}

// register records the state that a node reported over a connection. Earlier incarnations and unchanged entries are
// ignored.
func (r *nodeRegistry) register(at placement.Millis, conn transport.ConnID, entry *pb.NodeEntry) {
	record := r.records[entry.Id]
	if record == nil {
		record = &nodeRecord{}
		r.records[entry.Id] = record
	}
	if entry.Incarnation < record.Incarnation || record.isUnchanged(conn, entry) {
		return
	}
	record.set(entry)
	record.uptimeAt = at
	record.conn = conn
	r.changed(record)
}

// remove marks a node as removed, unless it has registered over another connection.
func (r *nodeRegistry) remove(id uint32, conn transport.ConnID) {
	if record := r.records[id]; record != nil && record.conn == conn {
		record.State = pb.NodeEntry_REMOVED
		r.changed(record)
	}
}

// changed assigns the next revision to a record.
func (r *nodeRegistry) changed(record *nodeRecord) {
	r.revision++
	record.revision = r.revision
}

// touchAll assigns one new revision to all records.
func (r *nodeRegistry) touchAll() {
	r.revision++
	for _, record := range r.records {
		record.revision = r.revision
	}
}

// isUnchanged reports whether an entry has the record's connection, incarnation, state and free capacity.
func (r *nodeRecord) isUnchanged(conn transport.ConnID, entry *pb.NodeEntry) bool {
	return r.Id != 0 && r.conn == conn &&
		r.Incarnation == entry.Incarnation && r.State == entry.State &&
		r.FreeCores == entry.FreeCores && r.FreeMemory == entry.FreeMemory
}

// set copies an entry field by field, as a protobuf message must not be copied by assignment.
func (r *nodeRecord) set(entry *pb.NodeEntry) {
	r.Id = entry.Id
	r.State = entry.State
	r.Kind = entry.Kind
	r.Zone = entry.Zone
	r.Cell = entry.Cell
	r.Incarnation = entry.Incarnation
	r.UpForMs = entry.UpForMs
	r.Address = entry.Address
	r.FreeCores = entry.FreeCores
	r.FreeMemory = entry.FreeMemory
}

// entryAt returns the entry to send: the uptime is as of now, and the free capacity is multiplied by a factor.
func (r *nodeRecord) entryAt(now placement.Millis, capacityFactor float64) *pb.NodeEntry {
	uptime := r.UpForMs
	if uptime >= 0 {
		uptime += float64(now - r.uptimeAt)
	}
	return &pb.NodeEntry{
		Id:          r.Id,
		State:       r.State,
		Kind:        r.Kind,
		Zone:        r.Zone,
		Cell:        r.Cell,
		Incarnation: r.Incarnation,
		UpForMs:     uptime,
		FreeCores:   r.FreeCores * capacityFactor,
		FreeMemory:  r.FreeMemory * capacityFactor,
		Address:     r.Address,
	}
}
