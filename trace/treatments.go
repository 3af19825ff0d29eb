package trace

// treatment is how a field is anonymised.
type treatment struct {
	action action
	domain string // an id of a domain has the same pseudonym in all fields of that domain
}

// action selects the replacement for the value of a field.
type action uint8

const (
	keepValue   action = iota // keeps the value, which identifies nobody
	replaceID                 // replaces an identifying number by its pseudonym
	replaceText               // replaces a text by its pseudonym
	roundAmount               // rounds a number if Coarse is set, since an unusual amount can identify something
	clearValue                // sets the field's default value
)

// idBits is the number of bits of a domain's ids and their pseudonyms.
//
// Pseudonyms are computed from the domain's name. The names must not change, so that files anonymised by different
// versions under the same key have the same pseudonyms.
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

// treatments lists every field of records and headers as "Message.field". Anonymising a field that is not listed is an
// error: its treatment must be decided when the field is added to the format.
var treatments = map[string]treatment{
	"Header.anonymised": {action: keepValue},
	"Header.tool":       {action: keepValue},

	"Source.wall_ms":     {action: keepValue},
	"Source.allocator":   {action: replaceText},
	"Source.incarnation": {action: replaceID, domain: "incarnation"},

	"Record.at_ms":    {action: keepValue},
	"Record.revision": {action: keepValue},
	"Record.source":   {action: keepValue},

	"Start.seed":   {action: clearValue},
	"Start.groups": {action: replaceText},
	"Start.kinds":  {action: replaceText},
	"Start.zones":  {action: replaceText},

	"Settings.allocators":             {action: keepValue},
	"Settings.ordinal":                {action: keepValue},
	"Settings.zone":                   {action: replaceID, domain: "zone"},
	"Settings.warm_up_duration":       {action: keepValue},
	"Settings.initial_rate":           {action: keepValue},
	"Settings.warm_up_budget":         {action: keepValue},
	"Settings.overload_window":        {action: keepValue},
	"Settings.polled_discovery":       {action: keepValue},
	"Settings.poll_interval":          {action: keepValue},
	"Settings.confirms_running":       {action: keepValue},
	"Settings.reports_usage":          {action: keepValue},
	"Settings.entries_carry_capacity": {action: keepValue},
	"Settings.max_binds":              {action: keepValue},
	"Settings.health_checks_allowed":  {action: keepValue},
	"Settings.zone_price":             {action: roundAmount},

	"Group.latency_objective":        {action: roundAmount},
	"Group.priority_weight":          {action: roundAmount},
	"Group.idempotency":              {action: keepValue},
	"Group.key_scope":                {action: keepValue},
	"Group.key_window":               {action: roundAmount},
	"Group.spread_scope":             {action: keepValue},
	"Group.max_per_scope":            {action: keepValue},
	"Group.full_service_utilization": {action: keepValue},
	"Group.degradation_range":        {action: keepValue},
	"Group.required_kind":            {action: keepValue},

	"NodeKind.cores":  {action: roundAmount},
	"NodeKind.memory": {action: roundAmount},

	"Workload.id":              {action: replaceID, domain: "workload"},
	"Workload.service":         {action: replaceID, domain: "service"},
	"Workload.group":           {action: keepValue},
	"Workload.cores":           {action: roundAmount},
	"Workload.memory":          {action: roundAmount},
	"Workload.pending_timeout": {action: roundAmount},
	"Workload.retried":         {action: keepValue},

	"Adopt.node": {action: replaceID, domain: "node"},

	"StepResult.workload": {action: replaceID, domain: "workload"},
	"StepResult.kind":     {action: keepValue},
	"StepResult.reason":   {action: keepValue},
	"StepResult.final":    {action: keepValue},

	"Load.spare_cores":  {action: roundAmount},
	"Load.spare_memory": {action: roundAmount},
	"Load.backlog":      {action: keepValue},
	"Load.utilization":  {action: roundAmount},

	"NodesUpdated.kind": {action: keepValue},

	"Node.id":          {action: replaceID, domain: "node"},
	"Node.state":       {action: keepValue},
	"Node.kind":        {action: keepValue},
	"Node.zone":        {action: replaceID, domain: "zone"},
	"Node.cell":        {action: replaceID, domain: "cell"},
	"Node.started_at":  {action: keepValue},
	"Node.free_cores":  {action: roundAmount},
	"Node.free_memory": {action: roundAmount},

	"Report.node": {action: replaceID, domain: "node"},

	"HealthChecked.node":     {action: replaceID, domain: "node"},
	"HealthChecked.answered": {action: keepValue},

	"UsageReport.workload": {action: replaceID, domain: "workload"},
	"UsageReport.kind":     {action: keepValue},
	"UsageReport.value":    {action: roundAmount},

	"Step.kind":    {action: keepValue},
	"Step.node":    {action: replaceID, domain: "node"},
	"Step.timeout": {action: keepValue},
	"Step.wake_at": {action: keepValue},

	"Maintenance.migrations":    {action: replaceID, domain: "workload"},
	"Maintenance.health_checks": {action: replaceID, domain: "node"},
	"Maintenance.subscribe":     {action: keepValue},
	"Maintenance.next_at":       {action: keepValue},

	"RequestReceived.workload":   {action: replaceID, domain: "workload"},
	"RequestReceived.client":     {action: replaceText},
	"RequestReceived.request_id": {action: replaceID, domain: "ask"},
	"RequestReceived.key":        {action: replaceID, domain: "key"},

	"RequestAnswered.workload": {action: replaceID, domain: "workload"},
	"RequestAnswered.verdict":  {action: keepValue},
	"RequestAnswered.node":     {action: replaceID, domain: "node"},
	"RequestAnswered.text":     {action: replaceText},

	"OfferRejected.workload": {action: replaceID, domain: "workload"},
	"OfferRejected.node":     {action: replaceID, domain: "node"},
	"OfferRejected.text":     {action: replaceText},

	"DiscoveryUpdated.epoch":    {action: replaceID, domain: "epoch"},
	"DiscoveryUpdated.revision": {action: replaceID, domain: "list revision"},

	"GangRequested.client":          {action: replaceText},
	"GangRequested.request_id":      {action: replaceID, domain: "ask"},
	"GangRequested.parts":           {action: keepValue},
	"GangRequested.min_parts":       {action: keepValue},
	"GangRequested.pending_timeout": {action: roundAmount},

	"GangState.client":     {action: replaceText},
	"GangState.request_id": {action: replaceID, domain: "ask"},
	"GangState.state":      {action: keepValue},
	"GangState.workloads":  {action: replaceID, domain: "workload"},

	"Gap.missing": {action: keepValue},
	"Gap.reason":  {action: replaceText},
}
