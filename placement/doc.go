// Package placement decides where workloads run. It does no I/O and uses no clock and no global random source: every
// call passes the time, the same calls give the same results, and schedulers share no state.
//
// # Calls
//
// New returns a [Scheduler] for [Settings] and a seed. Schedule takes a [Workload] and returns its first [Step]. The
// caller executes the step and passes the [Result] to the step's NextStep, which returns the following step, until a
// step has no NextStep. Adopt does the same for a workload that already runs. UpdateNodes, ReportLoad, HealthChecked
// and ReportUsage pass observations of nodes and workloads to the scheduler. Maintain returns migrations, health checks
// and whether to subscribe to the node list; it is called again at [Maintenance].NextAt.
//
// # A decision
//
// A workload goes through these phases:
//
//   - Filter: exclude nodes by the rules of the group, the available capacity and the load cap (filter.go,
//     rejection.go, capacity.go, load.go), nodes whose warm-up budget is used up (slowstart.go), and ejected nodes
//     (health.go).
//   - Reserve: exclude nodes that are reserved for requests of higher priority weight or, if the request is a retry,
//     for first requests (reservation.go).
//   - Score: prefer nodes that already run the service and would give the workload full service, then other nodes that
//     run the service, then all others. Among the preferred nodes, select the least loaded one and break ties at
//     random; for a service that no node runs yet, several allocators select the node by a common rank (score.go).
//   - Bind: offer the workload to the selected node, with a timeout that leaves time for another bind if one is
//     allowed (schedule.go).
//   - Confirm or retry: process the result of the bind; answer the client if no further bind is allowed (outcome.go).
//
// In addition, Maintain migrates workloads off overloaded nodes (migration.go), checks nodes (health.go), renews the
// subscription to the node list (subscription.go) and removes nodes that have gone (nodetable.go).
//
// The head of each of these files states what it decides, its inputs, and the cost of an error. All tuning constants
// are in constants.go, with unit and reason.
//
// # Quantities
//
// Times and durations are [Millis]. Memory is in the unit of the settings and is only compared with other amounts of
// memory. A utilization is in cores in use per core of the node. A slot is the capacity for one request of the largest
// size that capacity is reserved for.
package placement
