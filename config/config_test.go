package config

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"grebeglade/placement"
)

const good = `
allocator {
  name       = "a-1"
  listen     = "127.0.0.1:7070"
  allocators = 3
  number     = 2
}
limits {
  waiting = "2MiB"
}
rules {
  cold_for = "12s"
}
kind "small" {
  cores  = 24
  memory = 48
}
group "serve" {
  target = "700ms"
  kind   = "small"
}
group "check" {
  effect       = "deduplicated"
  dedup_scope  = "cell"
  dedup_window = "5s"
}
`

func TestDecode_ReadsEveryBlock(t *testing.T) {
	a, err := Decode("a.hcl", []byte(good))
	require.NoError(t, err)
	assert.Equal(t, 2, a.Settings.Ordinal)
	assert.Equal(t, int64(2<<20), a.Limits.MaxWriteBuffer)
	assert.Equal(t, []placement.NodeKind{{Cores: 24, Memory: 48}}, a.Settings.NodeKinds)
	assert.Equal(t, []string{"serve", "check"}, a.GroupNames)
	assert.Equal(t, 0, a.Settings.Groups[0].RequiredKind)
	assert.Equal(t, placement.ScopeCell, a.Settings.Groups[1].KeyScope)
	// Durations are converted without an error: 12000 and 700 are exact.
	assert.InDelta(t, 12000, float64(a.Settings.WarmUpDuration), 0)
	assert.InDelta(t, 700, float64(a.Settings.Groups[0].LatencyObjective), 0)
}

func TestDecode_ProblemNamesLineAndFix(t *testing.T) {
	for name, c := range map[string]struct{ from, to, want string }{
		"no unit":        {`"12s"`, `12`, `a.hcl:12: cold_for has no unit; write it in quotes with one, such as "12ms" or "12s"`},
		"no time":        {`"12s"`, `"12 sec"`, `a.hcl:12: cold_for is "12 sec"; write a time with its unit`},
		"misspelt":       {`cold_for`, `cold_four`, `a.hcl:12: cold_four is not a known argument; did you mean cold_for?`},
		"unknown block":  {"rules {", "ruels {", `a.hcl:11: ruels is not a known block; did you mean rules?`},
		"out of range":   {`cores  = 24`, `cores = 0`, `a.hcl:15: cores is 0; write a number from 0.001`},
		"not whole":      {`number     = 2`, `number = 1.5`, `a.hcl:6: number is 1.5; write a whole number`},
		"number too big": {`number     = 2`, `number = 3`, `a.hcl:6: number is 3 of 3 allocators; write one from 0 to 2`},
		"beyond":         {`127.0.0.1:7070`, `0.0.0.0:7070`, `a.hcl:4: listen is "0.0.0.0:7070", which is not a loopback address`},
		"no port":        {`127.0.0.1:7070`, `127.0.0.1`, `a.hcl:4: listen is "127.0.0.1", no address with a port`},
		"size":           {`"2MiB"`, `"2MB"`, `a.hcl:9: waiting is "2MB"; write a size with its unit`},
		"word":           {`"deduplicated"`, `"keyed"`, `a.hcl:23: effect is "keyed"; write one of ["restartable" "deduplicated" "run-once"]`},
		"needs more":     {`dedup_window = "5s"`, ``, `a.hcl:23: group "check" is deduplicated and does not say where and for how long; add dedup_scope`},
		"unknown kind":   {`kind   = "small"`, `kind = "big"`, `a.hcl:20: kind "big" is not known; write one of ["small"]`},
		"twice":          {`group "check"`, `group "serve"`, `a.hcl:22: group "serve" is already defined in line 18; give it another name`},
		"no name":        {`group "check"`, `group`, `a.hcl:22: a group without a name; write group "NAME" { … }`},
		"not HCL":        {`allocator {`, `allocator (`, `a.hcl:2: `},
		"not a number":   {`cores  = 24`, `cores = [1]`, `a.hcl:15: cores is not a number; write a number`},
		"no kind":        {good, `group "x" {}`, `a.hcl:1: no kind of node; write at least one`},
		"no group":       {good, `kind "x" {}`, `a.hcl:1: no priority group; write at least one`},
	} {
		t.Run(name, func(t *testing.T) {
			require.Contains(t, good, c.from)
			_, err := Decode("a.hcl", []byte(strings.Replace(good, c.from, c.to, 1)))
			assert.ErrorContains(t, err, c.want)
		})
	}
}

func TestDecode_AllProblemsAreReportedInLineOrder(t *testing.T) {
	_, err := Decode("a.hcl", []byte(strings.NewReplacer(`"12s"`, "12", "24", "-1", "700ms", "700").Replace(good)))
	var all Problems
	require.ErrorAs(t, err, &all)
	lines := []int{}
	for _, p := range all {
		lines = append(lines, p.Line)
	}
	assert.Equal(t, []int{12, 15, 19}, lines)
	var first Problem
	require.ErrorAs(t, err, &first)
	assert.Equal(t, "a.hcl", first.File)
}

func FuzzDecode(f *testing.F) {
	f.Add(good)
	f.Add(`kind "x" { cores = "a" }`)
	f.Fuzz(func(t *testing.T, src string) {
		a, err := Decode("f.hcl", []byte(src))
		if err == nil && (len(a.GroupNames) == 0 || len(a.KindNames) != len(a.Settings.NodeKinds)) {
			t.Error("a file was accepted that says too little")
		}
	})
}
