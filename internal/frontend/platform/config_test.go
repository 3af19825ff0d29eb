package platform

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const sampleConfig = `{"name":"one","listen":"127.0.0.1:5080","seed":"05","journal":"127.0.0.1:7070",
"limits":{"cores":0.5,"memory_mb":64,"sockets":256},"known":{"pos":3,"entries":[{"hosts":{}},{}]},
"settings":{"balancers":1,"ordinal":0,"zones":["z"],"kinds":["small"],"discovery":"automatic",
 "contract":{"cold_ns":17000000000,"cold_from":0.28,"overload_for_ns":2000000000},"report":{"fields":["x0"]},
 "permissions":{"most_tries":4,"probes":false,"connect_timeout_ns":250000000},
 "request_classes":[{"name":"tiles","aim_ns":1000000000,"effect":"read_like","value":1}],
 "family_info":{"cold_bears":54,"confirms":"running","report_counts":"used","free_in_list":true,"kind_cores":[20],
  "memory_by_kind":[40],"apart_by":["off"],"spread_most":[2],"calm_level":[0.8],"lost_after":[0.15],
  "kind_by_class":[-1]}}}`

func readConfig(t *testing.T, text, listen string) (*Config, error) {
	t.Helper()
	file := filepath.Join(t.TempDir(), "config.json")
	require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
	return ReadConfig(file, listen)
}

func TestReadConfig_Fields(t *testing.T) {
	config, err := readConfig(t, sampleConfig, "")
	require.NoError(t, err)
	assert.Equal(t, []string{"tiles"}, config.Settings.GroupNames)
	assert.Len(t, config.KnownEvents, 2)
	config.Settings = nil
	config.KnownEvents = nil
	assert.Equal(t, &Config{
		Name:             "one",
		Listen:           "127.0.0.1:5080",
		DiscoveryAddress: "127.0.0.1:7070",
		Seed:             5,
		Revision:         3,
		Limits: Limits{
			Cores:    0.5,
			MemoryMB: 64,
			Sockets:  256,
		},
	}, config)
}

func TestReadConfig_ListenAddressGiven_TakesPrecedence(t *testing.T) {
	config, err := readConfig(t, sampleConfig, "127.0.0.2:1")
	require.NoError(t, err)
	assert.Equal(t, "127.0.0.2:1", config.Listen)
	config, err = readConfig(t, strings.Replace(sampleConfig, `"listen"`, `"other"`, 1), "127.0.0.2:1")
	require.NoError(t, err)
	assert.Equal(t, "127.0.0.2:1", config.Listen)
}

func TestReadConfig_SeedNotHexadecimal_Hashed(t *testing.T) {
	read := func(seed string) uint64 {
		config, err := readConfig(t, strings.Replace(sampleConfig, `"05"`, `"`+seed+`"`, 1), "")
		require.NoError(t, err)
		return config.Seed
	}
	assert.Equal(t, uint64(0xff), read("ff"))
	first := read("any text")
	assert.Equal(t, first, read("any text"))
	assert.NotEqual(t, first, read("another"))
}

func TestReadConfig_InvalidFile_ErrorStatesTheFault(t *testing.T) {
	for want, change := range map[string][2]string{
		"listen is missing":            {`"listen"`, `"other"`},
		"journal is missing":           {`"journal"`, `"other"`},
		"limits.sockets is 63":         {`"sockets":256`, `"sockets":63`},
		"limits.memory_mb is 0":        {`"memory_mb":64`, `"memory_mb":0`},
		"setting balancers is missing": {`"balancers"`, `"other"`},
		"config.json":                  {`{"name"`, `{`},
	} {
		t.Run(want, func(t *testing.T) {
			config, err := readConfig(t, strings.Replace(sampleConfig, change[0], change[1], 1), "")
			require.ErrorContains(t, err, want)
			assert.Nil(t, config)
		})
	}
	_, err := ReadConfig(filepath.Join(t.TempDir(), "none"), "")
	assert.ErrorIs(t, err, os.ErrNotExist)
}
