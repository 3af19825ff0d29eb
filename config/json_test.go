package config

import (
	"bytes"
	"encoding/json"
	"os"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// The expected file was printed by "grebeglade config check --json" before the fields had names of their own for JSON.
func TestAllocatorMarshalJSON_KeepsKeysAndOrder(t *testing.T) {
	a, err := Load("testdata/allocator.hcl")
	require.NoError(t, err)
	want, err := os.ReadFile("testdata/allocator.json")
	require.NoError(t, err)

	var got bytes.Buffer
	encoder := json.NewEncoder(&got)
	encoder.SetIndent("", "  ")
	require.NoError(t, encoder.Encode(a))

	assert.Equal(t, string(want), got.String())
}
