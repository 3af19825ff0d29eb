package drill

import (
	"fmt"
	"strconv"
	"strings"

	"grebeglade/choice"
)

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

func (c *config) millis(path string) choice.Millis { return choice.Millis(c.number(path) / 1e6) }

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

var effects = map[string]choice.Effect{
	"read_like": choice.Restartable, "idempotency_key": choice.Deduplicated, "non_idempotent": choice.RunOnce,
}

var scopes = map[string]choice.Scope{
	"off": choice.ScopeNone, "machine": choice.ScopeNode, "cell": choice.ScopeCell, "zone": choice.ScopeZone,
	"all": choice.ScopeAll,
}

var confirmsRunning = map[string]bool{"running": true, "accepted": false}

var reportsUse = map[string]bool{"used": true, "asked": false}

var mustAsk = map[string]bool{"subscribe": true, "automatic": false}

// parseSettings reads what decisions need; keys that it does not know are passed over. It also returns
// the names of the values in a load report.
func parseSettings(text string) (choice.Settings, []string, error) {
	c := newConfig(text)
	s := choice.Settings{
		Allocators:      int(c.number("balancers")),
		Ordinal:         int(c.number("ordinal")),
		ColdFor:         c.millis("contract.cold_ns"),
		ColdFrom:        c.number("contract.cold_from"),
		ColdBears:       c.number("family_info.cold_bears"),
		OverloadFor:     c.millis("contract.overload_for_ns"),
		MustAsk:         word(c, "discovery", c.text("discovery"), mustAsk),
		ConfirmsRunning: word(c, "family_info.confirms", c.text("family_info.confirms"), confirmsRunning),
		ReportsUse:      word(c, "family_info.report_counts", c.text("family_info.report_counts"), reportsUse),
		RoomInList:      c.flag("family_info.free_in_list"),
		MaxBinds:        int(c.number("permissions.most_tries")),
		MayProbe:        c.flag("permissions.probes"),
	}
	if s.MustAsk {
		s.AskWithin = c.millis("contract.ask_within_ns")
	}
	for i := range c.list("family_info.kind_cores") {
		s.Kinds = append(s.Kinds, choice.Kind{
			Cores:  c.element("family_info.kind_cores", i),
			Memory: c.element("family_info.memory_by_kind", i),
		})
	}
	for i := 0; i < int(c.number("request_classes.count")) && c.err == nil; i++ {
		at := fmt.Sprintf("request_classes.%d.", i)
		g := choice.Group{
			Target:     c.millis(at + "aim_ns"),
			Utility:    c.number(at + "value"),
			Effect:     word(c, at+"effect", c.text(at+"effect"), effects),
			SpreadMost: int(c.element("family_info.spread_most", i)),
			Calm:       c.element("family_info.calm_level", i),
			Fade:       c.element("family_info.lost_after", i),
			Kind:       int(c.element("family_info.kind_by_class", i)),
		}
		if apart := c.list("family_info.apart_by"); i < len(apart) {
			g.Spread = word(c, "family_info.apart_by", apart[i], scopes)
		} else {
			c.fail("family_info.apart_by", "has no value for every class")
		}
		if g.Effect == choice.Deduplicated {
			g.DedupScope = word(c, at+"dedup_scope", c.text(at+"dedup_scope"), scopes)
			g.DedupWindow = c.millis(at + "window_ns")
		}
		s.Groups = append(s.Groups, g)
	}
	return s, c.list("report.fields"), c.err
}
