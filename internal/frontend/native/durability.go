package native

import (
	"grebeglade/internal/recovery"
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

// durableBinds persists binds for the next incarnation: the registry decides which binds must be durable, and the
// journal writes them. Without a journal no bind is durable, and there are no recovered binds.
type durableBinds struct {
	enabled         bool
	journal         BindJournal
	registry        *recovery.Registry
	wallClockOffset float64
}

// newDurableBinds fills the registry with the binds that earlier incarnations left in the journal.
func newDurableBinds(config Config) *durableBinds {
	if config.Journal == nil {
		return &durableBinds{}
	}
	policies := make(map[string]recovery.GroupPolicy, len(config.GroupNames))
	for i, name := range config.GroupNames {
		group := &config.Settings.Groups[i]
		policies[name] = recovery.GroupPolicy{Idempotency: group.Idempotency, KeyWindow: group.KeyWindow}
	}
	settings := recovery.Settings{
		Groups:     policies,
		Retention:  config.AtMostOnceRetention,
		MaxEntries: config.MaxDurableKeys,
	}
	return &durableBinds{
		enabled:         true,
		journal:         config.Journal,
		registry:        recovery.New(settings, config.RecoveredBinds, config.WallClockOffset),
		wallClockOffset: config.WallClockOffset,
	}
}

// unixTime converts a time of the frontend's clock to Unix time in ms, which is valid across restarts.
func (d *durableBinds) unixTime(now placement.Millis) float64 {
	return d.wallClockOffset + float64(now)
}

// admit returns whether a request may be scheduled, by the recorded binds of its key and the limit on keys.
func (d *durableBinds) admit(now placement.Millis, r *pb.PlaceRequest) recovery.Admission {
	if !d.enabled {
		return recovery.Admit
	}
	return d.registry.CheckAdmission(d.unixTime(now), r.Key, r.Group)
}

// hasRecoveredBind reports whether an earlier incarnation left a bind of the key in the journal.
func (d *durableBinds) hasRecoveredBind(now placement.Millis, key uint64) bool {
	return d.enabled && d.registry.IsInherited(d.unixTime(now), key)
}

// required reports whether the binds of a group must be durable before their offers are sent.
func (d *durableBinds) required(group string) bool {
	return d.enabled && d.registry.RequiresDurability(group)
}

// persist makes a workload's bind durable. It calls done once, with nil or with the journal's error.
func (d *durableBinds) persist(
	now placement.Millis, w *workload, node placement.NodeID, id *pb.BindID, done func(now placement.Millis, err error),
) {
	bind := d.registry.RecordBind(d.unixTime(now), recovery.Bind{
		Key:         w.request.Key,
		Group:       w.request.Group,
		Node:        uint32(node),
		Incarnation: id.Incarnation,
		Workload:    id.Workload,
		Number:      id.Number,
	})
	d.journal.PersistBind(bind, done)
}

// forget removes a bind that its node never accepted, if no other bind of the key has an unknown outcome.
func (d *durableBinds) forget(w *workload, id *pb.BindID) {
	if d.enabled && d.registry.Forget(w.request.Key, id.Incarnation, id.Number) {
		d.journal.ForgetBind(w.request.Key, id.Incarnation, id.Number)
	}
}
