package config

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"grebeglade/placement"
)

const validFile = `
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
	a, err := Decode("a.hcl", []byte(validFile))
	require.NoError(t, err)
	assert.Equal(t, 2, a.Settings.Ordinal)
	assert.Equal(t, int64(2<<20), a.Limits.MaxWriteBuffer)
	assert.Equal(t, []placement.NodeKind{{Cores: 24, Memory: 48}}, a.Settings.NodeKinds)
	assert.Equal(t, []string{"serve", "check"}, a.GroupNames)
	assert.Equal(t, 0, a.Settings.Groups[0].RequiredKind)
	assert.Equal(t, placement.ScopeCell, a.Settings.Groups[1].KeyScope)
	// The tolerance is 0: 12000 ms and 700 ms are converted exactly.
	assert.InDelta(t, 12000, float64(a.Settings.WarmUpDuration), 0)
	assert.InDelta(t, 700, float64(a.Settings.Groups[0].LatencyObjective), 0)
}

// invalidChanges are replacements in validFile that make it invalid, by test name.
var invalidChanges = map[string]struct {
	from string // text in validFile
	to   string // replacement
	want string // expected part of the error
}{
	"no unit": {
		from: `"12s"`,
		to:   `12`,
		want: `a.hcl:12: cold_for has no unit; write it in quotes with one, such as "12ms" or "12s"`,
	},
	"malformed duration": {
		from: `"12s"`,
		to:   `"12 sec"`,
		want: `a.hcl:12: cold_for is "12 sec"; write a time with its unit`,
	},
	"misspelled argument": {
		from: `cold_for`,
		to:   `cold_four`,
		want: `a.hcl:12: cold_four is not a known argument; did you mean cold_for?`,
	},
	"unknown block": {
		from: "rules {",
		to:   "ruels {",
		want: `a.hcl:11: ruels is not a known block; did you mean rules?`,
	},
	"out of range": {
		from: `cores  = 24`,
		to:   `cores = 0`,
		want: `a.hcl:15: cores is 0; write a number from 0.001`,
	},
	"not an integer": {
		from: `number     = 2`,
		to:   `number = 1.5`,
		want: `a.hcl:6: number is 1.5; write a whole number`,
	},
	"ordinal too large": {
		from: `number     = 2`,
		to:   `number = 3`,
		want: `a.hcl:6: number is 3 of 3 allocators; write one from 0 to 2`,
	},
	"not a loopback address": {
		from: `127.0.0.1:7070`,
		to:   `0.0.0.0:7070`,
		want: `a.hcl:4: listen is "0.0.0.0:7070", which is not a loopback address`,
	},
	"no port": {
		from: `127.0.0.1:7070`,
		to:   `127.0.0.1`,
		want: `a.hcl:4: listen is "127.0.0.1", which is not an address with a port`,
	},
	"unknown size unit": {
		from: `"2MiB"`,
		to:   `"2MB"`,
		want: `a.hcl:9: waiting is "2MB"; write a size with its unit`,
	},
	"unknown effect": {
		from: `"deduplicated"`,
		to:   `"keyed"`,
		want: `a.hcl:23: effect is "keyed"; write one of ["restartable" "deduplicated" "run-once"]`,
	},
	"deduplicated without a window": {
		from: `dedup_window = "5s"`,
		to:   ``,
		want: `a.hcl:23: group "check" is deduplicated and does not say where and for how long; add dedup_scope`,
	},
	"unknown kind": {
		from: `kind   = "small"`,
		to:   `kind = "big"`,
		want: `a.hcl:20: kind "big" is not known; write one of ["small"]`,
	},
	"duplicate name": {
		from: `group "check"`,
		to:   `group "serve"`,
		want: `a.hcl:22: group "serve" is already defined in line 18; give it another name`,
	},
	"no name": {
		from: `group "check"`,
		to:   `group`,
		want: `a.hcl:22: a group without a name; write group "NAME" { … }`,
	},
	"syntax error": {
		from: `allocator {`,
		to:   `allocator (`,
		want: `a.hcl:2: `,
	},
	"not a number": {
		from: `cores  = 24`,
		to:   `cores = [1]`,
		want: `a.hcl:15: cores is not a number; write a number`,
	},
	"no kind": {
		from: validFile,
		to:   `group "x" {}`,
		want: `a.hcl:1: no node kind; write at least one`,
	},
	"no group": {
		from: validFile,
		to:   `kind "x" {}`,
		want: `a.hcl:1: no priority group; write at least one`,
	},
}

func TestDecode_InvalidFile_ErrorHasLineAndFix(t *testing.T) {
	for name, c := range invalidChanges {
		t.Run(name, func(t *testing.T) {
			require.Contains(t, validFile, c.from)
			changed := strings.Replace(validFile, c.from, c.to, 1)
			_, err := Decode("a.hcl", []byte(changed))
			assert.ErrorContains(t, err, c.want)
		})
	}
}

func TestDecode_AllProblemsAreReportedInLineOrder(t *testing.T) {
	_, err := Decode("a.hcl", []byte(strings.NewReplacer(`"12s"`, "12", "24", "-1", "700ms", "700").Replace(validFile)))
	var all FileError
	require.ErrorAs(t, err, &all)
	lines := []int{}
	for _, problem := range all {
		lines = append(lines, problem.Line)
	}
	assert.Equal(t, []int{12, 15, 19}, lines)
	var first LineError
	require.ErrorAs(t, err, &first)
	assert.Equal(t, "a.hcl", first.File)
}

func FuzzDecode(f *testing.F) {
	f.Add(validFile)
	f.Add(`kind "x" { cores = "a" }`)
	f.Fuzz(func(t *testing.T, src string) {
		a, err := Decode("f.hcl", []byte(src))
		if err == nil && (len(a.GroupNames) == 0 || len(a.KindNames) != len(a.Settings.NodeKinds)) {
			t.Error("accepted a file without a group, or whose kind names do not match its node kinds")
		}
	})
}
