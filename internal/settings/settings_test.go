package settings

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"grebeglade/placement"
)

// nested holds settings in the platform's form.
const nested = `{"balancers":3,"ordinal":2,"zones":["z1","z2"],"kinds":["small","large"],"discovery":"subscribe",
 "contract":{"cold_ns":17000000000,"cold_from":0.28,"overload_for_ns":2000000000,"ask_within_ns":9000000000},
 "report":{"fields":["x0","util"]},
 "permissions":{"most_tries":4,"probes":true,"connect_timeout_ns":250000000,"keepalive_ns":5000000000},
 "request_classes":[
  {"name":"tiles","aim_ns":1000000000,"effect":"read_like","value":1},
  {"name":"orders","aim_ns":500000000,"effect":"idempotency_key","value":2.5,
   "dedup_scope":"cell","window_ns":3000000000}],
 "family_info":{"cold_bears":54,"confirms":"running","report_counts":"used","free_in_list":true,
  "kind_cores":[20,40],"memory_by_kind":[40,80],"apart_by":["off","zone"],"spread_most":[2,3],
  "calm_level":[0.8,0.7],"lost_after":[0.15,0.25],"kind_by_class":[-1,1]},
 "not_needed":{"x":null}}`

// pairs holds the settings of nested in the simulator's form.
const pairs = `balancers=3
ordinal=2
zones=z1,z2
kinds=small,large
discovery=subscribe
contract.cold_ns=17000000000
contract.cold_from=0.28
contract.overload_for_ns=2000000000
contract.ask_within_ns=9000000000
report.fields=x0,util
permissions.most_tries=4
permissions.probes=true
permissions.connect_timeout_ns=250000000
permissions.keepalive_ns=5000000000
request_classes.count=2
request_classes.0.name=tiles
request_classes.0.aim_ns=1000000000
request_classes.0.effect=read_like
request_classes.0.value=1
request_classes.1.name=orders
request_classes.1.aim_ns=500000000
request_classes.1.effect=idempotency_key
request_classes.1.value=2.5
request_classes.1.dedup_scope=cell
request_classes.1.window_ns=3000000000
family_info.cold_bears=54
family_info.confirms=running
family_info.report_counts=used
family_info.free_in_list=true
family_info.kind_cores=20,40
family_info.memory_by_kind=40,80
family_info.apart_by=off,zone
family_info.spread_most=2,3
family_info.calm_level=0.8,0.7
family_info.lost_after=0.15,0.25
family_info.kind_by_class=-1,1
a line without a value
not.needed=1
`

// expected returns the decoded settings of nested and pairs.
func expected() *Received {
	return &Received{
		Settings: placement.Settings{
			Allocators:           3,
			Ordinal:              2,
			WarmUpDuration:       17000,
			InitialRate:          0.28,
			WarmUpBudget:         54,
			OverloadWindow:       2000,
			PolledDiscovery:      true,
			PollInterval:         9000,
			ConfirmsRunning:      true,
			ReportsUsage:         true,
			EntriesCarryCapacity: true,
			MaxBinds:             4,
			HealthChecksAllowed:  true,
			NodeKinds:            []placement.NodeKind{{Cores: 20, Memory: 40}, {Cores: 40, Memory: 80}},
			Groups:               expectedGroups(),
		},
		ReportFields:   []string{"x0", "util"},
		GroupNames:     []string{"tiles", "orders"},
		KindNames:      []string{"small", "large"},
		ZoneNames:      []string{"z1", "z2"},
		ConnectTimeout: 250,
		IdleTimeout:    5000,
	}
}

func expectedGroups() []placement.Group {
	return []placement.Group{
		{
			LatencyObjective:       1000,
			PriorityWeight:         1,
			Idempotency:            placement.Idempotent,
			MaxPerScope:            2,
			FullServiceUtilization: 0.8,
			DegradationRange:       0.15,
			RequiredKind:           placement.AnyKind,
		},
		{
			LatencyObjective:       500,
			PriorityWeight:         2.5,
			Idempotency:            placement.IdempotentByKey,
			KeyScope:               placement.ScopeCell,
			KeyWindow:              3000,
			SpreadScope:            placement.ScopeZone,
			MaxPerScope:            3,
			FullServiceUtilization: 0.7,
			DegradationRange:       0.25,
			RequiredKind:           1,
		},
	}
}

func TestFromJSON_DecodesNestedValues(t *testing.T) {
	received, err := FromJSON([]byte(nested))
	require.NoError(t, err)
	assert.Equal(t, expected(), received)
}

func TestFromPairs_SameResultAsJSON(t *testing.T) {
	received, err := FromPairs(pairs)
	require.NoError(t, err)
	assert.Equal(t, expected(), received)
}

func TestFromPairs_OptionalKeysMissing_ZeroValues(t *testing.T) {
	var required []string
	for line := range strings.Lines(pairs) {
		if key, _, _ := strings.Cut(line, "="); !isOptional(key) {
			required = append(required, line)
		}
	}
	received, err := FromPairs(strings.Join(required, ""))
	require.NoError(t, err)
	want := expected()
	want.KindNames = nil
	want.ZoneNames = nil
	want.ConnectTimeout = 0
	want.IdleTimeout = 0
	want.GroupNames = []string{"", ""}
	assert.Equal(t, want, received)
}

func isOptional(key string) bool {
	switch key {
	case "kinds", "zones", "permissions.connect_timeout_ns", "permissions.keepalive_ns":
		return true
	default:
		return strings.HasSuffix(key, ".name")
	}
}

func TestFromJSON_MissingKey_ErrorHasKeyAndFix(t *testing.T) {
	t.Run("top level", func(t *testing.T) {
		text := replace(t, `"balancers"`, `"other"`)
		assertKeyError(t, text, "balancers", "setting balancers is missing; add it to the settings")
	})
	t.Run("nested", func(t *testing.T) {
		text := replace(t, `"window_ns"`, `"other"`)
		assertKeyError(t, text, "request_classes.1.window_ns", "is missing")
	})
	t.Run("list of objects", func(t *testing.T) {
		text := replace(t, `"request_classes"`, `"other"`)
		assertKeyError(t, text, "request_classes.count", "is missing")
	})
}

func TestFromJSON_InvalidValue_ErrorHasKeyAndProblem(t *testing.T) {
	t.Run("not a number", func(t *testing.T) {
		text := replace(t, `"most_tries":4`, `"most_tries":"many"`)
		assertKeyError(t, text, "permissions.most_tries", `is "many", not a number`)
	})
	t.Run("not a boolean", func(t *testing.T) {
		text := replace(t, `"probes":true`, `"probes":"maybe"`)
		assertKeyError(t, text, "permissions.probes", `is "maybe", not true or false`)
	})
	t.Run("not one of the valid names", func(t *testing.T) {
		text := replace(t, `"discovery":"subscribe"`, `"discovery":"x"`)
		assertKeyError(t, text, "discovery", `is "x", which is not a valid name; give one of ["automatic" "subscribe"]`)
	})
	t.Run("list of numbers too short", func(t *testing.T) {
		text := replace(t, `"spread_most":[2,3]`, `"spread_most":[2]`)
		assertKeyError(t, text, "family_info.spread_most", "has 1 values, expected at least 2")
	})
	t.Run("list of names too short", func(t *testing.T) {
		text := replace(t, `"apart_by":["off","zone"]`, `"apart_by":["off"]`)
		assertKeyError(t, text, "family_info.apart_by", "has 1 values, expected at least 2")
	})
}

// replace returns the settings of nested with part replaced.
func replace(t *testing.T, part, replacement string) string {
	t.Helper()
	require.Contains(t, nested, part)
	return strings.Replace(nested, part, replacement, 1)
}

// assertKeyError checks that decoding the JSON text fails with a KeyError for the key whose message contains want.
func assertKeyError(t *testing.T, text, key, want string) {
	t.Helper()
	received, err := FromJSON([]byte(text))
	assert.Nil(t, received)
	var keyErr *KeyError
	require.ErrorAs(t, err, &keyErr)
	assert.Equal(t, key, keyErr.Key)
	assert.ErrorContains(t, err, want)
}

func TestFromJSON_InvalidJSON_Error(t *testing.T) {
	_, err := FromJSON([]byte("{"))
	assert.ErrorContains(t, err, "settings: unexpected EOF")
}
