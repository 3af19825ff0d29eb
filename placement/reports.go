package placement

// receivedReport is a load report with the time of its receipt. Missing values are NaN.
type receivedReport struct {
	at Millis
	// used is the amount of resources in use on the node.
	used resources
	// spare is the reported amount that is not in use (with Settings.ReportsUsage) or not requested (without).
	spare resources
}

// reportHistory holds the last reports of a node, oldest first.
type reportHistory []receivedReport

// latest returns the last report, or nil if there is none or it is older than maxReportAge. It returns a pointer
// because every decision calls it several times per node: a copy that crosses a page of the stack makes a decision a
// tenth slower.
func (h reportHistory) latest(now Millis) *receivedReport {
	if now-h.lastAt() > maxReportAge {
		return nil
	}
	return &h[len(h)-1]
}

// lastAt returns the time of the last report, or DistantPast before the first.
func (h reportHistory) lastAt() Millis {
	if len(h) == 0 {
		return DistantPast
	}
	return h[len(h)-1].at
}

// add appends a report. The new report replaces the last one if it comes less than reportSpacing after the last but
// one, so that frequent reports do not shorten the time that the history covers.
func (h *reportHistory) add(now Millis, report receivedReport) {
	last := len(*h) - 1
	if last > 0 && now-(*h)[last-1].at < reportSpacing {
		*h = (*h)[:last]
	}
	*h = appendBounded(*h, report, maxReports)
}
