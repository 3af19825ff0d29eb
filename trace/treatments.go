package trace

// treatment is what becomes of a field under pseudonyms.
type treatment struct {
	action action
	domain string // ids of one domain have the same pseudonyms in whatever field they are
}

type action uint8

const (
	keep   action = iota // it identifies nobody
	id                   // a number that identifies something
	text                 // any words
	amount               // a number that identifies something if it is unusual; rounded if Coarse is set
	wipe                 // replaced by the default
)

// idBits is how many bits the ids of a domain have. Their pseudonyms have as many.
var idBits = map[string]int{
	"workload": 32, "node": 32, "zone": 16, "cell": 16, "service": 64, "ask": 64, "key": 64, "epoch": 64,
	"incarnation": 64, "list revision": 64,
}

// treatments has every field of a record and a header, by message and field. A field that is not here is an error: what
// a later version adds must be decided on first.
var treatments = map[string]treatment{
	"Header.anonymised": {}, "Header.tool": {}, "Source.wall_ms": {},
	"Source.allocator": {text, ""}, "Source.incarnation": {id, "incarnation"},
	"Record.at_ms": {}, "Record.revision": {}, "Record.source": {},
	"Start.seed": {wipe, ""}, "Start.groups": {text, ""}, "Start.kinds": {text, ""}, "Start.zones": {text, ""},
	"Settings.allocators": {}, "Settings.ordinal": {}, "Settings.zone": {id, "zone"}, "Settings.warm_up_duration": {},
	"Settings.initial_rate": {}, "Settings.warm_up_budget": {}, "Settings.overload_window": {}, "Settings.polled_discovery": {},
	"Settings.poll_interval": {}, "Settings.confirms_running": {}, "Settings.reports_usage": {},
	"Settings.entries_carry_capacity": {}, "Settings.max_binds": {}, "Settings.health_checks_allowed": {}, "Settings.zone_price": {amount, ""},
	"Group.latency_objective": {amount, ""}, "Group.priority_weight": {amount, ""}, "Group.idempotency": {}, "Group.key_scope": {},
	"Group.key_window": {amount, ""}, "Group.spread_scope": {}, "Group.max_per_scope": {}, "Group.full_service_utilization": {}, "Group.degradation_range": {},
	"Group.required_kind": {}, "NodeKind.cores": {amount, ""}, "NodeKind.memory": {amount, ""},
	"Workload.id": {id, "workload"}, "Workload.service": {id, "service"}, "Workload.group": {},
	"Workload.cores": {amount, ""}, "Workload.memory": {amount, ""}, "Workload.pending_timeout": {amount, ""}, "Workload.retried": {},
	"Adopt.node": {id, "node"}, "StepResult.workload": {id, "workload"}, "StepResult.kind": {}, "StepResult.reason": {}, "StepResult.final": {},
	"Load.spare_cores": {amount, ""}, "Load.spare_memory": {amount, ""}, "Load.backlog": {}, "Load.utilization": {amount, ""},
	"NodesUpdated.kind": {}, "Node.id": {id, "node"}, "Node.state": {}, "Node.kind": {}, "Node.zone": {id, "zone"},
	"Node.cell": {id, "cell"}, "Node.started_at": {}, "Node.free_cores": {amount, ""}, "Node.free_memory": {amount, ""},
	"Report.node": {id, "node"}, "HealthChecked.node": {id, "node"}, "HealthChecked.answered": {},
	"UsageReport.workload": {id, "workload"}, "UsageReport.kind": {}, "UsageReport.value": {amount, ""},
	"Step.kind": {}, "Step.node": {id, "node"}, "Step.timeout": {}, "Step.wake_at": {},
	"Maintenance.migrations": {id, "workload"}, "Maintenance.health_checks": {id, "node"}, "Maintenance.subscribe": {}, "Maintenance.next_at": {},
	"RequestReceived.workload": {id, "workload"}, "RequestReceived.client": {text, ""}, "RequestReceived.request_id": {id, "ask"}, "RequestReceived.key": {id, "key"},
	"RequestAnswered.workload": {id, "workload"}, "RequestAnswered.verdict": {}, "RequestAnswered.node": {id, "node"}, "RequestAnswered.text": {text, ""},
	"OfferRejected.workload": {id, "workload"}, "OfferRejected.node": {id, "node"}, "OfferRejected.text": {text, ""},
	"DiscoveryUpdated.epoch": {id, "epoch"}, "DiscoveryUpdated.revision": {id, "list revision"},
	"GangRequested.client": {text, ""}, "GangRequested.request_id": {id, "ask"}, "GangRequested.parts": {}, "GangRequested.min_parts": {},
	"GangRequested.pending_timeout": {amount, ""}, "GangState.client": {text, ""}, "GangState.request_id": {id, "ask"}, "GangState.state": {},
	"GangState.workloads": {id, "workload"},
	"Gap.missing":         {}, "Gap.reason": {text, ""},
}
