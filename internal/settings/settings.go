// Package settings turns what an allocator is told at its start into what decisions need. The same names and values
// come as lines of path=value, or as nested JSON.
package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"

	"grebeglade/placement"
)

// Received is what was told. Names are in the order of the numbers that decisions know them by.
type Received struct {
	placement.Settings
	ReportFields   []string // values in a load report
	GroupNames     []string
	KindNames      []string
	ZoneNames      []string
	ConnectTimeout placement.Millis // a connection that is not up by then has failed; 0 where it is not told
	IdleTimeout    placement.Millis // a connection that carries nothing for so long is closed; 0 where it is not told
}

// SetLoadField sets the value of that name in a load report; other names are passed over.
func SetLoadField(l *placement.LoadReport, name string, v float64) {
	switch name {
	case "x0":
		l.SpareCores = v
	case "x1":
		l.SpareMemory = v
	case "backlog", "queue":
		l.Backlog = v
	case "utilization", "util":
		l.Utilization = v
	}
}

// UnknownLoad is a report that lacks all values.
func UnknownLoad() *placement.LoadReport {
	none := math.NaN()
	return &placement.LoadReport{SpareCores: none, SpareMemory: none, Backlog: none, Utilization: none}
}

// FromJSON reads the nested form.
func FromJSON(raw []byte) (*Received, error) {
	var root map[string]any
	d := json.NewDecoder(bytes.NewReader(raw))
	d.UseNumber()
	if err := d.Decode(&root); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	c := &config{pairs: map[string]string{}}
	c.flatten("", root)
	return c.read()
}

// flatten writes a JSON value as pairs: plain lists joined by commas, lists of objects by number and count.
func (c *config) flatten(path string, v any) {
	switch v := v.(type) {
	case map[string]any:
		for name, part := range v {
			c.flatten(strings.TrimPrefix(path+"."+name, "."), part)
		}
	case []any:
		if slices.ContainsFunc(v, func(e any) bool { _, is := e.(map[string]any); return is }) {
			c.pairs[path+".count"] = strconv.Itoa(len(v))
			for i, e := range v {
				c.flatten(fmt.Sprintf("%s.%d", path, i), e)
			}
			return
		}
		plain := make([]string, len(v))
		for i, e := range v {
			plain[i] = fmt.Sprint(e)
		}
		c.pairs[path] = strings.Join(plain, ",")
	default:
		c.pairs[path] = fmt.Sprint(v)
	}
}

// config reads path=value pairs and keeps the first trouble met.
type config struct {
	pairs map[string]string
	err   error
}

func newConfig(text string) *config {
	c := &config{pairs: map[string]string{}}
	for line := range strings.Lines(text) {
		if path, value, ok := strings.Cut(strings.TrimSpace(line), "="); ok {
			c.pairs[path] = value
		}
	}
	return c
}

func (c *config) fail(path, what string) {
	if c.err == nil {
		c.err = fmt.Errorf("setting %s %s", path, what)
	}
}

func (c *config) text(path string) string {
	v, ok := c.pairs[path]
	if !ok {
		c.fail(path, "is missing")
	}
	return v
}

func (c *config) parse(path, v string) float64 {
	n, err := strconv.ParseFloat(v, 64)
	if err != nil {
		c.fail(path, fmt.Sprintf("is %q, not a number", v))
	}
	return n
}

func (c *config) number(path string) float64 {
	v, ok := c.pairs[path]
	if !ok {
		c.fail(path, "is missing")
		return 0
	}
	return c.parse(path, v)
}

func (c *config) millis(path string) placement.Millis { return placement.Millis(c.number(path) / 1e6) }

func (c *config) flag(path string) bool {
	v := c.text(path)
	b, err := strconv.ParseBool(v)
	if err != nil && c.err == nil {
		c.fail(path, fmt.Sprintf("is %q, not true or false", v))
	}
	return b
}

func (c *config) list(path string) []string {
	v := c.text(path)
	if v == "" {
		return nil
	}
	return strings.Split(v, ",")
}

// element reads the number at place i of a list.
func (c *config) element(path string, i int) float64 {
	l := c.list(path)
	if i >= len(l) {
		c.fail(path, fmt.Sprintf("has %d values, not %d or more", len(l), i+1))
		return 0
	}
	return c.parse(path, l[i])
}

func word[T any](c *config, path, v string, words map[string]T) T {
	w, ok := words[v]
	if !ok {
		c.fail(path, fmt.Sprintf("is %q, which is not known", v))
	}
	return w
}

var effects = map[string]placement.Idempotency{
	"read_like": placement.Idempotent, "idempotency_key": placement.IdempotentByKey, "non_idempotent": placement.AtMostOnce,
}

var scopes = map[string]placement.Scope{
	"off": placement.ScopeNone, "machine": placement.ScopeNode, "cell": placement.ScopeCell, "zone": placement.ScopeZone,
	"all": placement.ScopeAll,
}

var confirmsRunning = map[string]bool{"running": true, "accepted": false}

var reportsUse = map[string]bool{"used": true, "asked": false}

var mustAsk = map[string]bool{"subscribe": true, "automatic": false}

// FromPairs reads lines of path=value. Keys that decisions do not need are passed over.
func FromPairs(text string) (*Received, error) { return newConfig(text).read() }

func (c *config) read() (*Received, error) {
	s := placement.Settings{
		Allocators:           int(c.number("balancers")),
		Ordinal:              int(c.number("ordinal")),
		WarmUpDuration:       c.millis("contract.cold_ns"),
		InitialRate:          c.number("contract.cold_from"),
		WarmUpBudget:         c.number("family_info.cold_bears"),
		OverloadWindow:       c.millis("contract.overload_for_ns"),
		PolledDiscovery:      word(c, "discovery", c.text("discovery"), mustAsk),
		ConfirmsRunning:      word(c, "family_info.confirms", c.text("family_info.confirms"), confirmsRunning),
		ReportsUsage:         word(c, "family_info.report_counts", c.text("family_info.report_counts"), reportsUse),
		EntriesCarryCapacity: c.flag("family_info.free_in_list"),
		MaxBinds:             int(c.number("permissions.most_tries")),
		HealthChecksAllowed:  c.flag("permissions.probes"),
	}
	if s.PolledDiscovery {
		s.PollInterval = c.millis("contract.ask_within_ns")
	}
	for i := range c.list("family_info.kind_cores") {
		s.NodeKinds = append(s.NodeKinds, placement.NodeKind{
			Cores:  c.element("family_info.kind_cores", i),
			Memory: c.element("family_info.memory_by_kind", i),
		})
	}
	for i := 0; i < int(c.number("request_classes.count")) && c.err == nil; i++ {
		at := fmt.Sprintf("request_classes.%d.", i)
		g := placement.Group{
			LatencyObjective:       c.millis(at + "aim_ns"),
			PriorityWeight:         c.number(at + "value"),
			Idempotency:            word(c, at+"effect", c.text(at+"effect"), effects),
			MaxPerScope:            int(c.element("family_info.spread_most", i)),
			FullServiceUtilization: c.element("family_info.calm_level", i),
			DegradationRange:       c.element("family_info.lost_after", i),
			RequiredKind:           int(c.element("family_info.kind_by_class", i)),
		}
		if apart := c.list("family_info.apart_by"); i < len(apart) {
			g.SpreadScope = word(c, "family_info.apart_by", apart[i], scopes)
		} else {
			c.fail("family_info.apart_by", "has no value for every class")
		}
		if g.Idempotency == placement.IdempotentByKey {
			g.KeyScope = word(c, at+"dedup_scope", c.text(at+"dedup_scope"), scopes)
			g.KeyWindow = c.millis(at + "window_ns")
		}
		s.Groups = append(s.Groups, g)
	}
	t := &Received{Settings: s, ReportFields: c.list("report.fields")}
	t.KindNames, t.ZoneNames = c.optional("kinds"), c.optional("zones")
	for i := range s.Groups {
		t.GroupNames = append(t.GroupNames, c.pairs[fmt.Sprintf("request_classes.%d.name", i)])
	}
	if _, told := c.pairs["permissions.connect_timeout_ns"]; told {
		t.ConnectTimeout = c.millis("permissions.connect_timeout_ns")
	}
	if _, told := c.pairs["permissions.keepalive_ns"]; told {
		t.IdleTimeout = c.millis("permissions.keepalive_ns")
	}
	return t, c.err
}

// optional is a list that may be missing.
func (c *config) optional(path string) []string {
	if c.pairs[path] == "" {
		return nil
	}
	return c.list(path)
}
