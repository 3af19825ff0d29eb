package codec

import "grebeglade/placement"

// Message is a message on a client or node connection. Its dynamic type is a pointer to one of the structs below that
// embed Header.
type Message interface {
	// Envelope returns the header.
	Envelope() *Header
}

// Header has the fields common to all messages.
type Header struct {
	Tag Tag
	// Load is the load report attached to a node's message, or nil. It is not encoded.
	Load *placement.LoadReport
}

// Envelope returns h. It implements Message for every struct that embeds a Header.
func (h *Header) Envelope() *Header { return h }

// Cause is the reason why a workload, or the request for it, ended.
type Cause uint8

// Causes, with their numbers on the wire. CauseNone is the value of a message without a cause.
const (
	CauseNone         Cause = 0
	CauseNormal       Cause = 16  // the workload finished, or was released or cancelled
	CauseCancelled    Cause = 31  // the workload was migrated, or ended by its client
	CauseNoCapacity   Cause = 34  // the request was rejected; the workload never ran
	CauseReset        Cause = 41  // the workload was lost; if the request was unanswered, it may or may not have run
	CauseError        Cause = 47  // the node failed to start the workload
	CauseInvalid      Cause = 88  // the request is invalid
	CauseNotDelivered Cause = 102 // the offer was never sent
)

// Description is the optional description in a message. The zero value is an absent description.
type Description struct {
	text    string
	present bool
}

// NewDescription returns a present description; its text may be empty.
func NewDescription(text string) Description { return Description{text: text, present: true} }

// Text returns the description's text, and whether the description is present.
func (d Description) Text() (string, bool) { return d.text, d.present }

// Task is the specification of a workload in a client's request.
type Task struct {
	Class       string
	Key         string // idempotency key: 1 to 64 bytes
	Description string // passed on to the node unchanged
	Service     uint64 // 0 if absent from the request
	Cores       float64
	Memory      float64
	Retried     bool // the client marked the request as a retry
}

// PlaceRequest is a client's request to place a workload.
type PlaceRequest struct {
	Header
	Task
	// Timeout is how long the client waits for the answer, in ms, from when it sent the request. It is above 0.
	Timeout placement.Millis
}

// AdoptRequest is a client's request that the allocator take over a workload that already runs on a node. If it is
// accepted, no answer is sent.
type AdoptRequest struct {
	Header
	Task
	Node string // the node's name
}

// Offer is an allocator's request to a node to run a workload.
type Offer struct {
	Header
	Class       string
	Key         string
	Timeout     placement.Millis // time that the allocator waits for the reply; truncated to whole ms on the wire
	Description string
}

// Confirmation reports that a node accepted a workload and runs it.
type Confirmation struct {
	Header
	Description Description // set by the node, passed on to the client unchanged
}

// Termination ends a workload or the request for it. A client sends it to cancel either; a node sends it to reject an
// offer or to report the end of a workload. An allocator sends it to a node to withdraw an offer or end a workload, and
// to a client to report that its request was rejected or failed, or that its workload ended.
type Termination struct {
	Header
	Cause  Cause
	Reason placement.Reason // more specific reason in a node's message; not encoded
}

// Migration notifies a client that its workload will be ended so that it can be placed again.
type Migration struct{ Header }

// HealthCheck requests a HealthReply with the same tag.
type HealthCheck struct{ Header }

// HealthReply is the reply to the HealthCheck with the same tag.
type HealthReply struct {
	Header
	Passed bool
}

// UsageReport is a node's report that a workload is running, or of the resources that it uses.
type UsageReport struct {
	Header
	Kind  placement.UsageKind
	Value float64
}

// Ignorable is a message of which only the load report is used: progress, an acknowledgement, a measurement of an
// unsupported kind or without a value, or a message that only the other side of a connection handles.
type Ignorable struct{ Header }

// Invalid is a message with an invalid field or load report. The receiver decides whether to close the connection.
type Invalid struct {
	Header
	Err error
}

// NewTermination returns a termination of the workload with the given tag.
func NewTermination(tag Tag, cause Cause) *Termination {
	return &Termination{Header: Header{Tag: tag}, Cause: cause}
}

// NewConfirmation returns a confirmation with a present description.
func NewConfirmation(tag Tag, description string) *Confirmation {
	return &Confirmation{Header: Header{Tag: tag}, Description: NewDescription(description)}
}

// NewHealthCheck returns a health check with the given tag.
func NewHealthCheck(tag Tag) *HealthCheck { return &HealthCheck{Header{Tag: tag}} }

// NewHealthReply returns the reply to the health check with the given tag.
func NewHealthReply(tag Tag, passed bool) *HealthReply {
	return &HealthReply{Header: Header{Tag: tag}, Passed: passed}
}

// NewMigration returns the notification that the workload with the given tag is migrated.
func NewMigration(tag Tag) *Migration { return &Migration{Header{Tag: tag}} }
