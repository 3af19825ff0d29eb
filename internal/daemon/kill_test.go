package daemon

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"grebeglade/config"
	"grebeglade/internal/transport"
	pb "grebeglade/proto/grebeglade/v1"
)

// serveFile names the settings that a test's child process serves by.
const serveFile = "GREBEGLADE_TEST_SERVE"

func TestMain(m *testing.M) {
	if file := os.Getenv(serveFile); file != "" {
		c, err := config.Load(file)
		if err == nil {
			_, err = Start(c, Logger(c.Log, os.Stderr))
		}
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		fmt.Println("serving")
		select {} // until it is killed
	}
	os.Exit(m.Run())
}

// peerConn is one connection of a stand-in.
type peerConn struct {
	net.Conn
	in *bufio.Reader
	mu sync.Mutex
}

func (c *peerConn) send(f *pb.Frame) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if b, err := transport.AppendFrame(nil, f); err == nil {
		c.Write(b)
	}
}

func (c *peerConn) receive() (*pb.Frame, error) {
	var head [4]byte
	if _, err := io.ReadFull(c.in, head[:]); err != nil {
		return nil, err
	}
	body := make([]byte, binary.BigEndian.Uint32(head[:]))
	if _, err := io.ReadFull(c.in, body); err != nil {
		return nil, err
	}
	return transport.DecodeFrame(body)
}

// cluster is a machine list and nodes that start what they are offered at once, say so or not, and count starts by key.
type cluster struct {
	t      *testing.T
	list   string
	mu     sync.Mutex
	starts map[uint64]int
	stands map[uint32][]*pb.Standing
}

func (c *cluster) serve(greet func(*peerConn), each func(*peerConn, *pb.Frame)) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(c.t, err)
	c.t.Cleanup(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				p := &peerConn{Conn: conn, in: bufio.NewReader(conn)}
				if _, err := p.receive(); err != nil {
					return
				}
				greet(p)
				for f, err := p.receive(); err == nil; f, err = p.receive() {
					each(p, f)
				}
				conn.Close()
			}()
		}
	}()
	return l.Addr().String()
}

func newCluster(t *testing.T, nodes int) *cluster {
	c := &cluster{t: t, starts: map[uint64]int{}, stands: map[uint32][]*pb.Standing{}}
	u := &pb.ListUpdate{Kind: pb.ListUpdate_WHOLE, Epoch: 1, Revision: 1}
	for i := range nodes {
		id := uint32(i + 1)
		addr := c.serve(func(p *peerConn) {
			c.mu.Lock()
			defer c.mu.Unlock()
			p.send(transport.HelloFrame(&pb.Hello{Role: pb.Role_NODE, Name: "n", Node: id, Incarnation: 1, UpForMs: -1, Standing: c.stands[id]}))
		}, func(p *peerConn, f *pb.Frame) {
			if o := f.GetOffer(); o != nil {
				c.offered(p, id, o)
			}
		})
		u.Entries = append(u.Entries, &pb.NodeEntry{
			Id: id, Kind: "k", Zone: "z", Cell: fmt.Sprint(id), Boot: 1, UpForMs: -1, FreeCores: 1000, FreeMemory: 1000, Address: addr,
		})
	}
	c.list = c.serve(func(p *peerConn) {
		p.send(transport.HelloFrame(&pb.Hello{Role: pb.Role_LIST, Name: "l", Incarnation: 1}))
		p.send(&pb.Frame{Body: &pb.Frame_ListUpdate{ListUpdate: u}})
	}, func(*peerConn, *pb.Frame) {})
	return c
}

// offered starts a workload. A third of them say so; a third do not, and stand; a third do not, and are over at once, so that
// no hello will ever name them.
func (c *cluster) offered(p *peerConn, id uint32, o *pb.Offer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := o.Ask.Key
	c.starts[key]++
	if key%3 != 2 {
		c.stands[id] = append(c.stands[id], &pb.Standing{Offer: o, Running: true})
	}
	if key%3 == 0 {
		p.send(&pb.Frame{Body: &pb.Frame_OfferAnswer{OfferAnswer: &pb.OfferAnswer{Bind: o.Bind, Accepted: true}}})
	}
}

func child(t *testing.T, file string) *exec.Cmd {
	t.Helper()
	c := exec.Command(os.Args[0])
	c.Env = append(os.Environ(), serveFile+"="+file)
	out, err := c.StdoutPipe()
	require.NoError(t, err)
	c.Stderr = io.Discard
	require.NoError(t, c.Start())
	line, err := bufio.NewReader(out).ReadString('\n')
	require.NoError(t, err)
	require.Equal(t, "serving\n", line)
	return c
}

// Real processes are killed outright, two dozen times at any moment, while an owner asks again for whatever had no answer, under
// the same keys. No key is started twice, also where the node that ran it no longer knows of it.
func TestAnAllocatorThatIsKilledStartsNothingTwice(t *testing.T) {
	const kills, keys = 24, 96
	c := newCluster(t, 3)
	dir := t.TempDir()
	free, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	addr := free.Addr().String()
	free.Close()
	file := filepath.Join(dir, "a.hcl")
	require.NoError(t, os.WriteFile(file, []byte(fmt.Sprintf(`
allocator {
  name   = "a"
  listen = %q
  list   = %q
}
state {
  dir = %q
}
rules {
  binds = 4
}
kind "k" {
  cores  = 1000
  memory = 1000
}
group "once" {
  effect = "run-once"
}
`, addr, c.list, filepath.Join(dir, "state"))), 0o644))
	rng := rand.New(rand.NewPCG(7, 7))
	waits := map[uint64]bool{}
	for key := range uint64(keys) {
		waits[key+1] = true
	}
	verdicts := map[pb.Verdict]int{}
	for kill := 0; kill <= kills; kill++ {
		process := child(t, file)
		conn, err := net.Dial("tcp", addr)
		require.NoError(t, err)
		p := &peerConn{Conn: conn, in: bufio.NewReader(conn)}
		p.send(transport.HelloFrame(&pb.Hello{Role: pb.Role_OWNER, Name: "o", Incarnation: uint64(kill + 1)}))
		_, err = p.receive()
		require.NoError(t, err)
		ask := map[uint64]uint64{}
		next := uint64(0)
		lacking := func(most int) (some []uint64) {
			for key := uint64(1); key <= keys && len(some) < most; key++ {
				if waits[key] {
					some = append(some, key)
				}
			}
			return some
		}
		last := kill == kills
		wants := 10
		if last {
			wants = keys
		}
		tries := lacking(wants)
		for _, key := range tries {
			next++
			no := uint64(kill+1)<<32 | next
			ask[no] = key
			p.send(&pb.Frame{Body: &pb.Frame_Ask{Ask: &pb.Ask{
				Ask: no, Key: key, Service: key % 5, Group: "once", Cores: 1, Memory: 1, LeftMs: 2000, RunsForMs: 1e6,
			}}})
		}
		timer := time.AfterFunc(time.Duration(rng.IntN(60))*time.Millisecond, func() {
			if !last {
				process.Process.Kill()
			}
		})
		for len(ask) > 0 {
			f, err := p.receive()
			if err != nil {
				require.False(t, last, "%v", err)
				break
			}
			a := f.GetAnswer()
			if a == nil {
				continue
			}
			key, asked := ask[a.Ask]
			require.True(t, asked, "a second answer, or one for no ask")
			delete(ask, a.Ask)
			if a.Verdict == pb.Verdict_REJECTED && !strings.Contains(a.Reason, "held here already") {
				continue // it did not run: it is asked for again
			}
			verdicts[a.Verdict]++
			delete(waits, key)
		}
		timer.Stop()
		process.Process.Kill()
		process.Wait()
		conn.Close()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, n := range c.starts {
		assert.LessOrEqual(t, n, 1, "key %d", key)
	}
	assert.Greater(t, verdicts[pb.Verdict_UNSCHEDULABLE], 5, "what may have run was said to, or nothing is proved: %v", verdicts)
	t.Logf("%d of %d keys were started; answers %v, %d without", len(c.starts), keys, verdicts, len(waits))
}

func TestTwoAllocatorsDoNotShareAStateDirectory(t *testing.T) {
	dir := t.TempDir()
	c := &config.Allocator{Name: "a", ListenAddress: "127.0.0.1:0", Limits: config.Limits{MaxFrameBytes: 1 << 20, MaxWriteBuffer: 1 << 20, MaxConnections: 10}}
	c.State = config.State{Dir: dir, Retention: 1000, MaxEntries: 10, Sync: "group"}
	d, err := Start(c, Logger(c.Log, io.Discard))
	require.NoError(t, err)
	_, err = Start(c, Logger(c.Log, io.Discard))
	assert.ErrorContains(t, err, "another process holds the directory")
	require.NoError(t, d.journal.Close())
	d.journal = nil
	d.loop.Close()
	again, err := Start(c, Logger(c.Log, io.Discard))
	require.NoError(t, err)
	again.loop.Close()
	require.NoError(t, again.journal.Close())
}
