package loadgen

import (
	"bufio"
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"grebeglade/internal/frontend/native"
	"grebeglade/internal/simulation"
	"grebeglade/internal/simulation/scenario"
	"grebeglade/internal/transport"
	"grebeglade/placement"
	pb "grebeglade/proto/grebeglade/v1"
	"grebeglade/trace"
)

func all(s Schedule) (asks []Ask) {
	for a, ok := s.Next(); ok; a, ok = s.Next() {
		asks = append(asks, a)
	}
	return asks
}

// within counts the asks of a stretch of time.
func within(asks []Ask, from, until time.Duration) (n int) {
	for _, a := range asks {
		if from <= a.At && a.At < until {
			n++
		}
	}
	return n
}

var shape = Shape{Group: "serve", Cores: 1, Services: 5, Pending: time.Second, Life: time.Second}

func TestAScheduleKeepsItsRate(t *testing.T) {
	asks := all(Make(Rate{From: 200, To: 200, For: 10 * time.Second}, shape, 1))
	assert.InDelta(t, 2000, len(asks), 4*45)
	assert.Equal(t, asks, all(Make(Rate{From: 200, To: 200, For: 10 * time.Second}, shape, 1)), "the same seed")
	assert.NotEqual(t, asks, all(Make(Rate{From: 200, To: 200, For: 10 * time.Second}, shape, 2)))

	even := all(Make(Rate{From: 200, To: 200, For: 10 * time.Second, Evenly: true}, shape, 1))
	assert.InDelta(t, 2000, len(even), 1)
	assert.InDelta(t, 5, float64(even[101].At-even[100].At)/1e6, 0.2)

	ramp := all(Make(Rate{From: 0, To: 400, For: 10 * time.Second}, shape, 1))
	assert.InDelta(t, 2000, len(ramp), 4*45)
	assert.InDelta(t, 500, within(ramp, 0, 5*time.Second), 4*23)

	burst := all(Make(Rate{
		From: 100, To: 100, For: 10 * time.Second, Burst: 5, BurstFor: time.Second, Every: 5 * time.Second,
	}, shape, 1))
	assert.InDelta(t, 1000, within(burst, 0, time.Second)+within(burst, 5*time.Second, 6*time.Second), 4*32)
	assert.InDelta(t, 800, within(burst, time.Second, 5*time.Second)+within(burst, 6*time.Second, 10*time.Second), 4*29)
	for _, r := range []Rate{{From: 1}, {For: 1}, {From: -1, To: 2, For: 1}, {From: 1, For: 1, Burst: 2}} {
		assert.Error(t, r.Check())
	}
}

// What an allocator was asked on a day can be asked of another one, faster.
func TestATraceIsAskedAgainAtItsTimes(t *testing.T) {
	dir := t.TempDir()
	s, err := scenario.Open("quiet")
	require.NoError(t, err)
	s.SetLength(4000)
	r, err := simulation.PlayVirtual(s, simulation.Options{Seed: 1, TraceDirectory: dir})
	require.NoError(t, err)
	names, _, _ := trace.ListFiles(dir + "/allocator-1")
	require.NotEmpty(t, names)
	f, err := trace.Open(names[0])
	require.NoError(t, err)
	defer f.Close()
	slow, err := FromTrace([]*trace.Reader{f}, 1, time.Second)
	require.NoError(t, err)
	fast, err := FromTrace([]*trace.Reader{f}, 2, time.Second)
	require.NoError(t, err)
	x, y := all(slow), all(fast)
	require.Len(t, y, len(x))
	assert.Greater(t, len(x), r.Workloads/4)
	assert.Zero(t, x[0].At)
	assert.InDelta(t, float64(x[len(x)-1].At), 2*float64(y[len(y)-1].At), 10)
	assert.NotEmpty(t, x[0].Group)
	assert.Greater(t, x[0].Pending, time.Second)
	_, err = FromTrace([]*trace.Reader{f}, 0, 0)
	assert.ErrorContains(t, err, "speed")
}

// fake is an allocator that does with asks what a test wants.
func fake(t *testing.T, serve func(in *bufio.Reader, send func(*pb.Frame), conn net.Conn)) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				in := bufio.NewReader(conn)
				send := func(f *pb.Frame) {
					if b, err := transport.AppendFrame(nil, f); err == nil {
						conn.Write(b)
					}
				}
				if _, err := receive(in); err == nil {
					send(transport.HelloFrame(&pb.Hello{Role: pb.Role_ALLOCATOR, Name: "a", Incarnation: 1}))
					serve(in, send, conn)
				}
			}()
		}
	}()
	return l.Addr().String()
}

func answer(ask uint64, v pb.Verdict) *pb.Frame {
	return &pb.Frame{Body: &pb.Frame_Answer{Answer: &pb.Answer{Ask: ask, Verdict: v, Reason: "so"}}}
}

func run(t *testing.T, target string, conns int, asks ...Ask) *Result {
	t.Helper()
	r, err := Run(context.Background(), &fixed{asks: asks}, Options{Target: target, Conns: conns, Name: "t"})
	require.NoError(t, err)
	return r
}

func ask(at time.Duration) Ask {
	return Ask{At: at, Group: "g", Cores: 1, Memory: 1, Pending: 5 * time.Second}
}

// An allocator that answers nothing until it has all the asks gets all of them: the tool does not wait for answers.
// The first ask's latency then holds the whole time until the last.
func TestAsksComeWhetherOrNotAnswersDo(t *testing.T) {
	const n = 50
	target := fake(t, func(in *bufio.Reader, send func(*pb.Frame), _ net.Conn) {
		var got []uint64
		for len(got) < n {
			f, err := receive(in)
			if err != nil {
				return
			}
			got = append(got, f.GetAsk().Ask)
		}
		for i, a := range got {
			v := pb.Verdict_PLACED
			if i%5 == 0 {
				v = pb.Verdict_REJECTED
			}
			send(answer(a, v))
		}
	})
	var asks []Ask
	for i := range n {
		asks = append(asks, ask(time.Duration(i)*2*time.Millisecond))
	}
	r := run(t, target, 1, asks...)
	assert.Equal(t, n, r.Sent)
	assert.Equal(t, n/5*4, r.Placed)
	assert.Equal(t, n/5, r.Rejected)
	assert.Equal(t, map[string]int{"so": n / 5}, r.Reasons)
	assert.GreaterOrEqual(t, r.All.Max, 2.0*(n-1), "from when it was due")
	assert.EqualValues(t, n, r.All.Count)
	assert.Zero(t, r.Unanswered)
	assert.Empty(t, r.Wrong)
}

func TestWhatAnAllocatorMustNotDoIsSaid(t *testing.T) {
	target := fake(t, func(in *bufio.Reader, send func(*pb.Frame), conn net.Conn) {
		f, _ := receive(in)
		send(answer(f.GetAsk().Ask, pb.Verdict_REJECTED))
		send(answer(f.GetAsk().Ask, pb.Verdict_PLACED))
		send(answer(99, pb.Verdict_PLACED))
		receive(in)
		conn.Close() // with an ask unanswered
	})
	r := run(t, target, 1, ask(0), ask(time.Millisecond))
	assert.Equal(t, []string{"a second answer for ask 1", "an answer for ask 99, which waits for none"}, r.Wrong)
	assert.Equal(t, 1, r.Unanswered)
	assert.NotEmpty(t, r.Broken)
	assert.False(t, r.Good())
}

func TestAnAskThatIsNeverAnsweredIsGivenUp(t *testing.T) {
	target := fake(t, func(in *bufio.Reader, _ func(*pb.Frame), _ net.Conn) { receive(in); receive(in) })
	r := run(t, target, 1, Ask{Group: "g", Pending: 10 * time.Millisecond})
	assert.Equal(t, 1, r.Unanswered)
	assert.Zero(t, r.All.Count, "what has no answer has no latency")
}

// Asks that are due at a pace that no tool can send, as they are all of them already late when they are due.
func TestAToolThatDoesNotKeepUpSaysSo(t *testing.T) {
	target := fake(t, func(in *bufio.Reader, send func(*pb.Frame), _ net.Conn) {
		for f, err := receive(in); err == nil; f, err = receive(in) {
			send(answer(f.GetAsk().Ask, pb.Verdict_REJECTED))
		}
	})
	var asks []Ask
	for range 2000 {
		asks = append(asks, ask(-time.Second))
	}
	r := run(t, target, 4, asks...)
	assert.True(t, r.Overrun)
	assert.False(t, r.Good())
	assert.Greater(t, r.SentLate.Median, 900.0)
}

func TestNoAllocatorIsAnErrorThatSaysWhere(t *testing.T) {
	_, err := Run(context.Background(), &fixed{}, Options{Target: "127.0.0.1:1", Conns: 1})
	assert.ErrorContains(t, err, "no allocator at 127.0.0.1:1")
	target := fake(t, func(*bufio.Reader, func(*pb.Frame), net.Conn) {})
	r := run(t, target, 1)
	assert.Zero(t, r.Due)
}

// The tool speaks to a real allocator as any owner does: without a node, all is rejected at once, with the reason.
func TestARealAllocatorIsAsked(t *testing.T) {
	loop := transport.NewLoop(nil)
	defer loop.Close()
	p := native.New(native.Config{
		Name: "a", Incarnation: 1, GroupNames: []string{"g"}, KindNames: []string{"k"},
		Settings: placement.Settings{
			Allocators: 1, Groups: []placement.Group{{LatencyObjective: 1000, PriorityWeight: 1, RequiredKind: -1}}, NodeKinds: []placement.NodeKind{{Cores: 2, Memory: 2}}, MaxBinds: 3,
		},
	})
	addr, err := loop.ListenFrames(p, "127.0.0.1:0", transport.DefaultLimits)
	require.NoError(t, err)
	loop.Run()
	r := run(t, addr, 2, ask(0), ask(0), ask(0))
	assert.Equal(t, 3, r.Rejected)
	assert.True(t, r.Good() || r.Overrun)
	assert.Equal(t, 1, len(r.Reasons), "%v", r.Reasons)
}
