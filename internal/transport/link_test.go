package transport

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
)

func sample() *pb.Frame {
	return &pb.Frame{Body: &pb.Frame_Ask{Ask: &pb.Ask{Ask: 7, Key: 8, Group: "serve", Cores: 1.5, LeftMs: 6000}}}
}

func TestAFrameCutAnywhereIsIncompleteAndNeverRead(t *testing.T) {
	whole, err := AppendFrame(nil, sample())
	require.NoError(t, err)
	for n := range whole {
		body, rest, err := SplitFrame(whole[:n], 1000)
		assert.NoError(t, err)
		assert.Nil(t, body)
		assert.Len(t, rest, n)
	}
	body, rest, err := SplitFrame(append(whole, 1, 2), 1000)
	require.NoError(t, err)
	assert.Equal(t, []byte{1, 2}, rest)
	f, err := DecodeFrame(body)
	require.NoError(t, err)
	assert.True(t, proto.Equal(sample(), f))
	for n := range body {
		_, err := DecodeFrame(body[:n]) // cut inside the length: malformed, or another frame; never a panic
		if n == 0 {
			assert.Error(t, err)
		}
	}
}

func TestUnknownFieldsAreIgnoredAndUnknownFramesAreNot(t *testing.T) {
	body, err := proto.Marshal(sample())
	require.NoError(t, err)
	later := append(body, 0xba, 0x3e, 1, 0) // field 999, as a later minor version might add
	f, err := DecodeFrame(later)
	require.NoError(t, err)
	assert.Equal(t, uint64(7), f.GetAsk().Ask)
	_, err = DecodeFrame(later[len(body):])
	assert.ErrorContains(t, err, "holds nothing that version 1.1 knows")
}

func FuzzFrames(f *testing.F) {
	whole, err := AppendFrame(nil, sample())
	require.NoError(f, err)
	f.Add(whole)
	f.Add([]byte{0xff, 0xff, 0xff, 0xff})
	f.Add([]byte{0, 0, 0, 0})
	f.Fuzz(func(t *testing.T, b []byte) {
		const most = 1 << 12
		for {
			body, rest, err := SplitFrame(b, most)
			if err != nil || body == nil {
				return
			}
			assert.LessOrEqual(t, len(body), most)
			assert.Equal(t, len(b), headSize+len(body)+len(rest))
			if frame, err := DecodeFrame(body); err == nil {
				again, err := AppendFrame(nil, frame)
				require.NoError(t, err)
				assert.NotEmpty(t, again)
			}
			b = rest
		}
	})
}

// echo answers each ask with as many answers as its key says, and counts what it sees.
type echo struct {
	mu     sync.Mutex
	net    FrameNetwork
	opened int
	asks   int
	closed []error
	dialed ConnID
	dial   string
}

func (e *echo) Start(_ placement.Millis, n FrameNetwork) {
	e.net = n
	if e.dial != "" {
		e.dialed = n.Dial(e.dial)
	}
}
func (e *echo) Wake(placement.Millis) {}
func (e *echo) Opened(placement.Millis, ConnID) {
	e.mu.Lock()
	e.opened++
	e.mu.Unlock()
}
func (e *echo) Closed(_ placement.Millis, _ ConnID, reason error) {
	e.mu.Lock()
	e.closed = append(e.closed, reason)
	e.mu.Unlock()
}
func (e *echo) Received(_ placement.Millis, c ConnID, f *pb.Frame) {
	e.mu.Lock()
	e.asks++
	e.mu.Unlock()
	a := f.GetAsk()
	if a == nil {
		return
	}
	for range max(1, a.Key) {
		e.net.Send(c, &pb.Frame{Body: &pb.Frame_Answer{Answer: &pb.Answer{Ask: a.Ask, Reason: a.Group}}})
	}
}

func (e *echo) sees(t *testing.T, what func() bool) {
	t.Helper()
	require.Eventually(t, func() bool {
		e.mu.Lock()
		defer e.mu.Unlock()
		return what()
	}, 20*time.Second, time.Millisecond)
}

// ends are the reasons for which connections closed.
func (e *echo) ends() []error {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]error(nil), e.closed...)
}

func listen(t *testing.T, limits Limits) (*Loop, *echo, string) {
	t.Helper()
	l, e := NewLoop(nil), &echo{}
	addr, err := l.ListenFrames(e, "127.0.0.1:0", limits)
	require.NoError(t, err)
	l.Run()
	t.Cleanup(l.Close)
	return l, e, addr
}

func dial(t *testing.T, addr string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	return c
}

func write(t *testing.T, c net.Conn, f *pb.Frame) {
	t.Helper()
	b, err := AppendFrame(nil, f)
	require.NoError(t, err)
	_, err = c.Write(b)
	require.NoError(t, err)
}

func read(t *testing.T, r io.Reader) (*pb.Frame, error) {
	t.Helper()
	var head [headSize]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return nil, err
	}
	body := make([]byte, binary.BigEndian.Uint32(head[:]))
	if _, err := io.ReadFull(r, body); err != nil {
		return nil, err
	}
	return DecodeFrame(body)
}

func TestABadFrameEndsItsConnectionOnly(t *testing.T) {
	l, e, addr := listen(t, Limits{MaxFrameSize: 1000, MaxWriteBuffer: 1 << 20, MaxConnections: 10})
	good := dial(t, addr)
	for _, bad := range [][]byte{{0, 0, 4, 0, 1}, {0xff, 0xff, 0xff, 0xff}, {0, 0, 0, 2, 0xff, 0xff}, {0, 0, 0, 0}} {
		c := dial(t, addr)
		_, err := c.Write(bad)
		require.NoError(t, err)
		_, err = read(t, c)
		assert.Error(t, err, "%v", bad)
	}
	e.sees(t, func() bool { return len(e.closed) == 4 })
	assert.ErrorContains(t, e.ends()[0], "over the limit of 1000")
	for _, reason := range e.ends() {
		assert.ErrorIs(t, reason, ErrMalformedMessage)
	}
	assert.Equal(t, uint64(4), l.Stats.BadFrames.Load())
	write(t, good, sample())
	f, err := read(t, good)
	require.NoError(t, err)
	assert.Equal(t, uint64(7), f.GetAnswer().Ask)
}

// A frame may arrive in any pieces.
func TestAFrameInPiecesIsOneFrame(t *testing.T) {
	_, _, addr := listen(t, DefaultLimits)
	c := dial(t, addr)
	b, err := AppendFrame(nil, sample())
	require.NoError(t, err)
	for i := range b {
		_, err := c.Write(b[i : i+1])
		require.NoError(t, err)
	}
	_, err = read(t, c)
	assert.NoError(t, err)
}

func TestAPeerThatDoesNotReadIsCutOffAndNobodyWaits(t *testing.T) {
	l, e, addr := listen(t, Limits{MaxFrameSize: 1 << 20, MaxWriteBuffer: 256 << 10, MaxConnections: 10})
	slow, quick := dial(t, addr), dial(t, addr)
	flood := sample()
	flood.GetAsk().Key, flood.GetAsk().Group = 300, string(make([]byte, 60000))
	write(t, slow, flood)
	e.sees(t, func() bool { return len(e.closed) == 1 })
	assert.ErrorContains(t, e.ends()[0], "the peer does not read: over 262144 bytes wait for it")
	assert.ErrorIs(t, e.ends()[0], ErrSlowPeer)
	assert.NotZero(t, l.Stats.TooSlow.Load())
	write(t, quick, sample())
	_, err := read(t, quick)
	assert.NoError(t, err)
}

func TestOneConnectionTooManyIsRefusedWithTheReason(t *testing.T) {
	l, e, addr := listen(t, Limits{MaxFrameSize: 1000, MaxWriteBuffer: 1 << 20, MaxConnections: 2})
	first := dial(t, addr)
	dial(t, addr)
	e.sees(t, func() bool { return e.opened == 2 })
	f, err := read(t, dial(t, addr))
	require.NoError(t, err)
	assert.Contains(t, f.GetRefusal().GetReason(), "2 connections stand")
	assert.Equal(t, uint64(1), l.Stats.TooMany.Load())
	first.Close()
	e.sees(t, func() bool { return len(e.closed) == 1 })
	write(t, dial(t, addr), sample())
	e.sees(t, func() bool { return e.asks == 1 })
}

func TestAThousandConnectionsAtOnceAreAllServed(t *testing.T) {
	_, e, addr := listen(t, DefaultLimits)
	var wg sync.WaitGroup
	fails := make(chan error, 1000)
	for i := range 1000 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c, err := net.Dial("tcp", addr)
			if err != nil {
				fails <- err
				return
			}
			defer c.Close()
			a := sample()
			a.GetAsk().Ask = uint64(i)
			write(t, c, a)
			f, err := read(t, bufio.NewReader(c))
			if err != nil {
				fails <- err
			} else if f.GetAnswer().Ask != uint64(i) {
				fails <- fmt.Errorf("%d got the answer to %d", i, f.GetAnswer().Ask)
			}
		}()
	}
	wg.Wait()
	close(fails)
	for err := range fails {
		assert.NoError(t, err)
	}
	e.sees(t, func() bool { return len(e.closed) == 1000 })
}

func TestDiallingNobodyIsToldAsAnEnd(t *testing.T) {
	l, e := NewLoop(nil), &echo{dial: "127.0.0.1:1"}
	_, err := l.ListenFrames(e, "", DefaultLimits)
	require.NoError(t, err)
	l.Run()
	defer l.Close()
	e.sees(t, func() bool { return len(e.closed) == 1 })
	assert.ErrorIs(t, e.ends()[0], ErrConnectionRefused)
	assert.EqualError(t, e.ends()[0], "connection refused")
	var other echo
	_, err = l.ListenFrames(&other, "127.0.0.1:99999", DefaultLimits)
	assert.Error(t, err)
}

// A party that has too much to do holds back whoever reads for it, and with it the peers; then it goes on.
func TestAFullInboxHoldsItsReaderBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := &actor{signal: make(chan struct{}, 1), stop: make(chan struct{})}
		a.room = sync.NewCond(&a.mu)
		a.postFrames(make([]item, inboxMost+1))
		read := false
		go func() {
			a.postFrames(make([]item, 1))
			read = true
		}()
		synctest.Wait()
		assert.False(t, read)
		assert.Len(t, a.inbox, inboxMost+1)
		a.mu.Lock()
		a.inbox = nil
		a.room.Broadcast()
		a.mu.Unlock()
		synctest.Wait()
		assert.True(t, read)
		assert.Len(t, a.inbox, 1)
	})
}

// heldParty stays in the handling of its first frame until it is let go, and notes whether the peers of
// later ones had ended by then.
type heldParty struct {
	echo
	busy, goOn chan struct{}
	once       sync.Once
	gone       []bool
}

func (h *heldParty) Received(now placement.Millis, c ConnID, f *pb.Frame) {
	h.once.Do(func() { close(h.busy); <-h.goOn })
	h.mu.Lock()
	h.gone = append(h.gone, h.net.(frameNet).IsClosed(c))
	h.mu.Unlock()
	h.echo.Received(now, c, f)
}

func held(t *testing.T) (*Loop, *heldParty, string) {
	t.Helper()
	l, h := NewLoop(nil), &heldParty{busy: make(chan struct{}), goOn: make(chan struct{})}
	addr, err := l.ListenFrames(h, "127.0.0.1:0", DefaultLimits)
	require.NoError(t, err)
	l.Run()
	t.Cleanup(l.Close)
	return l, h, addr
}

// waits until so many items are there for the party.
func (l *Loop) waitFor(t *testing.T, p FrameHandler, items int) {
	t.Helper()
	a := l.actors[p]
	require.Eventually(t, func() bool {
		a.mu.Lock()
		defer a.mu.Unlock()
		return len(a.inbox) >= items
	}, 20*time.Second, time.Millisecond)
}

// What was read before a loop closes is answered, and the answer leaves: a process that goes away on a signal loses
// nothing that it had taken. It guards against parties that end before their inbox and against event loops that end
// before what was sent; it could harm where a party has far more to do than a closing may take.
func TestWhatWasReadBeforeTheEndIsAnswered(t *testing.T) {
	l, h, addr := held(t)
	c := dial(t, addr)
	write(t, c, sample())
	<-h.busy
	write(t, c, sample())
	l.waitFor(t, h, 1)
	closed := make(chan struct{})
	go func() { l.Close(); close(closed) }()
	<-l.actors[h].stop
	close(h.goOn)
	for range 2 * sample().GetAsk().Key { // so many answers to each
		f, err := read(t, c)
		require.NoError(t, err)
		assert.Equal(t, uint64(7), f.GetAnswer().Ask)
	}
	<-closed
}

// An answer of which the peer has read only the beginning when the loop closes still comes whole.
func TestAnAnswerInTheBufferLeavesBeforeTheEnd(t *testing.T) {
	l, e, addr := listen(t, Limits{MaxFrameSize: 1 << 20, MaxWriteBuffer: 64 << 20, MaxConnections: 10})
	c := dial(t, addr)
	require.NoError(t, c.(*net.TCPConn).SetReadBuffer(64<<10))
	long := sample()
	long.GetAsk().Key, long.GetAsk().Group = 100, string(make([]byte, 60000))
	write(t, c, long)
	e.sees(t, func() bool { return e.asks == 1 })
	closed := make(chan struct{})
	go func() { l.Close(); close(closed) }()
	<-l.actors[e].stop
	r := bufio.NewReader(c)
	for i := range 100 {
		_, err := read(t, r)
		require.NoError(t, err, "answer %d", i)
	}
	<-closed
}

// A party can tell that the peer of a message has gone meanwhile, so that it begins nothing for it. It guards against work
// for those who have left taking the place of work for those who wait.
func TestAnEndIsKnownBeforeItsTurn(t *testing.T) {
	l, h, addr := held(t)
	c := dial(t, addr)
	write(t, c, sample())
	<-h.busy
	write(t, c, sample())
	l.waitFor(t, h, 1)
	c.Close()
	l.waitFor(t, h, 2)
	close(h.goOn)
	h.sees(t, func() bool { return len(h.closed) == 1 })
	assert.Equal(t, []bool{true, true}, h.gone)
}

// A listener that ends by itself is told, so that the process does not go on and serve nobody.
func TestAListenerThatEndsByItselfIsTold(t *testing.T) {
	l, e, _ := listen(t, DefaultLimits)
	l.actors[e].listener.Close()
	assert.ErrorContains(t, <-l.Failed(), "listen on 127.0.0.1")
}

// urgentFrames are frames that go ahead of others.
type urgentFrames struct{ frames }

func (urgentFrames) Urgent() {}

// order dials a peer whose frames go ahead, and notes in which order the keys of asks come.
type order struct {
	heldParty
	peer string
	keys []uint64
}

func (o *order) Start(now placement.Millis, n FrameNetwork) {
	o.heldParty.Start(now, n)
	n.(frameNet).DialCodec(o.peer, urgentFrames{frames{1000}}, 20000)
}

func (o *order) Received(now placement.Millis, c ConnID, f *pb.Frame) {
	o.mu.Lock()
	o.keys = append(o.keys, f.GetAsk().Key)
	o.mu.Unlock()
	o.once.Do(func() { close(o.busy); <-o.goOn })
}

// What comes in an urgent form is handled before what waited longer, and is read although the inbox is full. It guards
// against drains told in time and heard behind a second's work.
func TestWhatIsUrgentGoesAheadOfAFullInbox(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	o := &order{peer: l.Addr().String(), heldParty: heldParty{busy: make(chan struct{}), goOn: make(chan struct{})}}
	loop := NewLoop(nil)
	addr, err := loop.ListenFrames(o, "127.0.0.1:0", Limits{MaxFrameSize: 1000, MaxWriteBuffer: 1 << 20, MaxConnections: 10, MaxQueuedEvents: 2})
	require.NoError(t, err)
	loop.Run()
	t.Cleanup(loop.Close)
	urgent, err := l.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { urgent.Close() })
	o.sees(t, func() bool { return o.opened == 1 })
	numbered := func(key uint64) *pb.Frame {
		f := sample()
		f.GetAsk().Key = key
		return f
	}
	c := dial(t, addr)
	write(t, c, numbered(1))
	<-o.busy
	for key := range uint64(5) {
		write(t, c, numbered(2+key))
	}
	loop.waitFor(t, o, 3)
	write(t, urgent, numbered(100))
	a := loop.actors[o]
	require.Eventually(t, a.pressed.Load, 20*time.Second, time.Millisecond)
	close(o.goOn)
	o.sees(t, func() bool { return len(o.keys) == 7 })
	assert.Equal(t, []uint64{1, 100, 2, 3, 4, 5, 6}, o.keys)
}

// Where later connections are to wait, they are neither refused nor ended, and come in once there is a place.
func TestAConnectionTooManyWaitsForItsPlace(t *testing.T) {
	_, e, addr := listen(t, Limits{MaxFrameSize: 1000, MaxWriteBuffer: 1 << 20, MaxConnections: 2, PauseAcceptAtLimit: true})
	first := dial(t, addr)
	dial(t, addr)
	e.sees(t, func() bool { return e.opened == 2 })
	third := dial(t, addr)
	write(t, third, sample())
	first.Close()
	f, err := read(t, third)
	require.NoError(t, err)
	assert.Equal(t, uint64(7), f.GetAnswer().Ask)
}

// A party that has much to do sends what it has to say meanwhile: an answer must not wait for all that came with its ask.
func TestABusyPartyAnswersAsItGoes(t *testing.T) {
	busy := &busyParty{seen: make(chan uint64), goOn: make(chan struct{})}
	l := NewLoop(nil)
	addr, err := l.ListenFrames(busy, "127.0.0.1:0", DefaultLimits)
	require.NoError(t, err)
	l.Run()
	t.Cleanup(l.Close)
	c := dial(t, addr)
	once := sample()
	once.GetAsk().Key = 1 // one answer each
	write(t, c, once)
	<-busy.seen
	write(t, c, once)
	write(t, c, once)
	l.waitFor(t, busy, 2)
	busy.goOn <- struct{}{}
	_, err = read(t, c)
	require.NoError(t, err)
	<-busy.seen
	time.Sleep(2 * time.Millisecond) // longer than a party may be busy until what it sent leaves
	busy.goOn <- struct{}{}
	<-busy.seen // it is still in the batch of the second
	require.NoError(t, c.SetReadDeadline(time.Now().Add(5*time.Second)))
	_, err = read(t, c)
	assert.NoError(t, err, "the second answer leaves before the third ask is done with")
	busy.goOn <- struct{}{}
}

// busyParty answers each ask and then stays busy with it.
type busyParty struct {
	echo
	seen chan uint64
	goOn chan struct{}
}

func (b *busyParty) Received(now placement.Millis, c ConnID, f *pb.Frame) {
	b.echo.Received(now, c, f)
	b.seen <- f.GetAsk().Ask
	<-b.goOn
}
