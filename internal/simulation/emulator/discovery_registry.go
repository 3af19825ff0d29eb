package emulator

import (
	"grebeglade/internal/transport"
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

// nodeRegistry holds the registered nodes. Each change has a revision of its own.
type nodeRegistry struct {
	records  map[uint32]*nodeRecord // by node ID
	revision uint64                 // of the last change
}

// nodeRecord is the registered state of a node.
type nodeRecord struct {
	pb.NodeEntry
	since    placement.Millis // when UpForMs was reported
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
	record.since = at
	record.conn = conn
	r.changed(record)
}

// remove marks a node as removed, unless it registered over another connection.
func (r *nodeRegistry) remove(id uint32, conn transport.ConnID) {
	if record := r.records[id]; record != nil && record.conn == conn {
		record.State = pb.NodeEntry_REMOVED
		r.changed(record)
	}
}

// changed gives a record the next revision.
func (r *nodeRegistry) changed(record *nodeRecord) {
	r.revision++
	record.revision = r.revision
}

// touchAll gives all records one new revision.
func (r *nodeRegistry) touchAll() {
	r.revision++
	for _, record := range r.records {
		record.revision = r.revision
	}
}

// isUnchanged reports whether an entry states what the record holds, over the same connection.
func (r *nodeRecord) isUnchanged(conn transport.ConnID, entry *pb.NodeEntry) bool {
	return r.Id != 0 && r.conn == conn &&
		r.Incarnation == entry.Incarnation && r.State == entry.State &&
		r.FreeCores == entry.FreeCores && r.FreeMemory == entry.FreeMemory
}

// set copies the fields of an entry, which must not be copied as a whole.
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

// entryAt returns the record as it is sent: with its uptime as of now, and its free capacity multiplied by a factor.
func (r *nodeRecord) entryAt(now placement.Millis, capacityFactor float64) *pb.NodeEntry {
	uptime := r.UpForMs
	if uptime >= 0 {
		uptime += float64(now - r.since)
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
