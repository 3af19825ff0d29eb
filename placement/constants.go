package placement

// This file holds every tuning constant of the package. Utilizations are in cores in use per core of the node, times
// in milliseconds.

// Limits on the load and the memory in use on a node.
const (
	// defaultLoadCap is the utilization that a node must stay below for groups without degradation settings.
	defaultLoadCap = 0.8
	// maxDegradationShare is the share of a group's degradation range that the load of a node may use up, from 0
	// (full service) to 1 (no service).
	maxDegradationShare = 0.5
	// memoryCap is the largest allowed share of a node's memory in use. The remaining tenth is for growth after a
	// start.
	memoryCap = 0.9
	// loadTieBand is the largest difference in utilization between loads that count as equal. Smaller
	// differences are within the noise of load reports.
	loadTieBand = 0.05
)

// Age and retention of data from the node list and from load reports.
const (
	// discoveryLag is the age of a node list entry's capacity on arrival: the delay of the node's report plus that of
	// the list's update.
	discoveryLag = Millis(750)
	// discoverySettleTime is the time after which the node list includes a change of capacity, if it ever does.
	discoverySettleTime = Millis(2e3)
	// reportLag is the age of a load report on arrival: the node's refresh interval plus the transfer.
	reportLag = Millis(700)
	// maxReportAge is the age above which a load report is ignored: several workloads have ended by then.
	maxReportAge = Millis(5e3)
	// maxReports is the number of load reports kept per node: enough to cover migrationWindow.
	maxReports = 16
	// reportSpacing is the minimum time from the last but one kept report of a node to a new one: a new report that
	// comes earlier replaces the last one. At this spacing, maxReports reports cover migrationWindow, since
	// maxReports-2 intervals span it.
	reportSpacing = migrationWindow / (maxReports - 2)
	// maxUsageSamples is the number of usage ratios kept for the whole fleet: enough for a stable mean, few enough
	// to follow changes over the day.
	maxUsageSamples = 64
	// defaultUsageRatio is the assumed number of cores used per core requested, before the first sample.
	defaultUsageRatio = 0.6
)

// Bind timeouts, and retention of confirmations and rejections.
const (
	// minBindTimeout is the minimum timeout of a bind that is not the last one, unless less time remains: the reply of
	// a node with a full admission queue takes as long.
	minBindTimeout = Millis(1e3)
	// bindTimeoutFactor is a second minimum of that timeout, in multiples of the median confirmation time.
	bindTimeoutFactor = 3
	// remainingTimeDivisor divides a workload's remaining time to give a third minimum of that timeout. Where it is the
	// largest of the three, half of the time is left for another bind.
	remainingTimeDivisor = 2
	// MaxQueuedReplyTime is the maximum time for which a bind or a health check that has timed out waits for messages
	// of its node that were received and are queued: a full event queue is handled in less. A bind waits until
	// Step.AnswerBy at the latest.
	MaxQueuedReplyTime = Millis(1000)
	// answerMargin is the time between the latest final answer and the pending timeout.
	answerMargin = Millis(20)
	// emptyNodeListRetryInterval is the time between attempts to schedule a workload while the node table is empty.
	emptyNodeListRetryInterval = Millis(50)
	// maxConfirmations is the number of confirmation times kept for the whole fleet: enough for a stable median, few
	// enough to follow changes over the day.
	maxConfirmations = 32
	// defaultConfirmationTime is the assumed longest confirmation time before the first confirmation: the time of the
	// first start of a program on a node.
	defaultConfirmationTime = Millis(2e3)
	// capacityRejectionPause is how long a node that rejected a bind for lack of capacity gets no request of the same
	// size or more, or no request at all if its queue was full.
	capacityRejectionPause = Millis(1e3)
	// groupRejectionPause is how long a node gets no binds of a group after rejecting one for a reason other than
	// capacity.
	groupRejectionPause = Millis(15e3)
	// maxRejections is the number of rejections kept per node: one for each group, and some for lack of capacity.
	maxRejections = 8
)

// Reservations for groups of higher priority weight.
const (
	// minReservedSlots is the minimum number of reserved slots if any request with precedence sets the slot size.
	minReservedSlots = 1
	// maxReservedSlotsPerNode limits the slots reserved for groups of higher weight, in slots per node in the node
	// table.
	maxReservedSlotsPerNode = 0.5
	// maxReservationWindows limits the time over which this allocator's requests are counted as an estimate of the
	// requests at all allocators, in multiples of reservationWindow.
	maxReservationWindows = 10
	// reservationWindow is the period of recent requests that capacity is reserved for: the time that the node list
	// takes to show a change of capacity.
	reservationWindow = Millis(2e3)
	// maxGroupRequests is the number of requests kept per group: more than a group has within reservationWindow.
	maxGroupRequests = 64
)

// Slow start of nodes that have just started.
const (
	// warmUpWindowFactor is the window over which binds are counted, in multiples of Settings.OverloadWindow. It is
	// more than 1 because the network can delay binds so that they arrive closer together than they were sent.
	warmUpWindowFactor = 1.2
	// slowStartRamp is the time over which the rate of binds to a new node would rise from 0 to its full rate. The rate
	// starts at Settings.InitialRate, so it is full earlier if InitialRate is above 0.
	slowStartRamp = Millis(5e3)
	// minWarmUpBinds is the minimum number of binds per window, however low the rate is: below 1 no bind could be
	// sent.
	minWarmUpBinds = 1
	// turnsPerWindow is the largest number of turns that any window overlaps. Each turn gets an equal part of the
	// budget.
	turnsPerWindow = 2
	// turnOffsetRange is the number of different offsets of the first turn on a node in the order of allocators. It is
	// far larger than the number of allocators, so that all of them are about equally likely to be first.
	turnOffsetRange = 1 << 20
)

// Health: checks and ejection.
const (
	// healthCheckAfter is the time since the last contact after which a node is due for a health check.
	healthCheckAfter = Millis(1500)
	// healthChecksPerRequest is the number of health checks allowed per request: it keeps the checks' share of the
	// total cost small.
	healthChecksPerRequest = 1.0
	// unresponsiveAfter is the time beyond the longest recent confirmation time after which a node that has not
	// answered a bind counts as unresponsive.
	unresponsiveAfter = Millis(800)
	// ejectionTime is how long a node is ejected after one failed contact. It doubles with each consecutive failure.
	ejectionTime = Millis(500)
	// ejectionDoublings limits the doublings of ejectionTime, so that a node is ejected for at most 16 s.
	ejectionDoublings = 5
	// minNodesPerEjection is the minimum number of ready nodes per ejected node: if more nodes fail, a common
	// cause is likely.
	minNodesPerEjection = 3
)

// Loss of machines that run workloads.
const (
	// livenessCheckInterval is the time without a sign of life after which a node that runs workloads is checked.
	livenessCheckInterval = Millis(1000)
	// LivenessCheckTimeout is the maximum time for the connection of a check to come up.
	LivenessCheckTimeout = Millis(250)
	// maxPartition is how long a node may be cut off without being lost.
	maxPartition = Millis(6000)
	// partitionMargin is the time from the end of a partition until connections come up again.
	partitionMargin = Millis(50)
	// lateFailuresUntilLost is the number of attempts that must fail after the end of maxPartition. It is above 1 since
	// single connections to sound nodes do not come up.
	lateFailuresUntilLost = 2
)

// Subscription to the node list, and maintenance.
const (
	// resubscribeAfter is the mean time without an event after which the subscription is renewed, unless
	// Settings.PollInterval requires a shorter one.
	resubscribeAfter = Millis(8e3)
	// renewalsPerPollInterval is the number of renewals within Settings.PollInterval: if one fails, there is time for
	// another.
	renewalsPerPollInterval = 2
	// pollBackoff is the mean time from a failed poll to the next one. It doubles with each consecutive failure.
	pollBackoff = Millis(1500)
	// maxPollDoublings limits the mean backoff to 12 s: an overloaded discovery service needs as long to serve every
	// allocator.
	maxPollDoublings = 3
	// firstPollSpacing is the largest time between the first polls of two allocators with consecutive ordinals. It is
	// shorter if the polls would otherwise take longer than one renewal period.
	firstPollSpacing = Millis(20)
	// jitterSteps is the number of different jitter factors, which are equally spaced.
	jitterSteps = 1000
	// minJitterFactor is the smallest jitter factor.
	minJitterFactor = 0.75
	// jitterFactorRange is the difference between the largest and the smallest jitter factor. The mean factor is 1.
	jitterFactorRange = 0.5
	// maintenanceInterval is the time between calls of Maintain. It is short compared with every window above.
	maintenanceInterval = Millis(250)
)

// Migration of workloads off overloaded nodes.
const (
	// overloadThreshold is the utilization above which a node is overloaded, whatever the settings of its groups.
	overloadThreshold = defaultLoadCap
	// migrationWindow is the time above overloadThreshold after which a workload is migrated. With 10 s, workloads on
	// an overloaded node lose service before the migration.
	migrationWindow = Millis(1500)
	// migrationInterval is the minimum time between migrations off a node: load reports must show the effect of one
	// migration before the next.
	migrationInterval = Millis(500)
	// minOverloadReports is the minimum number of reports above overloadThreshold that show an overload.
	minOverloadReports = 2
	// maxOverloadReportAge is the age above which a report is no evidence that a node is still overloaded. A node
	// without contact for half of that time is due for a health check.
	maxOverloadReportAge = 2 * healthCheckAfter
)
