package command

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const defaultDescriptors = 256 // limits.sockets of a configuration, unless a test needs another limit

const platformSettings = `{"balancers":1,"ordinal":0,"zones":["z"],"kinds":["small"],"discovery":"automatic",
 "contract":{"cold_ns":17000000000,"cold_from":0.28,"overload_for_ns":2000000000},"report":{"fields":["x0"]},
 "permissions":{"most_tries":4,"probes":false,"connect_timeout_ns":250000000},
 "request_classes":[{"name":"tiles","aim_ns":1000000000,"effect":"read_like","value":1}],
 "family_info":{"cold_bears":54,"confirms":"running","report_counts":"used","free_in_list":true,
  "kind_cores":[20],"memory_by_kind":[40],"apart_by":["off"],"spread_most":[2],"calm_level":[0.8],
  "lost_after":[0.15],"kind_by_class":[-1]}}`

// platformConfig returns a configuration whose node list has the given addresses.
func platformConfig(discovery string, descriptors int, nodes ...string) []byte {
	var endpoints []string
	for i, address := range nodes {
		endpoints = append(endpoints, fmt.Sprintf(`{"name":"s-%02d","address":%q,"zone":"z","type":"small",
"group":0,"status":"Ready","since_ms":0,"room":[20,40]}`, i, address))
	}
	return fmt.Appendf(nil, `{"name":"one","listen":"127.0.0.1:0","seed":"05","journal":%q,
"limits":{"cores":1,"memory_mb":64,"sockets":%d},
"known":{"pos":1,"entries":[{"hosts":{"snapshot":true,"endpoints":[%s]}}]},
"settings":%s}`, discovery, descriptors, strings.Join(endpoints, ","), platformSettings)
}

// writePlatformConfig writes a configuration with defaultDescriptors into a file.
func writePlatformConfig(t *testing.T, file, discovery string, nodes ...string) {
	t.Helper()
	content := platformConfig(discovery, defaultDescriptors, nodes...)
	require.True(t, json.Valid(content))
	require.NoError(t, os.WriteFile(file, content, 0o600))
}
