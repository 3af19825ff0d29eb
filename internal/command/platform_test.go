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

	"grebeglade/internal/frontend/platform/codec"
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

// nodeThatAccepts is a stand-in that takes whatever it is offered, once it may: the answer to each set-up waits until
// something comes from may, which never holds back where it is nil. Set-ups are told on asked, unless that is nil.
func nodeThatAccepts(t *testing.T, asked chan<- codec.Tag, may <-chan struct{}) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go acceptAll(c, asked, may)
		}
	}()
	return l.Addr().String()
}

func acceptAll(c net.Conn, asked chan<- codec.Tag, may <-chan struct{}) {
	defer c.Close()
	var b []byte
	part := make([]byte, 4096)
	for {
		n, err := c.Read(part)
		b = append(b, part[:n]...)
		for {
			m, used, err := codec.NodeCodec{}.Decode(b)
			if err != nil || used == 0 {
				break
			}
			b = b[used:]
			offer, ok := m.(*codec.Offer)
			if !ok {
				continue
			}
			if asked != nil {
				asked <- offer.Tag
			}
			if may != nil {
				<-may
			}
			out, err := codec.NodeCodec{}.Append(nil, codec.NewConfirmation(offer.Tag, "taken by a node"))
			if err != nil {
				return
			}
			if _, err := c.Write(out); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func configOf(journal string, sockets int, nodes ...string) []byte {
	var ends []string
	for i, addr := range nodes {
		ends = append(ends, fmt.Sprintf(`{"name":"s-%02d","address":%q,"zone":"z","type":"small","group":0,"status":"Ready","since_ms":0,`+
			`"room":[20,40]}`, i, addr))
	}
	return fmt.Appendf(nil, `{"name":"one","listen":"127.0.0.1:0","seed":"05","journal":%q,
"limits":{"cores":1,"memory_mb":64,"sockets":%d},"known":{"pos":1,"entries":[{"hosts":{"snapshot":true,"endpoints":[%s]}}]},
"settings":%s}`, journal, sockets, strings.Join(ends, ","), platformSettings)
}

func writeConfig(t *testing.T, file, journal string, nodes ...string) {
	t.Helper()
	b := configOf(journal, 256, nodes...)
	require.True(t, json.Valid(b))
	require.NoError(t, os.WriteFile(file, b, 0o600))
}

// process is the program as the platform starts it.
type process struct {
	*exec.Cmd
	addr, file string
}

// start starts the program, by a shell's line that ends in exec where one is given, and waits until it serves.
func start(t *testing.T, file, line string) *process {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0") // a free address
	require.NoError(t, err)
	p := &process{addr: l.Addr().String(), file: file, Cmd: exec.Command(os.Args[0])}
	l.Close()
	if line != "" {
		p.Cmd = exec.Command("sh", "-c", line, os.Args[0])
	}
	p.Env = append(os.Environ(), asProcess+"=platform", "NODE_CONFIG="+file, "NODE_LISTEN="+p.addr)
	log, err := p.StderrPipe()
	require.NoError(t, err)
	require.NoError(t, p.Start())
	t.Cleanup(func() { p.Process.Kill() })
	lines := bufio.NewReader(log)
	said, err := lines.ReadString('\n')
	require.NoError(t, err)
	require.Contains(t, said, "serving")
	go io.Copy(io.Discard, lines)
	return p
}

// owner is one connection to the program.
type owner struct {
	net.Conn
	t       *testing.T
	answers *bufio.Reader
}

func (p *process) owner(t *testing.T) *owner {
	t.Helper()
	c, err := net.Dial("tcp", p.addr)
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	return &owner{c, t, bufio.NewReader(c)}
}

func (o *owner) says(text string) {
	o.t.Helper()
	_, err := io.WriteString(o, text)
	require.NoError(o.t, err)
}

func (o *owner) hears() string {
	o.t.Helper()
	require.NoError(o.t, o.SetReadDeadline(time.Now().Add(20*time.Second)))
	got, err := o.answers.ReadString('\n')
	require.NoError(o.t, err)
	return strings.TrimSpace(got)
}

func (p *process) signal(t *testing.T, s syscall.Signal) {
	t.Helper()
	require.NoError(t, p.Process.Signal(s))
}

// test is a test of the platform's, setUp a set-up of that number, and placed its answer.
const test = `{"verb":"ECHO","tag":"0000000000000001","opts":{},"rc":0}` + "\n"

func setUp(tag int) string {
	return fmt.Sprintf(`{"verb":"START","tag":"%016x","opts":{"class":"tiles","left":"6000","key":"aa",`+
		`"extras":"cores:1;memory:1;service:%x"},"blob":"what is asked"}`+"\n", tag, tag)
}

func placed(tag int) string {
	return fmt.Sprintf(`{"verb":"STARTED","tag":"%016x","opts":{},"blob":"taken by a node"}`, tag)
}

// stopping waits until the program knows that it is to leave.
func (o *owner) stopping() {
	for got := ""; !strings.Contains(got, `"rc":0`); got = o.hears() {
		o.says(test)
	}
}

func TestTheProcessServesTakesANewAddressAndLeaves(t *testing.T) {
	first, followedFirst := journalService(t)
	second, followedSecond := journalService(t)
	node := nodeThatAccepts(t, nil, nil)
	file := filepath.Join(t.TempDir(), "config.json")
	writeConfig(t, file, first, node)
	p := start(t, file, "")
	assert.Equal(t, "1", <-followedFirst)
	o := p.owner(t)
	o.says(test)
	assert.JSONEq(t, `{"verb":"ECHOED","tag":"0000000000000001","opts":{},"rc":1}`, o.hears())
	o.says(setUp(2))
	assert.JSONEq(t, placed(2), o.hears())

	require.NoError(t, os.WriteFile(file, []byte("{"), 0o600))
	p.signal(t, syscall.SIGHUP)
	o.says(test)
	assert.JSONEq(t, `{"verb":"ECHOED","tag":"0000000000000001","opts":{},"rc":1}`, o.hears(), "it keeps what it had")
	writeConfig(t, file, second, node)
	p.signal(t, syscall.SIGHUP)
	assert.Equal(t, "1", <-followedSecond)

	p.signal(t, syscall.SIGTERM)
	o.stopping()
	require.NoError(t, p.Wait(), "it leaves with 0")
}

// A new configuration of which half is there when the signal comes is read again: one signal is all that is sent. It
// could harm nobody: what cannot be read changes nothing.
func TestAConfigurationThatIsHalfWrittenIsReadAgain(t *testing.T) {
	first, _ := journalService(t)
	second, followedSecond := journalService(t)
	file := filepath.Join(t.TempDir(), "config.json")
	writeConfig(t, file, first)
	p := start(t, file, "")
	whole := configOf(second, 256)
	require.NoError(t, os.WriteFile(file, whole[:len(whole)/2], 0o600))
	p.signal(t, syscall.SIGHUP)
	o := p.owner(t)
	for range 3 {
		o.says(test)
		assert.Contains(t, o.hears(), `"rc":1`)
	}
	require.NoError(t, os.WriteFile(file, whole, 0o600))
	select {
	case <-followedSecond:
	case <-time.After(20 * time.Second):
		t.Fatal("the new journal service was not asked")
	}
}

// A planned restart: what was taken before it, in part before it, or shortly after it is answered whole; a second signal
// changes nothing, and a moved journal service is followed to the end.
func TestARestartAnswersAllThatWasTaken(t *testing.T) {
	first, _ := journalService(t)
	second, followedSecond := journalService(t)
	asked, may := make(chan codec.Tag, 10), make(chan struct{})
	node := nodeThatAccepts(t, asked, may)
	file := filepath.Join(t.TempDir(), "config.json")
	writeConfig(t, file, first, node)
	p := start(t, file, "")

	waiting, half, late, watch := p.owner(t), p.owner(t), p.owner(t), p.owner(t)
	waiting.says(setUp(2))
	assert.Equal(t, codec.Tag(2), <-asked)
	half.says(setUp(3)[:40])
	p.signal(t, syscall.SIGTERM)
	watch.stopping()
	half.says(setUp(3)[40:])
	late.says(setUp(4))
	p.signal(t, syscall.SIGTERM)
	writeConfig(t, file, second, node)
	p.signal(t, syscall.SIGHUP)
	<-followedSecond
	close(may)
	for tag, o := range map[int]*owner{2: waiting, 3: half, 4: late} {
		assert.JSONEq(t, placed(tag), o.hears())
	}
	require.NoError(t, p.Wait())
}

// More nodes than descriptors, and clients that open connections by hundreds and say nothing: the journal service is
// followed, every owner is accepted and served, and no descriptor is missed. It guards against an event loop that ends for
// good when it cannot accept; it could harm owners that are silent for long, whose connections go first.
func TestDescriptorsSufficeForAllThatIsNeeded(t *testing.T) {
	journal, followed := journalService(t)
	var nodes []string
	for range 60 {
		nodes = append(nodes, nodeThatAccepts(t, nil, nil))
	}
	file := filepath.Join(t.TempDir(), "config.json")
	require.NoError(t, os.WriteFile(file, configOf(journal, 64, nodes...), 0o600))
	p := start(t, file, `ulimit -n 64; exec "$0"`)
	<-followed
	for range 100 {
		p.owner(t)
	}
	for tag := 2; tag < 102; tag++ {
		o := p.owner(t)
		o.says(setUp(tag))
		assert.JSONEq(t, placed(tag), o.hears())
		o.Close()
	}
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
