package command

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestParseTime_AbsoluteAndRelative(t *testing.T) {
	const first = 5000
	for text, want := range map[string]float64{
		"":                         0,
		"+90s":                     first + 90e3,
		"1970-01-01T00:00:01.500Z": 1500,
	} {
		t.Run(text, func(t *testing.T) {
			at, err := parseTime("from", text, first)
			require.NoError(t, err)
			assert.InDelta(t, want, at, 0)
		})
	}
	for _, text := range []string{"+90", "yesterday"} {
		t.Run(text, func(t *testing.T) {
			_, err := parseTime("from", text, first)
			assert.ErrorContains(t, err, "--from \""+text+"\" is not a time; write one such as")
		})
	}
}
