package placement

import (
	"math"
	"slices"
)

// bindState is how far a bind is known to have come. It never goes back.
type bindState uint8

const (
	bindSent      bindState = iota // offered to the node, which has not answered yet
	bindConfirmed                  // accepted by the node
	bindRunning                    // started: the node has the program of the service
)

// bind is one offer of a workload to a node, until its end is known.
type bind struct {
	// workload is what the node was offered.
	workload *workload
	// node is where the workload was offered.
	node *node
	// sentAt is when the offer was made, or when a workload that ran already was adopted.
	sentAt Millis
	// state is how far the bind has come.
	state bindState
	// usedCores are the cores that the workload used when last observed; NaN before any observation.
	usedCores float64
}

// advance records that the bind has come as far as state, if it had not before.
func (b *bind) advance(state bindState) {
	if b.state == bindSent && state > bindSent {
		b.node.unanswered--
	}
	b.state = max(b.state, state)
}

// overdue reports whether the bind has been unanswered for longer than limit.
func (b *bind) overdue(now, limit Millis) bool {
	return b.state == bindSent && now-b.sentAt > limit
}

// addBind records a new bind of workload to n.
func (n *node) addBind(now Millis, w *workload) *bind {
	added := &bind{
		workload:  w,
		node:      n,
		sentAt:    now,
		usedCores: math.NaN(),
	}
	n.binds = append(n.binds, added)
	n.unanswered++
	return added
}

// removeBind forgets a bind to n that has ended, and records that its resources are free again.
func (n *node) removeBind(now Millis, ended *bind) {
	n.binds = slices.DeleteFunc(n.binds, func(b *bind) bool { return b == ended })
	if ended.state == bindSent {
		n.unanswered--
	}
	released := ended.workload.request()
	n.changes.add(now, resources{Cores: -released.Cores, Memory: -released.Memory})
}

// runsService reports whether a workload of ours runs the service on n, so that its program is installed there.
func (n *node) runsService(id ServiceID) bool {
	return slices.ContainsFunc(n.binds, func(b *bind) bool {
		return b.state == bindRunning && b.workload.Service == id
	})
}

// bindsOf counts our binds of the service to n, whether they are sent or placed.
func (n *node) bindsOf(id ServiceID) int {
	count := 0
	for _, b := range n.binds {
		if b.workload.Service == id {
			count++
		}
	}
	return count
}
