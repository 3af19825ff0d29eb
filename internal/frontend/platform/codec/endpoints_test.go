package codec

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"grebeglade/placement"
)

func TestDecodeEndpoints(t *testing.T) {
	t.Run("snapshot", func(t *testing.T) {
		update, ok, err := DecodeEndpoints([]byte(`{"pos":41,"hosts":{"index":7,"snapshot":true,"endpoints":[
			{"name":"s-01","address":"10.1.0.9:5080","zone":"east","type":"std","group":2,
			"status":"Terminating","weight":4,"since_ms":12.5,"room":[20,40]},
			{"name":"s-02","status":"Gone","room":[1]}]}}`))
		require.NoError(t, err)
		assert.True(t, ok)
		assert.Equal(t, EndpointUpdate{Snapshot: true, Endpoints: []Endpoint{
			{
				Name:       "s-01",
				Address:    "10.1.0.9:5080",
				Zone:       "east",
				Kind:       "std",
				Cell:       2,
				State:      placement.Draining,
				StartedAt:  12.5,
				FreeCores:  20,
				FreeMemory: 40,
			},
			{Name: "s-02", State: placement.Removed},
		}}, update)
	})
	t.Run("event not about nodes", func(t *testing.T) {
		_, ok, err := DecodeEndpoints([]byte(`{"pos":41,"other":{}}`))
		require.NoError(t, err)
		assert.False(t, ok)
	})
}

func TestDecodeEndpoints_Malformed_Error(t *testing.T) {
	for name, data := range map[string]string{
		"not JSON":       `{"hosts":`,
		"unknown status": `{"hosts":{"endpoints":[{"name":"s-01","status":"Lost"}]}}`,
		"no name":        `{"hosts":{"endpoints":[{"status":"Ready"}]}}`,
		"wrong type":     `{"hosts":{"endpoints":[{"name":"s-01","status":"Ready","group":-1}]}}`,
	} {
		t.Run(name, func(t *testing.T) {
			_, ok, err := DecodeEndpoints([]byte(data))
			require.Error(t, err)
			assert.False(t, ok)
		})
	}
}
