// Liveness decides when the machine of a node that runs workloads is lost, without a message from node discovery.
//
// Inputs: the times at which something was received from the node or a connection to it came up, and the connection
// attempts that got no response. A refused connection, or an attempt that failed on this machine, says nothing.
//
// A check is a new connection: it comes up if the machine can be reached, whether or not its process answers in time,
// and it costs the node no work that the platform prices. A node that is heard of needs no checks.
//
// Cost of an error: if a node counts as lost too late, the clients of its workloads are not notified within the
// platform's limit of 8 s; if it does although it is only cut off, its workloads are ended for nothing. A node may be
// cut off for maxPartition. So the first attempt without a response, at most livenessCheckInterval after the loss,
// begins a period, and the node is lost if attempts after the end of maxPartition fail too.

package placement

// Liveness is what is known of whether the machine of a node can be reached. The zero value is a node of which nothing
// was heard since time 0.
type Liveness struct {
	heardAt     Millis // time of the last sign of life
	lastAttempt Millis // start of the last check
	silent      bool   // an attempt since heardAt got no response
	silentSince Millis // start of the first such attempt; valid if silent
	failures    int    // attempts without a response since heardAt
	lateFailure int    // those of failures that began after the end of maxPartition
}

// Heard records a sign of life: something was received, or a connection came up.
func (l *Liveness) Heard(now Millis) {
	l.heardAt = now
	l.silent = false
	l.failures = 0
	l.lateFailure = 0
}

// HeardAt returns the time of the last sign of life.
func (l *Liveness) HeardAt() Millis { return l.heardAt }

// Failures returns the number of attempts without a response since the last sign of life.
func (l *Liveness) Failures() int { return l.failures }

// CheckBegun records the start of a check.
func (l *Liveness) CheckBegun(now Millis) { l.lastAttempt = now }

// NoResponse records that a connection attempt that began at the given time got no response. It reports whether the
// machine is lost.
func (l *Liveness) NoResponse(begunAt Millis) (lost bool) {
	if begunAt < l.heardAt {
		return false
	}
	if !l.silent {
		l.silent = true
		l.silentSince = begunAt
	}
	l.failures++
	if begunAt >= l.partitionOverAt() {
		l.lateFailure++
	}
	return l.lateFailure >= lateFailuresUntilLost
}

// NextCheck returns the time at which the next check is due, unless there is a sign of life before.
func (l *Liveness) NextCheck() Millis {
	regular := max(l.heardAt, l.lastAttempt) + livenessCheckInterval
	over := l.partitionOverAt()
	switch {
	case !l.silent:
		return regular
	case l.lastAttempt >= over:
		return l.lastAttempt
	case regular > over-LivenessCheckTimeout: // it would delay the check after the longest partition
		return over
	}
	return regular
}

// PartitionOver reports whether a silent node that was only cut off could be reached again.
func (l *Liveness) PartitionOver(now Millis) bool { return l.silent && now >= l.partitionOverAt() }

// partitionOverAt returns the time after which a node that was cut off can be reached again.
func (l *Liveness) partitionOverAt() Millis { return l.silentSince + maxPartition + partitionMargin }
