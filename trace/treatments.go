package trace

// treatment is how a field is anonymised.
type treatment struct {
	action action
	domain string // ids of one domain have the same pseudonyms in whatever field they are
}

// action is what replaces the value of a field.
type action uint8

const (
	keep   action = iota // the value itself: it identifies nobody
	id                   // the pseudonym of a number that identifies something
	text                 // the pseudonym of any text
	amount               // the number, rounded if Coarse is set: it identifies something if it is unusual
	wipe                 // the field's default
)

// The names of domains are a part of what pseudonyms are computed from. They never change, so that files which were
// anonymised earlier fit those of today under the same key.
//
// idBits is how many bits the ids of a domain have. Their pseudonyms have as many.
var idBits = map[string]int{
	"workload":      32,
	"node":          32,
	"zone":          16,
	"cell":          16,
	"service":       64,
	"ask":           64,
	"key":           64,
	"epoch":         64,
	"incarnation":   64,
	"list revision": 64,
}

// treatments has every field of a record and a header, by message and field. A field that is missing here is an
// error: how it is anonymised must be decided when it is added.
var treatments = map[string]treatment{
	"Header.anonymised": {action: keep},
	"Header.tool":       {action: keep},

	"Source.wall_ms":     {action: keep},
	"Source.allocator":   {action: text},
	"Source.incarnation": {action: id, domain: "incarnation"},

	"Record.at_ms":    {action: keep},
	"Record.revision": {action: keep},
	"Record.source":   {action: keep},

	"Start.seed":   {action: wipe},
	"Start.groups": {action: text},
	"Start.kinds":  {action: text},
	"Start.zones":  {action: text},

	"Settings.allocators":             {action: keep},
	"Settings.ordinal":                {action: keep},
	"Settings.zone":                   {action: id, domain: "zone"},
	"Settings.warm_up_duration":       {action: keep},
	"Settings.initial_rate":           {action: keep},
	"Settings.warm_up_budget":         {action: keep},
	"Settings.overload_window":        {action: keep},
	"Settings.polled_discovery":       {action: keep},
	"Settings.poll_interval":          {action: keep},
	"Settings.confirms_running":       {action: keep},
	"Settings.reports_usage":          {action: keep},
	"Settings.entries_carry_capacity": {action: keep},
	"Settings.max_binds":              {action: keep},
	"Settings.health_checks_allowed":  {action: keep},
	"Settings.zone_price":             {action: amount},

	"Group.latency_objective":        {action: amount},
	"Group.priority_weight":          {action: amount},
	"Group.idempotency":              {action: keep},
	"Group.key_scope":                {action: keep},
	"Group.key_window":               {action: amount},
	"Group.spread_scope":             {action: keep},
	"Group.max_per_scope":            {action: keep},
	"Group.full_service_utilization": {action: keep},
	"Group.degradation_range":        {action: keep},
	"Group.required_kind":            {action: keep},

	"NodeKind.cores":  {action: amount},
	"NodeKind.memory": {action: amount},

	"Workload.id":              {action: id, domain: "workload"},
	"Workload.service":         {action: id, domain: "service"},
	"Workload.group":           {action: keep},
	"Workload.cores":           {action: amount},
	"Workload.memory":          {action: amount},
	"Workload.pending_timeout": {action: amount},
	"Workload.retried":         {action: keep},

	"Adopt.node": {action: id, domain: "node"},

	"StepResult.workload": {action: id, domain: "workload"},
	"StepResult.kind":     {action: keep},
	"StepResult.reason":   {action: keep},
	"StepResult.final":    {action: keep},

	"Load.spare_cores":  {action: amount},
	"Load.spare_memory": {action: amount},
	"Load.backlog":      {action: keep},
	"Load.utilization":  {action: amount},

	"NodesUpdated.kind": {action: keep},

	"Node.id":          {action: id, domain: "node"},
	"Node.state":       {action: keep},
	"Node.kind":        {action: keep},
	"Node.zone":        {action: id, domain: "zone"},
	"Node.cell":        {action: id, domain: "cell"},
	"Node.started_at":  {action: keep},
	"Node.free_cores":  {action: amount},
	"Node.free_memory": {action: amount},

	"Report.node": {action: id, domain: "node"},

	"HealthChecked.node":     {action: id, domain: "node"},
	"HealthChecked.answered": {action: keep},

	"UsageReport.workload": {action: id, domain: "workload"},
	"UsageReport.kind":     {action: keep},
	"UsageReport.value":    {action: amount},

	"Step.kind":    {action: keep},
	"Step.node":    {action: id, domain: "node"},
	"Step.timeout": {action: keep},
	"Step.wake_at": {action: keep},

	"Maintenance.migrations":    {action: id, domain: "workload"},
	"Maintenance.health_checks": {action: id, domain: "node"},
	"Maintenance.subscribe":     {action: keep},
	"Maintenance.next_at":       {action: keep},

	"RequestReceived.workload":   {action: id, domain: "workload"},
	"RequestReceived.client":     {action: text},
	"RequestReceived.request_id": {action: id, domain: "ask"},
	"RequestReceived.key":        {action: id, domain: "key"},

	"RequestAnswered.workload": {action: id, domain: "workload"},
	"RequestAnswered.verdict":  {action: keep},
	"RequestAnswered.node":     {action: id, domain: "node"},
	"RequestAnswered.text":     {action: text},

	"OfferRejected.workload": {action: id, domain: "workload"},
	"OfferRejected.node":     {action: id, domain: "node"},
	"OfferRejected.text":     {action: text},

	"DiscoveryUpdated.epoch":    {action: id, domain: "epoch"},
	"DiscoveryUpdated.revision": {action: id, domain: "list revision"},

	"GangRequested.client":          {action: text},
	"GangRequested.request_id":      {action: id, domain: "ask"},
	"GangRequested.parts":           {action: keep},
	"GangRequested.min_parts":       {action: keep},
	"GangRequested.pending_timeout": {action: amount},

	"GangState.client":     {action: text},
	"GangState.request_id": {action: id, domain: "ask"},
	"GangState.state":      {action: keep},
	"GangState.workloads":  {action: id, domain: "workload"},

	"Gap.missing": {action: keep},
	"Gap.reason":  {action: text},
}
