package config

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func parse(t *testing.T, src string) *Block {
	t.Helper()
	b, err := Parse("f.hcl", []byte(src))
	require.NoError(t, err)
	return b
}

func TestBlock_ReadsArgumentsOfEachType(t *testing.T) {
	b := parse(t, `
text     = "x"
list     = ["a", "b"]
choice   = "two"
number   = 0.5
count    = 3
flag     = true
duration = "1.5s"
size     = "2KiB"
pairs    = [[0.5, 1], [1, 2]]
`)
	assert.Equal(t, "x", b.String("text", ""))
	assert.Equal(t, []string{"a", "b"}, b.Strings("list", nil))
	assert.Equal(t, "two", b.OneOf("choice", "one", "one", "two"))
	assert.InDelta(t, 0.5, b.Float("number", 0, 0, 1), 0)
	assert.Equal(t, 3, b.Int("count", 0, 0, 10))
	assert.True(t, b.Bool("flag", false))
	assert.InDelta(t, 1500, float64(b.Duration("duration", 0)), 0)
	assert.Equal(t, int64(2048), b.ByteSize("size", 0))
	assert.Equal(t, [][2]float64{{0.5, 1}, {1, 2}}, b.FloatPairs("pairs", nil))
	require.NoError(t, b.Finish())
}

func TestBlock_AbsentArgument_ReturnsFallback(t *testing.T) {
	b := parse(t, "")
	assert.Equal(t, "x", b.String("text", "x"))
	assert.Equal(t, []string{"a"}, b.Strings("list", []string{"a"}))
	assert.Equal(t, 3, b.Int("count", 3, 0, 10))
	assert.Equal(t, int64(7), b.ByteSize("size", 7))
	assert.Equal(t, [][2]float64{{1, 2}}, b.FloatPairs("pairs", [][2]float64{{1, 2}}))
	assert.False(t, b.Has("text"))
	require.NoError(t, b.Finish())
}

func TestBlockFloatPairs_MalformedPair_IsReported(t *testing.T) {
	for name, value := range map[string]string{
		"one number":    `[[1]]`,
		"three numbers": `[[1, 2, 3]]`,
		"zero":          `[[1, 0]]`,
		"no numbers":    `[[]]`,
	} {
		t.Run(name, func(t *testing.T) {
			b := parse(t, "pairs = "+value)
			assert.Nil(t, b.FloatPairs("pairs", nil))
			assert.ErrorContains(t, b.Finish(), "f.hcl:1: pairs has an element that is not a pair of positive numbers")
		})
	}
}

func TestBlockInherit_AddsOnlyAbsentArgumentsAndBlocks(t *testing.T) {
	b := parse(t, `
own = "kept"
rules {
  own = "kept"
}
fault "mine" {}
`)
	b.Inherit(parse(t, `
own = "replaced"
new = "added"
rules {
  own = "replaced"
  new = "added"
}
limits {
  new = "added"
}
fault "other" {}
`))
	assert.Equal(t, "kept", b.String("own", ""))
	assert.Equal(t, "added", b.String("new", ""))
	assert.Equal(t, "kept", b.Block("rules").String("own", ""))
	assert.Equal(t, "added", b.Block("rules").String("new", ""))
	assert.Equal(t, "added", b.Block("limits").String("new", ""))
	faults := b.Named("fault")
	require.Len(t, faults, 1)
	assert.Equal(t, "mine", faults[0].Name)
	require.NoError(t, b.Finish())
}

func TestBlockFinish_SkippedBlock_IsNotReported(t *testing.T) {
	const src = "rules {\n  other = 1\n}\n"
	b := parse(t, src)
	b.Block("rules").Skip()
	require.NoError(t, b.Finish())

	b = parse(t, src)
	b.Block("rules")
	assert.ErrorContains(t, b.Finish(), "f.hcl:2: other is not a known argument")
}

func TestBlockBlock_SecondBlock_IsReported(t *testing.T) {
	b := parse(t, "rules {}\nrules {}\n")
	b.Block("rules")
	assert.ErrorContains(t, b.Finish(), "f.hcl:2: a second rules block; keep one")
}
