package command

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"grebeglade/internal/platform/wire"
)

// asProcess has the test's binary be the program itself.
const asProcess = "GREBEGLADE_TEST_COMMAND"

func TestMain(m *testing.M) {
	if line := os.Getenv(asProcess); line != "" {
		os.Exit(Run(strings.Fields(line), os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

const platformSettings = `{"balancers":1,"ordinal":0,"zones":["z"],"kinds":["small"],"discovery":"automatic",
 "contract":{"cold_ns":17000000000,"cold_from":0.28,"overload_for_ns":2000000000},"report":{"fields":["x0"]},
 "permissions":{"most_tries":4,"probes":false,"connect_timeout_ns":250000000},
 "request_classes":[{"name":"tiles","aim_ns":1000000000,"effect":"read_like","value":1}],
 "family_info":{"cold_bears":54,"confirms":"running","report_counts":"used","free_in_list":true,"kind_cores":[20],
  "memory_by_kind":[40],"apart_by":["off"],"spread_most":[2],"calm_level":[0.8],"lost_after":[0.15],"kind_by_class":[-1]}}`

// journalService is a stand-in that reports who follows it.
func journalService(t *testing.T) (addr string, followed chan string) {
	followed = make(chan string, 10)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		followed <- r.Header.Get("Last-Event-ID")
		for r.Context().Err() == nil {
			fmt.Fprint(w, ": here\n\n")
			w.(http.Flusher).Flush()
			select {
			case <-r.Context().Done():
			case <-time.After(time.Second):
			}
		}
	}))
	t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
	return s.Listener.Addr().String(), followed
}

// nodeThatAccepts is a stand-in that takes whatever it is offered.
func nodeThatAccepts(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				var b []byte
				part := make([]byte, 4096)
				for {
					n, err := c.Read(part)
					b = append(b, part[:n]...)
					for {
						m, used, err := wire.Binary{}.Cut(b)
						if err != nil || used == 0 {
							break
						}
						b = b[used:]
						if m := m.(*wire.Message); m.Verb == wire.Start {
							text := "taken by a node"
							out, err := wire.Binary{}.Append(nil, &wire.Message{Verb: wire.Started, Tag: m.Tag, Description: &text})
							if err != nil {
								return
							}
							if _, err := c.Write(out); err != nil {
								return
							}
						}
					}
					if err != nil {
						return
					}
				}
			}()
		}
	}()
	return l.Addr().String()
}

func writeConfig(t *testing.T, file, journal, node string) {
	t.Helper()
	b := fmt.Sprintf(`{"name":"one","listen":"127.0.0.1:0","seed":"05","journal":%q,"limits":{"cores":1,"memory_mb":64,"sockets":256},
"known":{"pos":1,"entries":[{"hosts":{"snapshot":true,"endpoints":[{"name":"s-01","address":%q,"zone":"z","type":"small","group":0,
"status":"Ready","since_ms":0,"room":[20,40]}]}}]},"settings":%s}`, journal, node, platformSettings)
	require.True(t, json.Valid([]byte(b)))
	require.NoError(t, os.WriteFile(file, []byte(b), 0o600))
}

func TestTheProcessServesTakesANewAddressAndLeaves(t *testing.T) {
	first, followedFirst := journalService(t)
	second, followedSecond := journalService(t)
	node := nodeThatAccepts(t)
	l, err := net.Listen("tcp", "127.0.0.1:0") // a free address
	require.NoError(t, err)
	addr := l.Addr().String()
	l.Close()
	file := filepath.Join(t.TempDir(), "config.json")
	writeConfig(t, file, first, node)

	c := exec.Command(os.Args[0])
	c.Env = append(os.Environ(), asProcess+"=platform", "NODE_CONFIG="+file, "NODE_LISTEN="+addr)
	log, err := c.StderrPipe()
	require.NoError(t, err)
	require.NoError(t, c.Start())
	defer c.Process.Kill()
	lines := bufio.NewReader(log)
	line, err := lines.ReadString('\n')
	require.NoError(t, err)
	require.Contains(t, line, "serving")
	go io.Copy(io.Discard, lines)
	assert.Equal(t, "1", <-followedFirst)

	owner, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	defer owner.Close()
	answers := bufio.NewReader(owner)
	says := func(line string) string {
		_, err := io.WriteString(owner, line+"\n")
		require.NoError(t, err)
		got, err := answers.ReadString('\n')
		require.NoError(t, err)
		return strings.TrimSpace(got)
	}
	test := `{"verb":"ECHO","tag":"0000000000000001","opts":{},"rc":0}`
	assert.JSONEq(t, `{"verb":"ECHOED","tag":"0000000000000001","opts":{},"rc":1}`, says(test))
	assert.JSONEq(t, `{"verb":"STARTED","tag":"0000000000000002","opts":{},"blob":"taken by a node"}`, says(
		`{"verb":"START","tag":"0000000000000002","opts":{"class":"tiles","left":"2000","key":"aa",`+
			`"extras":"cores:1;memory:1;service:07"},"blob":"what is asked"}`))

	require.NoError(t, os.WriteFile(file, []byte("{"), 0o600))
	require.NoError(t, c.Process.Signal(syscall.SIGHUP))
	assert.JSONEq(t, `{"verb":"ECHOED","tag":"0000000000000001","opts":{},"rc":1}`, says(test), "it keeps what it had")
	writeConfig(t, file, second, node)
	require.NoError(t, c.Process.Signal(syscall.SIGHUP))
	assert.Equal(t, "1", <-followedSecond)

	require.NoError(t, c.Process.Signal(syscall.SIGTERM))
	for got := ""; !strings.Contains(got, `"rc":0`); {
		got = says(test)
	}
	require.NoError(t, c.Wait(), "it leaves with 0")
}

func TestAWrongConfigurationIsNamedAndEndsTheStart(t *testing.T) {
	file := filepath.Join(t.TempDir(), "config.json")
	writeConfig(t, file, "127.0.0.1:1", "127.0.0.1:1")
	good, err := os.ReadFile(file)
	require.NoError(t, err)
	for want, change := range map[string][2]string{
		"limits.sockets is 0":                        {`"sockets":256`, `"sockets":0`},
		"limits.memory_mb is -1":                     {`"memory_mb":64`, `"memory_mb":-1`},
		"journal is missing":                         {`"journal"`, `"other"`},
		"setting balancers is missing":               {`"balancers"`, `"other"`},
		"setting permissions.most_tries is \"many\"": {`"most_tries":4`, `"most_tries":"many"`},
	} {
		require.NoError(t, os.WriteFile(file, []byte(strings.Replace(string(good), change[0], change[1], 1)), 0o600))
		t.Setenv("NODE_CONFIG", file)
		var stderr strings.Builder
		assert.Equal(t, 2, Run([]string{"platform"}, io.Discard, &stderr), want)
		assert.Contains(t, stderr.String(), want)
	}
	t.Setenv("NODE_CONFIG", "")
	var stderr strings.Builder
	assert.Equal(t, 2, Run([]string{"platform"}, io.Discard, &stderr))
	assert.Contains(t, stderr.String(), "NODE_CONFIG is not set")
}
