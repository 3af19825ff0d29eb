// Package placement decides where workloads run. It does no I/O and reads no clock or global random source:
// every call is given the time, the same calls give the same results, and schedulers share nothing.
//
// # Calls
//
// New makes a [Scheduler] from its settings and a seed. Schedule takes a workload and returns a [Step]:
// execute it and pass the result to its NextStep, which returns the step after that, until a step has no
// NextStep. Adopt does the same for a workload that runs already. UpdateNodes, ReportLoad, HealthChecked and
// ReportUsage take what is observed meanwhile. Maintain, called at the time that it last requested, returns
// migrations, health checks and whether to subscribe to the node list. The types of these calls are in
// types.go.
//
// # A decision
//
// scheduler.go follows a workload from its request to its end. For each bind it filters the nodes: by the
// rules of the group, the capacity and the load cap (filter.go, capacity.go), the warm-up budget
// (slowstart.go), the ejected nodes (health.go) and the capacity that is reserved for others
// (reservation.go). Among the rest it prefers nodes that run the service already, above all those that are
// not crowded, and then the least loaded with ties broken at random (score.go). constants.go has every tuning
// value with its unit and reason.
//
// # The first node of a service
//
// Where no node is known to run a service, several allocators without communication would start it in as many
// places as there are allocators. A rank that all compute alike lets the later ones find it already started;
// of the two nodes of highest rank the one with more capacity is taken.
//
// # Capacity
//
// The node list and the load reports show the capacity late, so the requests that our own workloads have
// added and released since are applied to it. What a workload uses is less than it requests: the load counts
// our changes at the share of the requested cores that workloads were seen to use.
//
// # Reservations
//
// A full fleet that admits all alike rejects what is worth most, above all large requests that need their
// capacity in one piece. Slots for the largest request of higher priority weight are kept, as many as were
// requested from us lately and one at least. While there are fewer, the nodes with most slots fill up no
// further, so that capacity builds up in one piece. Our requests stand for those of all allocators: they are
// counted over longer and multiplied, and where they are many a part of the fleet stays open. Within a group,
// retried requests yield to first ones: a first start in time earns most of a short workload's value, and a
// retried one has lost or had it. This could hurt where little of higher weight follows, and retried requests
// wait longer on a fleet that stays full.
//
// # Slow start
//
// All allocators together must stay within the warm-up budget of a node that has just started, without
// agreement. Each has an equal share, which it ramps up to. Where allocators outnumber the budget they take
// turns of one bind, which all compute alike from the node, its start time and their ordinals. A window of
// the budget overlaps two turns at most, also with binds in flight, so each turn has half of it. What was
// sent before a restart of the allocator is unknown, so it waits for a window or a whole turn. Binds that a
// network partition holds up arrive together at its end: a bind counts until it is answered, and from its
// answer on for a window. Nodes stay idle in turns of allocators without requests, and while answers are
// slow.
//
// # Health
//
// Nodes with failed contacts, or with a bind that is unanswered for much longer than usual, are ejected for a
// time. At most a part of the fleet is: more failures have a common cause. Withdrawn workloads say nothing of
// the node; clients that withdraw hundreds at once had nodes ejected for seconds. Health checks are paid for
// by requests: where each allocator has few of them, checking all nodes without a recent report would fill
// the nodes' queues with checks alone, and a fleet without requests needs none. An allocator with few
// requests knows most nodes by the list alone and takes the mean load for them.
//
// # Subscription to the node list
//
// A subscription may break unnoticed, and a failed poll does not tell whether it still holds: it is renewed
// after a quiet time, which every event extends. Many allocators in step overload the list, and immediate
// retries keep it so. First polls are spaced by ordinal, later ones have jitter, and failures make them back
// off.
package placement
