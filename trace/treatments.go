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
	"Settings.allocators": {}, "Settings.ordinal": {}, "Settings.zone": {id, "zone"}, "Settings.cold_for": {},
	"Settings.cold_from": {}, "Settings.cold_bears": {}, "Settings.overload_for": {}, "Settings.must_ask": {},
	"Settings.ask_within": {}, "Settings.confirms_running": {}, "Settings.reports_use": {},
	"Settings.room_in_list": {}, "Settings.max_binds": {}, "Settings.may_probe": {}, "Settings.zone_price": {amount, ""},
	"Group.target": {amount, ""}, "Group.utility": {amount, ""}, "Group.effect": {}, "Group.dedup_scope": {},
	"Group.dedup_window": {amount, ""}, "Group.spread": {}, "Group.spread_most": {}, "Group.calm": {}, "Group.fade": {},
	"Group.kind": {}, "Size.cores": {amount, ""}, "Size.memory": {amount, ""},
	"Workload.id": {id, "workload"}, "Workload.service": {id, "service"}, "Workload.group": {},
	"Workload.cores": {amount, ""}, "Workload.memory": {amount, ""}, "Workload.left": {amount, ""}, "Workload.again": {},
	"Adopt.node": {id, "node"}, "Next.workload": {id, "workload"}, "Next.kind": {}, "Next.reason": {}, "Next.over": {},
	"Load.spare_cores": {amount, ""}, "Load.spare_memory": {amount, ""}, "Load.backlog": {}, "Load.utilization": {amount, ""},
	"List.kind": {}, "Node.id": {id, "node"}, "Node.state": {}, "Node.kind": {}, "Node.zone": {id, "zone"},
	"Node.cell": {id, "cell"}, "Node.born": {}, "Node.free_cores": {amount, ""}, "Node.free_memory": {amount, ""},
	"Report.node": {id, "node"}, "Probed.node": {id, "node"}, "Probed.answered": {},
	"Note.workload": {id, "workload"}, "Note.kind": {}, "Note.value": {amount, ""},
	"Step.kind": {}, "Step.node": {id, "node"}, "Step.timeout": {}, "Step.until": {},
	"Chores.moves": {id, "workload"}, "Chores.probes": {id, "node"}, "Chores.watch": {}, "Chores.again": {},
	"Asked.workload": {id, "workload"}, "Asked.owner": {text, ""}, "Asked.ask": {id, "ask"}, "Asked.key": {id, "key"},
	"Answered.workload": {id, "workload"}, "Answered.verdict": {}, "Answered.node": {id, "node"}, "Answered.text": {text, ""},
	"Refused.workload": {id, "workload"}, "Refused.node": {id, "node"}, "Refused.text": {text, ""},
	"Heard.epoch": {id, "epoch"}, "Heard.revision": {id, "list revision"},
	"GangAsked.owner": {text, ""}, "GangAsked.ask": {id, "ask"}, "GangAsked.parts": {}, "GangAsked.need": {},
	"GangAsked.left": {amount, ""}, "GangState.owner": {text, ""}, "GangState.ask": {id, "ask"}, "GangState.state": {},
	"GangState.workloads": {id, "workload"},
	"Gap.missing":         {}, "Gap.why": {text, ""},
}
