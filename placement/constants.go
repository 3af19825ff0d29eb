package placement

// Tuning of the decisions: every tuned value of the package is here. A utilization is in cores used for each
// core of a node; times are in milliseconds.

// Load and memory in use that a node may reach.
const (
	// defaultLoadCap is the utilization that a node must stay below, for groups that state no degradation. It is
	// the design's start.
	defaultLoadCap = 0.8
	// degradationLimit is the part of a group's degradation range that a node may go into, from 0 (full service)
	// to 1 (none).
	degradationLimit = 0.5
	// memoryCap is the share of a node's memory that may be in use. It leaves a tenth for growth after a start.
	memoryCap = 0.9
	// loadTieBand is the difference in utilization within which loads tie. It is the design's: finer than the
	// noise of load reports.
	loadTieBand = 0.05
)

// Age of what the node list and load reports show.
const (
	// discoveryLag is the age of an entry's capacity on arrival: the node's report and the list's.
	discoveryLag = Millis(750)
	// discoverySettling is the time within which a change of capacity shows in the list, if it ever will.
	discoverySettling = Millis(2e3)
	// reportLag is the age of a load report on arrival: its refresh and its way here.
	reportLag = Millis(700)
	// reportMaxAge is the age beyond which a report no longer counts: several workloads ended by then.
	reportMaxAge = Millis(5e3)
	// maxReports is how many reports of a node are kept: enough to cover the migration window.
	maxReports = 16
	// reportSpacing is the time from one report that is kept to the next, where more come: those kept cover the
	// migration window, with two to spare.
	reportSpacing = migrationWindow / (maxReports - 2)
	// maxUsageSamples is how many usage ratios are kept over the whole fleet: a steady mean that still follows the
	// time of day.
	maxUsageSamples = 64
	// defaultUsageRatio is the number of cores used for each one requested, before any sample.
	defaultUsageRatio = 0.6
)

// Timeouts, and what is kept of answers.
const (
	// minBindTimeout is the least timeout of a bind that another may follow: a full admission queue takes as long.
	minBindTimeout = Millis(1e3)
	// bindTimeoutFactor is the timeout of a bind that another may follow, in median confirmation times.
	bindTimeoutFactor = 3
	// bindsInRemainingTime divides the time that remains to a workload: half of it is left for a further bind.
	bindsInRemainingTime = 2
	// answerMargin is how long before the pending timeout the final answer is given.
	answerMargin = Millis(20)
	// emptyListRetry is the time after which a workload is scheduled again, while no node is known.
	emptyListRetry = Millis(50)
	// maxConfirmations is how many confirmation times are kept over the whole fleet: a steady median that follows
	// the time of day.
	maxConfirmations = 32
	// defaultConfirmationTime stands for the longest confirmation before any was seen: the first start of a program.
	defaultConfirmationTime = Millis(2e3)
	// capacityRejectionPause is how long a node without capacity is not offered as much again.
	capacityRejectionPause = Millis(1e3)
	// groupRejectionPause is how long a group avoids a node that rejected it without a reason of capacity.
	groupRejectionPause = Millis(15e3)
	// maxRejections is how many rejections of a node are kept: one for each group, and some for lack of capacity.
	maxRejections = 8
)

// Reservations for groups of higher priority weight.
const (
	// minReservedSlots is how many slots are kept at least, while any request was seen that competes.
	minReservedSlots = 1
	// maxReservedSlotsPerNode limits the slots that are kept for higher groups at once, in slots for each node.
	maxReservedSlotsPerNode = 0.5
	// maxReservationScale limits the reservation windows over which our requests are counted to stand for all.
	maxReservationScale = 10
	// reservationWindow is the time of requests that capacity is kept for: those before the list shows it.
	reservationWindow = Millis(2e3)
	// maxGroupRequests is how many requests of a group are kept: more than one group's within reservationWindow.
	maxGroupRequests = 64
)

// Slow start of nodes that have just started.
const (
	// warmUpWindowFactor is the window over which we count binds, in overload windows: binds bunch up on their way.
	warmUpWindowFactor = 1.2
	// slowStartRamp is the time over which our binds to a new node rise to our whole share of its budget.
	slowStartRamp = Millis(5e3)
	// minWarmUpBinds is how many binds our share allows in a window however low the rate is: less than one is none.
	minWarmUpBinds = 1
	// turnsPerWindow is how many turns of the allocators any window overlaps at most, so that each has an equal
	// part of the budget.
	turnsPerWindow = 2
	// turnOffsets is how many places in the order of allocators the turns on a node may start from: far more than
	// there are allocators, so that each is as likely as any other.
	turnOffsets = 1 << 20
)

// Health: checks and ejection.
const (
	// healthCheckAfter is the time without a report after which a node is checked.
	healthCheckAfter = Millis(1500)
	// healthChecksPerRequest is how many checks a request pays for: their cost stays a small part of it.
	healthChecksPerRequest = 1.0
	// unresponsiveAfter is the time beyond the usual after which an unanswered bind hints at an unresponsive node.
	unresponsiveAfter = Millis(800)
	// ejectionTime is how long one failed contact ejects a node. It doubles with each further one in a row.
	ejectionTime = Millis(500)
	// ejectionDoublings limits the doublings, so that a node is tried again after 16 s at the latest.
	ejectionDoublings = 5
	// minNodesPerEjection is how many nodes there must be for each that is ejected: more failures have a common
	// cause.
	minNodesPerEjection = 3
)

// Subscription to the node list, and maintenance.
const (
	// resubscribeAfter is the time without an event after which the subscription is renewed.
	resubscribeAfter = Millis(8e3)
	// renewalsPerPollInterval is how many renewals fit in the time within which a change must be known: after one
	// that fails there is time for another.
	renewalsPerPollInterval = 2
	// pollBackoff is the time to the next poll after a failed one, on average. It doubles with each further one.
	pollBackoff = Millis(1500)
	// maxPollDoublings limits the doublings to 12 s: an overloaded list needs as long to serve every allocator.
	maxPollDoublings = 3
	// firstPollSpacing is the time from one allocator's first poll to the next, within resubscribeAfter.
	firstPollSpacing = Millis(20)
	// jitterSteps is how many different factors jitter draws from, in equal steps.
	jitterSteps = 1000
	// jitterLeast is the least factor of a jittered duration.
	jitterLeast = 0.75
	// jitterRange is the difference between the least and the greatest factor, so that the mean factor is 1.
	jitterRange = 0.5
	// maintenanceInterval is the time between calls of Maintain: short against every window above.
	maintenanceInterval = Millis(250)
)

// Migration off overloaded nodes.
const (
	// overloadThreshold is the utilization above which a node counts as overloaded, whatever its groups state.
	overloadThreshold = defaultLoadCap
	// migrationWindow is the time above the threshold after which a workload is moved. The design starts at 10 s,
	// in which a hotspot's workloads lost service.
	migrationWindow = Millis(1500)
	// migrationInterval is the time between migrations off one node: reports must show the last one first.
	migrationInterval = Millis(500)
	// migrationReports is how many reports within the window are evidence; fewer are none.
	migrationReports = 2
	// overloadReportMaxAge is the age beyond which a report no longer shows that a node is still overloaded: a
	// node without one for half as long is checked.
	overloadReportMaxAge = 2 * healthCheckAfter
)
