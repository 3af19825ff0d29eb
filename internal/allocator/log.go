package allocator

import (
	"grebeglade/internal/eventlog"
	"grebeglade/placement"
)

// The log's digest covers the fields of these events. Setting another field changes the digest.

func (e *Engine) logRequested(now placement.Millis, requested placement.Workload) {
	e.log.Add(eventlog.Event{
		At:       now,
		Kind:     eventlog.Requested,
		Workload: requested.ID,
		Group:    requested.Group,
	})
}

func (e *Engine) logNotAdmitted(now placement.Millis, requested placement.Workload) {
	e.log.Add(eventlog.Event{
		At:       now,
		Kind:     eventlog.NotAdmitted,
		Workload: requested.ID,
		Group:    requested.Group,
	})
}

func (e *Engine) logBound(now placement.Millis, entry *workload) {
	e.log.Add(eventlog.Event{
		At:       now,
		Kind:     eventlog.Bound,
		Workload: entry.id,
		Node:     entry.node,
		Bind:     int32(entry.bind()),
		Group:    entry.group,
	})
}

// logOutcome records that the latest bind of a workload was confirmed, or that it ended unconfirmed.
func (e *Engine) logOutcome(
	now placement.Millis, entry *workload, kind placement.ResultKind, reason placement.Reason,
) {
	e.log.Add(eventlog.Event{
		At:       now,
		Kind:     eventlog.BindOutcome,
		Detail:   uint8(kind),
		Reason:   reason,
		Workload: entry.id,
		Node:     entry.node,
		Bind:     int32(entry.bind()),
		Group:    entry.group,
	})
}

func (e *Engine) logEnded(now placement.Millis, entry *workload, reason placement.Reason) {
	e.log.Add(eventlog.Event{
		At:       now,
		Kind:     eventlog.Ended,
		Workload: entry.id,
		Node:     entry.node,
		Reason:   reason,
	})
}
