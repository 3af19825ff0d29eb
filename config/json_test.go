package config

import (
	"bytes"
	"encoding/json"
	"os"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Scripts read the output of "grebeglade config check --json", which the expected file holds for the HCL file. Guards
// against a renamed Go field that changes a key, or the order of the keys.
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
