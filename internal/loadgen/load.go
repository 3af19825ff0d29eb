package loadgen

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"grebeglade/internal/transport"
	pb "grebeglade/proto/grebeglade/v1"
)

const (
	helloWithin = 5 * time.Second
	longest     = 10 * time.Minute     // that a latency is counted as
	behind      = 5 * time.Millisecond // more than so much late, the tool does not keep up
	behindMost  = 0.01                 // share of asks that may be that late before the run is of no use
	mostFrame   = 16 << 20
)

// Options are how a load is run.
type Options struct {
	Target string
	Conns  int // connections, each an owner of its own
	Name   string
	Told   func(Progress) // once a second, or nil
}

// Progress is how far a load is.
type Progress struct {
	At                     time.Duration
	Sent, Answered, Placed int
}

// Latency is a distribution in milliseconds.
type Latency struct {
	Count  int64   `json:"count"`
	Median float64 `json:"p50_ms"`
	P90    float64 `json:"p90_ms"`
	P99    float64 `json:"p99_ms"`
	P999   float64 `json:"p99_9_ms"`
	Max    float64 `json:"max_ms"`
}

// Result is what came of a load.
type Result struct {
	Target        string         `json:"target"`
	Due           int            `json:"due"` // asks whose time came
	Sent          int            `json:"sent"`
	Placed        int            `json:"placed"`
	Rejected      int            `json:"rejected"`
	Unschedulable int            `json:"unschedulable"`
	Unanswered    int            `json:"unanswered"` // their owner's time was up, or the connection broke
	Late          int            `json:"late_answers"`
	Wrong         []string       `json:"wrong"` // second answers, and answers that nobody asked for
	Ended         int            `json:"ended"` // placed ones that are over
	Reasons       map[string]int `json:"reasons"`
	Seconds       float64        `json:"seconds"`
	DuePerSec     float64        `json:"due_per_second"`
	SentPerSec    float64        `json:"sent_per_second"`
	All           Latency        `json:"latency"`        // from when an ask was due to its answer
	PlacedIn      Latency        `json:"placed_latency"` // those that were placed
	SentLate      Latency        `json:"sent_late"`      // how long after it was due the tool sent an ask
	Overrun       bool           `json:"tool_overrun"`   // the tool did not keep up: its figures say nothing about the allocator
	Broken        string         `json:"connection_lost,omitempty"`
}

// Good tells whether the allocator did what it must.
func (r *Result) Good() bool {
	return len(r.Wrong) == 0 && r.Unanswered == 0 && r.Late == 0 && r.Broken == "" && !r.Overrun
}

// owner is one connection.
type owner struct {
	conn net.Conn
	out  *bufio.Writer
	mu   sync.Mutex
	asks map[uint64]*asked
	last uint64
	lost error
}

// asked is an ask that was sent.
type asked struct {
	due     time.Time
	expires time.Time
	done    bool
	placed  bool
}

// runner is a load under way. Its counts are guarded by mu.
type runner struct {
	o      Options
	owners []*owner
	mu     sync.Mutex
	r      Result
	all    *hdrhistogram.Histogram
	placed *hdrhistogram.Histogram
	late   *hdrhistogram.Histogram
	open   int
	idle   chan struct{} // one is put in when nothing is open any more
}

func histogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, longest.Microseconds(), 3)
}

// Run runs a load until its last ask is answered or given up. A context that ends stops it early, with what there is.
func Run(ctx context.Context, s Schedule, o Options) (*Result, error) {
	r := &runner{
		o: o, all: histogram(), placed: histogram(), late: histogram(), idle: make(chan struct{}, 1),
		r: Result{Target: o.Target, Reasons: map[string]int{}, Wrong: []string{}},
	}
	defer r.close()
	var readers sync.WaitGroup
	// Each run has owners of its own: what an earlier one placed would count as theirs, and its asks have the same numbers.
	run := time.Now().UnixNano()
	for i := range max(1, o.Conns) {
		w, in, err := connect(o.Target, fmt.Sprintf("%s-%x-%d", o.Name, run, i+1))
		if err != nil {
			return nil, err
		}
		r.owners = append(r.owners, w)
		readers.Add(1)
		go func() {
			defer readers.Done()
			r.read(w, in)
		}()
	}
	began := time.Now()
	done := make(chan struct{})
	go r.tell(began, done)
	last, deadline := r.send(ctx, s, began)
	close(done)
	r.wait(ctx, deadline)
	r.close()
	readers.Wait()
	return r.result(last.Sub(began)), nil
}

func (r *runner) close() {
	for _, w := range r.owners {
		w.conn.Close()
	}
}

// began is when this process's clock stood at 0.
var began = time.Now()

// clock is the time in ms that frames are stamped with.
func clock() float64 { return float64(time.Since(began)) / float64(time.Millisecond) }

// connect opens a connection and exchanges hellos.
func connect(target, name string) (*owner, *bufio.Reader, error) {
	conn, err := net.DialTimeout("tcp", target, helloWithin)
	if err != nil {
		return nil, nil, fmt.Errorf("no allocator at %s: %w", target, err)
	}
	w, in := &owner{conn: conn, out: bufio.NewWriterSize(conn, 1<<16), asks: map[uint64]*asked{}}, bufio.NewReaderSize(conn, 1<<16)
	hello, err := transport.AppendFrame(nil, transport.HelloFrame(&pb.Hello{Role: pb.Role_OWNER, Name: name, Incarnation: uint64(time.Now().UnixNano()), SentMs: clock()}))
	if err == nil {
		_, err = conn.Write(hello)
	}
	if err == nil {
		err = conn.SetReadDeadline(time.Now().Add(helloWithin))
	}
	var f *pb.Frame
	if err == nil {
		f, err = receive(in)
	}
	if err == nil {
		_, err = transport.CheckHello(f)
	}
	if err == nil {
		err = conn.SetReadDeadline(time.Time{})
	}
	if err != nil {
		conn.Close()
		return nil, nil, fmt.Errorf("%s: %w", target, err)
	}
	return w, in, nil
}

func receive(in *bufio.Reader) (*pb.Frame, error) { return transport.ReadFrame(in, mostFrame) }

// send sends each ask when it is due, or as soon after as it can, and returns when the last was sent and when the last
// owner gives up. What is due together goes out in one write.
func (r *runner) send(ctx context.Context, s Schedule, began time.Time) (last, deadline time.Time) {
	last = time.Now()
	n := 0
	for {
		a, ok := s.Next()
		if !ok || ctx.Err() != nil {
			break
		}
		due := began.Add(a.At)
		if wait := time.Until(due); wait > 0 {
			r.flush()
			select {
			case <-time.After(wait):
			case <-ctx.Done():
				return last, deadline
			}
		}
		w := r.owners[n%len(r.owners)]
		n++
		expires := due.Add(a.Pending)
		if expires.After(deadline) {
			deadline = expires
		}
		r.ask(w, a, due, expires)
		last = time.Now()
		if w.out.Buffered() > 1<<15 {
			r.flush()
		}
	}
	r.flush()
	return last, deadline
}

func (r *runner) flush() {
	for _, w := range r.owners {
		if err := w.out.Flush(); err != nil {
			r.broken(w, err)
		}
	}
}

// ask sends one ask. What it is late counts against the time that the allocator has left, as for any owner.
func (r *runner) ask(w *owner, a Ask, due, expires time.Time) {
	now := time.Now()
	r.mu.Lock()
	r.r.Due++
	lost := w.lost != nil
	left := expires.Sub(now)
	if lost || left <= 0 {
		r.r.Unanswered++
		r.mu.Unlock()
		return
	}
	record(r.late, now.Sub(due))
	w.last++
	no := w.last
	w.asks[no] = &asked{due: due, expires: expires}
	r.open++
	r.r.Sent++
	r.mu.Unlock()
	b, err := transport.AppendFrame(nil, &pb.Frame{Body: &pb.Frame_Ask{Ask: &pb.Ask{
		Ask: no, Key: keyOf(w.conn, no), Service: a.Service, Group: a.Group, Cores: a.Cores, Memory: a.Memory,
		LeftMs: float64(left) / float64(time.Millisecond), RunsForMs: float64(a.Life) / float64(time.Millisecond), Again: a.Again,
		SentMs: clock(),
	}}})
	if err == nil {
		_, err = w.out.Write(b)
	}
	if err != nil {
		r.broken(w, err)
	}
}

// keyOf keeps the keys of runs and connections apart.
func keyOf(conn net.Conn, no uint64) uint64 {
	h := uint64(14695981039346656037)
	for _, b := range []byte(conn.LocalAddr().String()) {
		h = (h ^ uint64(b)) * 1099511628211
	}
	return h ^ uint64(time.Now().UnixNano())<<20 ^ no*0x9e3779b97f4a7c15
}

// read takes answers until the connection ends.
func (r *runner) read(w *owner, in *bufio.Reader) {
	for {
		f, err := receive(in)
		if err != nil {
			r.broken(w, err)
			return
		}
		now := time.Now()
		r.mu.Lock()
		switch b := f.Body.(type) {
		case *pb.Frame_Answer:
			r.answered(w, now, b.Answer)
		case *pb.Frame_Over:
			if a := w.asks[b.Over.Ask]; a == nil || !a.placed {
				r.wrong("the end of workload %d, which was not placed", b.Over.Ask)
			} else {
				r.r.Ended++
				delete(w.asks, b.Over.Ask)
			}
		}
		r.mu.Unlock()
	}
}

func (r *runner) answered(w *owner, now time.Time, a *pb.Answer) {
	s := w.asks[a.Ask]
	switch {
	case s == nil:
		r.wrong("an answer for ask %d, which waits for none", a.Ask)
		return
	case s.done:
		r.wrong("a second answer for ask %d", a.Ask)
		return
	}
	s.done = true
	took := now.Sub(s.due)
	record(r.all, took)
	if now.After(s.expires) {
		r.r.Late++
	}
	switch a.Verdict {
	case pb.Verdict_PLACED:
		r.r.Placed++
		s.placed = true
		record(r.placed, took)
	case pb.Verdict_REJECTED:
		r.r.Rejected++
		r.r.Reasons[a.Reason]++
	default:
		r.r.Unschedulable++
		r.r.Reasons[a.Reason]++
	}
	if r.open--; r.open == 0 {
		select {
		case r.idle <- struct{}{}:
		default:
		}
	}
}

const wrongMost = 20

func (r *runner) wrong(format string, args ...any) {
	if len(r.r.Wrong) < wrongMost {
		r.r.Wrong = append(r.r.Wrong, fmt.Sprintf(format, args...))
	}
}

func record(h *hdrhistogram.Histogram, took time.Duration) {
	_ = h.RecordValue(min(max(took, time.Microsecond), longest).Microseconds()) // it is within the range
}

// broken notes the end of a connection; what was out on it stays unanswered.
func (r *runner) broken(w *owner, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if w.lost != nil || errors.Is(err, net.ErrClosed) {
		return
	}
	w.lost = err
	r.r.Broken = err.Error()
	for _, s := range w.asks {
		if !s.done {
			s.done = true
			r.r.Unanswered++
			r.open--
		}
	}
	if r.open == 0 {
		select {
		case r.idle <- struct{}{}:
		default:
		}
	}
}

// patience is how long after the last owner has given up an answer may still come and count as late.
const patience = 500 * time.Millisecond

// wait lets the last answers come.
func (r *runner) wait(ctx context.Context, deadline time.Time) {
	over := time.After(time.Until(deadline) + patience)
	for {
		r.mu.Lock()
		open := r.open
		r.mu.Unlock()
		if open == 0 {
			return
		}
		select {
		case <-r.idle:
		case <-over:
			return
		case <-ctx.Done():
			return
		}
	}
}

func (r *runner) tell(began time.Time, done chan struct{}) {
	if r.o.Told == nil {
		return
	}
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		select {
		case <-done:
			return
		case <-tick.C:
			r.mu.Lock()
			p := Progress{time.Since(began), r.r.Sent, r.r.Sent - r.open, r.r.Placed}
			r.mu.Unlock()
			r.o.Told(p)
		}
	}
}

func (r *runner) result(took time.Duration) *Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := r.r
	out.Unanswered += r.open
	out.Seconds = took.Seconds()
	if out.Seconds > 0 {
		out.DuePerSec, out.SentPerSec = float64(out.Due)/out.Seconds, float64(out.Sent)/out.Seconds
	}
	out.All, out.PlacedIn, out.SentLate = latency(r.all), latency(r.placed), latency(r.late)
	tooLate := int64(0)
	for _, bar := range r.late.Distribution() {
		if bar.From > behind.Microseconds() {
			tooLate += bar.Count
		}
	}
	out.Overrun = float64(tooLate) > behindMost*float64(max(1, out.Sent))
	return &out
}

func latency(h *hdrhistogram.Histogram) Latency {
	ms := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Latency{h.TotalCount(), ms(50), ms(90), ms(99), ms(99.9), float64(h.Max()) / 1000}
}
