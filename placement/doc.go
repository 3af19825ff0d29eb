// Package placement decides where workloads run. It does no I/O and reads no clock or global random source: every call
// is given the time, the same calls give the same results, and schedulers share nothing.
//
// # Calls
//
// New makes a [Scheduler] from its [Settings] and a seed. Schedule takes a [Workload] and returns a [Step]: execute it
// and pass the [Result] to its NextStep, which returns the step after that, until a step has no NextStep. Adopt does
// the same for a workload that runs already. UpdateNodes, ReportLoad, HealthChecked and ReportUsage take what is
// observed meanwhile. Maintain, called at the time that it last requested, returns migrations, health checks and
// whether to subscribe to the node list.
//
// # A decision
//
// A workload goes through these phases:
//
//   - Filter: leave out the nodes that the rules of its group, the available capacity and the load cap forbid
//     (filter.go, rejection.go, capacity.go, load.go), those that warm up beyond their budget (slowstart.go), and those
//     that are ejected (health.go).
//   - Reserve: leave out the nodes that are kept for requests of higher priority weight, and for first requests against
//     retried ones (reservation.go).
//   - Score: prefer nodes that run the service already, above all those that are not crowded, then the least loaded,
//     with ties broken at random (score.go).
//   - Bind: offer the workload to that node, with a timeout that leaves time for another bind (schedule.go).
//   - Confirm or retry: take the result of the bind; answer the client where no further bind is allowed (outcome.go).
//
// Beside the workloads, Maintain moves workloads off overloaded nodes (migration.go), checks nodes (health.go), renews
// the subscription to the node list (subscription.go) and forgets nodes that have gone (nodetable.go).
//
// Each of these files starts with what it decides, from which observations, and what an error costs. Every tuned value
// is in constants.go, with its unit and reason.
//
// # Quantities
//
// Times and durations are [Millis]. Memory is in the unit of the settings, and only compared with itself. A utilization
// is in cores used for each core that a node has; slots count places for the largest request that capacity is kept for.
package placement
