package platform

import "grebeglade/placement"

// statusInterval, in ms, is the time between two lines that say what the frontend holds.
const statusInterval = placement.Millis(10e3)

// statusLog logs regularly what the frontend holds and waits for.
type statusLog struct {
	frontend *Frontend
	loggedAt placement.Millis // time of the last line, or of the start
}

// logIfDue logs a line if statusInterval has passed since the last one and there are clients or workloads.
func (s *statusLog) logIfDue(now placement.Millis) {
	f := s.frontend
	if now-s.loggedAt < statusInterval {
		return
	}
	s.loggedAt = now
	workloads := len(f.workloads.byID) + len(f.adoptions.handovers.byTag)
	if workloads == 0 && len(f.clients.conns) == 0 {
		return
	}
	f.log.Info("status",
		"clients", len(f.clients.conns), "unanswered", f.workloads.unanswered.Count(), "workloads", workloads,
		"nodes", len(f.nodes.byID), "node_connections", len(f.nodeConns.conns), "silent_nodes", f.nodes.silent(),
		"notifications_waiting", len(f.clients.undelivered), "notifications_dropped", f.Counters.DroppedNotifications,
		"revision", f.subscription.revision, "discovery_heard_ms_ago", int(now-f.subscription.lastReceived))
}
