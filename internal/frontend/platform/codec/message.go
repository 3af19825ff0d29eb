package codec

import "grebeglade/placement"

// Message is a message with a client or a node; its dynamic type is a pointer to one of the structs of this file.
type Message interface {
	// Envelope returns the header.
	Envelope() *Header
}

// Header is the part that all messages share.
type Header struct {
	Tag Tag
	// Load is the load report that a node attached to the message, or nil. Encoders ignore it.
	Load *placement.LoadReport
}

// Envelope returns h, which makes every struct that embeds a Header a Message.
func (h *Header) Envelope() *Header { return h }

// Cause says how a workload, or the request for it, ended. Its numbers are the protocol's. A message that states none
// has CauseNone.
type Cause uint8

// The causes. Their numbers are fixed by the protocol.
const (
	CauseNone         Cause = 0
	CauseNormal       Cause = 16  // it has finished, or is not wanted any more
	CauseCancelled    Cause = 31  // migrated, or ended by its own client
	CauseNoCapacity   Cause = 34  // rejected; it never ran
	CauseReset        Cause = 41  // lost; before the answer it may have run
	CauseError        Cause = 47  // the node failed to start it
	CauseInvalid      Cause = 88  // the request breaks the protocol
	CauseNotDelivered Cause = 102 // it was never sent
)

// Description is the optional description of a message. The zero value is an absent one.
type Description struct {
	text    string
	present bool
}

// NewDescription returns a description that is present, even if its text is empty.
func NewDescription(text string) Description { return Description{text: text, present: true} }

// Text returns the text, and whether the description is present.
func (d Description) Text() (string, bool) { return d.text, d.present }

// Task is the workload that a client describes in a request.
type Task struct {
	Class       string
	Key         string // idempotency key: 1 to 64 bytes
	Description string // passed on to the node unchanged
	Service     uint64 // 0 if the request names none
	Cores       float64
	Memory      float64
	Retried     bool // the client has requested it before
}

// PlaceRequest is a client's request to place a workload.
type PlaceRequest struct {
	Header
	Task
	// Timeout is how long the client waits for the answer, in ms from the sending of the request. It is above 0.
	Timeout placement.Millis
}

// AdoptRequest is a client's statement that a node runs a workload already. It gets no answer.
type AdoptRequest struct {
	Header
	Task
	Node string // the node's name
}

// Offer requests that a node run a workload.
type Offer struct {
	Header
	Class       string
	Key         string
	Timeout     placement.Millis // for which the allocator waits for the reply; whole ms on the wire
	Description string
}

// Confirmation says that a workload runs on a node.
type Confirmation struct {
	Header
	Description Description // the node's, passed on to the client unchanged
}

// Termination ends a workload or the request for it. A client cancels either with it; a node rejects a bind or
// reports the end of a workload; a client is notified that its request was rejected or has failed, or that its
// workload has ended.
type Termination struct {
	Header
	Cause  Cause
	Reason placement.Reason // that a node states beside the cause; encoders ignore it
}

// Migration notifies a client that its workload ends so that it can be placed again.
type Migration struct{ Header }

// HealthCheck requests a HealthReply.
type HealthCheck struct{ Header }

// HealthReply is the reply to a health check, which has the same tag.
type HealthReply struct {
	Header
	Passed bool
}

// UsageReport is a node's measurement of a workload that it runs.
type UsageReport struct {
	Header
	Kind  placement.UsageKind
	Value float64
}

// Ignorable is a message that needs no reaction beyond its load report: progress, an acknowledgement, a note of another
// kind, or a message for the other side of a connection.
type Ignorable struct{ Header }

// Invalid is a message that is framed correctly, but breaks the protocol. The receiver decides whether to close the
// connection.
type Invalid struct {
	Header
	Err error
}

// NewTermination returns a termination of the workload.
func NewTermination(tag Tag, cause Cause) *Termination {
	return &Termination{Header: Header{Tag: tag}, Cause: cause}
}

// NewConfirmation returns a confirmation that passes on a node's description.
func NewConfirmation(tag Tag, description string) *Confirmation {
	return &Confirmation{Header: Header{Tag: tag}, Description: NewDescription(description)}
}

// NewHealthCheck returns a health check.
func NewHealthCheck(tag Tag) *HealthCheck { return &HealthCheck{Header{Tag: tag}} }

// NewHealthReply returns the reply to a health check.
func NewHealthReply(tag Tag, passed bool) *HealthReply {
	return &HealthReply{Header: Header{Tag: tag}, Passed: passed}
}

// NewMigration returns the notification that a workload is migrated.
func NewMigration(tag Tag) *Migration { return &Migration{Header{Tag: tag}} }
