package placement

// receivedReport is a load report with the time when it came. Values that it lacks are NaN.
type receivedReport struct {
	at Millis
	// used is what is in use on the node.
	used resources
	// spare is as reported: not in use or not requested, as Settings.ReportsUsage says.
	spare resources
}

// reportHistory holds the last reports of a node, oldest first.
type reportHistory []receivedReport

// latest returns the last report while it is fresh enough to count, or nil. Each decision asks for it several times a
// node, so it is not copied: where a copy happened to cross a page of the stack, a decision took a tenth longer.
func (h reportHistory) latest(now Millis) *receivedReport {
	if now-h.lastAt() > reportMaxAge {
		return nil
	}
	return &h[len(h)-1]
}

// lastAt returns when the last report came, or DistantPast before the first.
func (h reportHistory) lastAt() Millis {
	if len(h) == 0 {
		return DistantPast
	}
	return h[len(h)-1].at
}

// add appends a report. It replaces the last one where reports are dense, so that those kept cover the migration
// window.
func (h *reportHistory) add(now Millis, report receivedReport) {
	last := len(*h) - 1
	if last > 0 && now-(*h)[last-1].at < reportSpacing {
		*h = (*h)[:last]
	}
	*h = appendBounded(*h, report, maxReports)
}
