package placement

// Tuning of the decisions. Times are in ms; "share" is of a node's cores or memory unless it says otherwise.
const (
	loadCap           = 0.8         // share of cores; the design's start, for groups that state no degradation
	degradationLimit  = 0.5         // part of the way from full service to none that a crowded node may go
	memoryCap         = 0.9         // share of memory in use; leaves a tenth for growth after a start
	loadTieBand       = 0.05        // share of cores; the design's: finer than the noise of load reports
	discoveryLag      = Millis(750) // age of an entry's capacity on arrival: the node's report and the list's
	discoverySettling = Millis(2e3) // within which a change of capacity shows in the list, if it ever will
	reportLag         = Millis(700) // age of a load report on arrival: its refresh and its way here
	reportMaxAge      = Millis(5e3) // after which a report no longer counts: several workloads ended by then
	maxReports        = 16          // reports kept of a node: enough to cover the migration window
	maxUsageSamples   = 64          // over the whole fleet: a steady mean that still follows the time of day
	defaultUsageShare = 0.6         // of the requested cores that is used, before any sample

	minBindTimeout          = Millis(1e3)  // a full admission queue takes as long
	bindTimeoutFactor       = 3            // times the median confirmation, after which a bind times out
	answerMargin            = Millis(20)   // before the pending timeout, by which the final answer is given
	emptyListRetry          = Millis(50)   // between looks for a first node, while the list is still empty
	maxConfirmations        = 32           // over the whole fleet: a steady median that follows the time of day
	defaultConfirmationTime = Millis(2e3)  // before any confirmation was seen: the first start of a program
	capacityRejectionPause  = Millis(1e3)  // for which a node without capacity is not offered as much again
	groupRejectionPause     = Millis(15e3) // for which a group rejected without a reason avoids the node
	maxRejections           = 8            // kept of a node: one a group, and some for lack of capacity

	maxReservedShare    = 0.5         // of the number of nodes: no more slots are kept for higher groups at once
	maxReservationScale = 10          // reservation windows that our requests are counted over, to stand for all
	reservationWindow   = Millis(2e3) // of requests that capacity is kept for: those before the list shows it
	maxGroupRequests    = 64          // kept of a group: more than one group's within reservationWindow

	warmUpWindowFactor = 1.2         // times the overload window that ours lasts: binds bunch up on their way
	slowStartRamp      = Millis(5e3) // over which our binds to a new node rise to our whole share of its budget

	healthCheckAfter       = Millis(1500) // without a report, after which a node is checked
	healthChecksPerRequest = 1.0          // checks that a request pays for: their cost stays a small part of it
	unresponsiveAfter      = Millis(800)  // beyond the usual, after which an unanswered bind hints at a hang
	ejectionTime           = Millis(500)  // after one failed contact; doubles with each further one in a row
	ejectionDoublings      = 5            // so that a node is tried again after 16 s at the latest
	minNodesPerEjection    = 3            // nodes for each that is ejected: more failures have a common cause

	resubscribeAfter    = Millis(8e3)  // without an event, after which the subscription is renewed
	pollBackoff         = Millis(1500) // after a failed poll, on average; doubles with each further one
	maxPollDoublings    = 3            // to 12 s: an overloaded list needs as long to serve every allocator
	firstPollSpacing    = Millis(20)   // from one allocator's first poll to the next, within resubscribeAfter
	maintenanceInterval = Millis(250)  // short against every window above

	migrationWindow   = Millis(1500) // above the cap; begun at 10 s, in which a hotspot's workloads lost service
	migrationInterval = Millis(500)  // between migrations off one node: reports must show the last one first
	migrationReports  = 2            // fewer reports within the window are no evidence
)
