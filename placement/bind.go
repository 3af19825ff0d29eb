package placement

import (
	"math"
	"slices"
)

// bindState is the furthest stage that a bind has reached according to the node. It only advances.
type bindState uint8

const (
	bindSent      bindState = iota // offered to the node; no reply yet
	bindConfirmed                  // accepted by the node
	bindRunning                    // started; the program of the service is installed on the node
)

// bind is one offer of a workload to a node. It is kept until the offer fails or the workload ends.
type bind struct {
	// workload is the offered workload.
	workload *workload
	// node is the node that the workload was offered to.
	node *node
	// sentAt is the time of the offer, or the time of the adoption for a workload that already ran.
	sentAt Millis
	// state is the furthest stage reached.
	state bindState
	// unverified is set for an adopted workload that the node has not reported on: the client that handed it over may
	// be wrong about it.
	unverified bool
	// usedCores is the number of cores in use by the workload at the last observation; NaN before the first.
	usedCores float64
}

// advance moves the bind to state. It does nothing if the bind has reached that state or a later one.
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

// removeBind removes a bind that has failed or ended from n and records in n.changes that its resources are free.
func (n *node) removeBind(now Millis, ended *bind) {
	n.binds = slices.DeleteFunc(n.binds, func(b *bind) bool { return b == ended })
	if ended.state == bindSent {
		n.unanswered--
	}
	released := ended.workload.request()
	n.changes.add(now, resources{Cores: -released.Cores, Memory: -released.Memory})
}

// runsService reports whether a workload of this allocator runs the service on n. The program of the service is then
// installed there.
func (n *node) runsService(id ServiceID) bool {
	return slices.ContainsFunc(n.binds, func(b *bind) bool {
		return b.state == bindRunning && b.workload.Service == id
	})
}

// countServiceBinds returns the number of this allocator's binds of the service to n, in any state.
func (n *node) countServiceBinds(id ServiceID) int {
	count := 0
	for _, b := range n.binds {
		if b.workload.Service == id {
			count++
		}
	}
	return count
}
