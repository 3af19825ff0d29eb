package link

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/panjf2000/gnet/v2"

	"grebeglade/choice"
	"grebeglade/internal/schedule"
)

const (
	dialWithin  = choice.Millis(2000)
	inboxMost   = 1 << 16     // messages that wait for a party; beyond that nothing more is read for it
	flushWithin = time.Second // for what is on its way when a loop closes
)

// Limits bound what a peer can make a party hold.
type Limits struct {
	Frame       int // bytes of one frame
	Waiting     int // bytes that wait to be written to one peer
	Connections int // that came in, for one party

	Inbox int // messages that wait for a party, about; beyond that nothing more is read for it; 0 for inboxMost

	// Whole is how long a message may take from its first bytes to its last; 0 is for ever. It guards against peers that
	// stop in the middle and stay, and could hurt one behind a very slow network.
	Whole choice.Millis
}

// DefaultLimits are those of a party that says nothing else.
var DefaultLimits = Limits{Frame: 1 << 20, Waiting: 4 << 20, Connections: 4096}

// Stats count what went over a loop's sockets.
type Stats struct{ Frames, BadFrames, TooSlow, TooMany atomic.Uint64 }

// Loop runs parties on sockets. Each party has event loops of its own, which cut bytes into frames, and one
// goroutine that calls it. What it sends while it is called leaves when it has handled all that was there.
type Loop struct {
	Stats  Stats
	began  time.Time
	log    *slog.Logger
	mu     sync.Mutex
	actors map[any]*actor
	begun  bool
	done   sync.WaitGroup
}

// NewLoop makes a loop without parties. Its clock starts at 0.
func NewLoop(log *slog.Logger) *Loop {
	if log == nil {
		log = slog.New(slog.DiscardHandler)
	}
	return &Loop{began: time.Now(), log: log, actors: map[any]*actor{}}
}

// Now is the time on the loop's clock, which all its parties share.
func (l *Loop) Now() choice.Millis { return choice.Millis(float64(time.Since(l.began)) / 1e6) }

// Listen brings a party in and listens for it; port 0 has the system choose one. The party is called from
// Run on.
func (l *Loop) Listen(p Party, addr string, limits Limits) (string, error) {
	return l.listen(p, framed{p}, func() Form { return frames{limits.Frame} }, addr, limits)
}

// Serve is Listen for a party whose incoming connections are of the form that is made for each.
func (l *Loop) Serve(h Handler, form func() Form, addr string, limits Limits) (string, error) {
	return l.listen(h, h, form, addr, limits)
}

func (l *Loop) listen(key any, h Handler, form func() Form, addr string, limits Limits) (string, error) {
	if limits.Inbox == 0 {
		limits.Inbox = inboxMost
	}
	a := &actor{
		loop: l, party: h, form: form, limits: limits, signal: make(chan struct{}, 1), socks: map[ConnID]*sock{},
		stop: make(chan struct{}),
	}
	a.room = sync.NewCond(&a.mu)
	if addr != "" {
		booted := make(chan error, 1)
		s := &server{events: events{actor: a, accepts: true}, booted: booted}
		l.done.Add(1)
		go func() {
			defer l.done.Done()
			if err := gnet.Run(s, "tcp://"+addr, l.options()...); err != nil {
				select {
				case booted <- err:
				default:
				}
			}
		}()
		if err := <-booted; err != nil {
			return "", fmt.Errorf("listen on %s: %w", addr, err)
		}
		a.server, addr = s, s.addr
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.actors[key] = a
	if l.begun {
		l.run(a)
	}
	return addr, nil
}

// Add brings a party in on a port of loopback that the system chooses.
func (l *Loop) Add(p Party, _ string) (string, error) {
	return l.Listen(p, "127.0.0.1:0", DefaultLimits)
}

func (l *Loop) options() []gnet.Option {
	return []gnet.Option{
		gnet.WithNumEventLoop(1), gnet.WithLogger(quiet{l.log}), gnet.WithTCPNoDelay(gnet.TCPNoDelay),
		gnet.WithReuseAddr(true),
	}
}

// Run starts the parties that were brought in; later ones start at once.
func (l *Loop) Run() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.begun = true
	for _, a := range l.actors {
		l.run(a)
	}
}

func (l *Loop) run(a *actor) {
	l.done.Add(1)
	go func() {
		defer l.done.Done()
		a.run()
	}()
}

// Do calls do on the party's goroutine once that time has come.
func (l *Loop) Do(p Party, at choice.Millis, do func(now choice.Millis)) {
	l.mu.Lock()
	a := l.actors[p]
	l.mu.Unlock()
	if a != nil {
		a.post(item{kind: itemDo, at: at, do: do})
	}
}

// Ask calls do on the party's goroutine and waits until it is done, or the loop is closed.
func (l *Loop) Ask(p any, do func(now choice.Millis)) {
	l.mu.Lock()
	a := l.actors[p]
	l.mu.Unlock()
	if a == nil {
		return
	}
	called := make(chan struct{})
	a.post(item{kind: itemDo, do: func(now choice.Millis) { do(now); close(called) }})
	select {
	case <-called:
	case <-a.stop:
	}
}

// Close ends all parties and connections. What they had sent is given a moment to leave.
func (l *Loop) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), flushWithin)
	defer cancel()
	for _, a := range l.actors {
		a.once.Do(func() { close(a.stop) })
		a.mu.Lock()
		a.room.Broadcast()
		a.mu.Unlock()
		if a.server != nil {
			if err := a.server.engine.Stop(ctx); err != nil {
				l.log.Debug("stop listening", "err", err)
			}
		}
		a.stopClient(l.log)
	}
	l.done.Wait()
}

type itemKind uint8

const (
	itemDo itemKind = iota
	itemOpened
	itemMessage
	itemClosed
)

// item is one thing for a party to handle.
type item struct {
	kind itemKind
	sock *sock
	m    any
	why  string
	at   choice.Millis
	do   func(now choice.Millis)
}

// actor is a party with its goroutine; it is the net that the party sees.
type actor struct {
	loop   *Loop
	party  Handler
	form   func() Form // of connections that come in
	limits Limits
	server *server
	signal chan struct{}
	stop   chan struct{}
	once   sync.Once

	mu      sync.Mutex
	inbox   []item
	room    *sync.Cond
	client  *gnet.Client
	inCount atomic.Int64 // connections that came in

	// The rest belongs to the goroutine.
	now    choice.Millis
	socks  map[ConnID]*sock
	lastID ConnID
	dirty  []*sock
	wake   choice.Millis
	wakes  bool
	dos    schedule.Queue[func(choice.Millis)]
}

// sock is one connection. gc is set before the actor hears of it.
type sock struct {
	actor   *actor
	id      ConnID // the actor's, given when it first hears of it
	gc      gnet.Conn
	came    bool // it came in
	form    Form
	parts   atomic.Uint64 // odd while a message is there in part; it grows with each change
	failed  atomic.Pointer[string]
	out     []byte
	onWay   atomic.Int64 // bytes handed over and not with the event loop yet
	opened  bool         // the actor has heard of it, and may use gc
	closing bool
}

func (a *actor) post(i item) {
	a.mu.Lock()
	a.inbox = append(a.inbox, i)
	a.mu.Unlock()
	select {
	case a.signal <- struct{}{}:
	default:
	}
}

// postFrames hands frames over, and waits while the party has too much to do: then its peers wait too.
func (a *actor) postFrames(items []item) {
	a.mu.Lock()
	for len(a.inbox) > a.limits.Inbox && !a.stopped() {
		a.room.Wait()
	}
	a.inbox = append(a.inbox, items...)
	a.mu.Unlock()
	select {
	case a.signal <- struct{}{}:
	default:
	}
}

func (a *actor) stopped() bool {
	select {
	case <-a.stop:
		return true
	default:
		return false
	}
}

func (a *actor) run() {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	a.now = a.loop.Now()
	a.party.Start(a.now, a)
	a.flush()
	var batch []item
	for {
		timer.Reset(a.pause())
		select {
		case <-a.stop:
			a.flush()
			return
		case <-a.signal:
		case <-timer.C:
		}
		a.mu.Lock()
		batch, a.inbox = a.inbox, batch[:0]
		a.room.Broadcast()
		a.mu.Unlock()
		a.now = a.loop.Now()
		for i := range batch {
			a.handle(&batch[i])
			batch[i] = item{}
		}
		a.due()
		a.flush()
	}
}

// pause is how long nothing comes due.
func (a *actor) pause() time.Duration {
	at, ok := a.dos.Next()
	if a.wakes && (!ok || a.wake < at) {
		at, ok = a.wake, true
	}
	if !ok {
		return time.Hour
	}
	return max(0, time.Duration(float64(at-a.loop.Now())*1e6))
}

func (a *actor) due() {
	for at, ok := a.dos.Next(); ok && at <= a.now; at, ok = a.dos.Next() {
		_, _, do := a.dos.Take()
		do(a.now)
	}
	if a.wakes && a.wake <= a.now {
		a.wakes = false
		a.party.Wake(a.now)
	}
}

func (a *actor) handle(i *item) {
	s := i.sock
	switch i.kind {
	case itemDo:
		if i.at > a.now {
			a.dos.Add(i.at, i.do)
		} else {
			i.do(a.now)
		}
	case itemOpened:
		s.opened = true
		if s.closing {
			s.gc.Close()
			return
		}
		if s.id == 0 {
			a.lastID++
			s.id = a.lastID
		}
		a.socks[s.id] = s
		a.party.Opened(a.now, s.id)
	case itemMessage:
		if !s.closing {
			a.party.Received(a.now, s.id, i.m)
		}
	case itemClosed:
		delete(a.socks, s.id)
		if !s.closing && s.id != 0 {
			s.closing = true
			a.party.Closed(a.now, s.id, i.why)
		}
	}
}

func (a *actor) Now() choice.Millis { return a.now }

func (a *actor) WakeAt(t choice.Millis) { a.wake, a.wakes = t, true }

// DialAs is the party's: so are Send and Close.
func (a *actor) DialAs(addr string, f Form, within choice.Millis) ConnID {
	a.lastID++
	s := &sock{actor: a, id: a.lastID, form: f}
	a.socks[s.id] = s
	go a.connect(s, addr, time.Duration(float64(within)*1e6))
	return s.id
}

func (a *actor) connect(s *sock, addr string, within time.Duration) {
	c, err := net.DialTimeout("tcp", addr, within)
	if err == nil {
		var client *gnet.Client
		if client, err = a.dialler(); err == nil {
			if _, err = client.EnrollContext(c, s); err == nil {
				return // OnOpen posts it
			}
		}
		c.Close()
	}
	a.post(item{kind: itemClosed, sock: s, why: dialError(err)})
}

// dialler is the event loop of connections that the party dialled.
func (a *actor) dialler() (*gnet.Client, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.stopped() {
		return nil, errors.New("the loop is closed")
	}
	if a.client != nil {
		return a.client, nil
	}
	c, err := gnet.NewClient(&events{actor: a}, a.loop.options()...)
	if err != nil {
		return nil, err
	}
	if err := c.Start(); err != nil {
		return nil, err
	}
	a.client = c
	return c, nil
}

func (a *actor) stopClient(log *slog.Logger) {
	a.mu.Lock()
	c := a.client
	a.mu.Unlock()
	if c == nil {
		return
	}
	if err := c.Stop(); err != nil {
		log.Debug("stop dialled connections", "err", err)
	}
}

func (a *actor) Send(c ConnID, m any) {
	s := a.socks[c]
	if s == nil || s.closing || !s.opened {
		return
	}
	before := len(s.out)
	out, err := s.form.Append(s.out, m)
	if err != nil {
		a.loop.log.Error("message not sent", "err", err)
		return
	}
	if s.out = out; before == 0 {
		a.dirty = append(a.dirty, s)
	}
}

func (a *actor) Close(c ConnID) {
	s := a.socks[c]
	if s == nil || s.closing {
		return
	}
	a.write(s)
	s.closing = true
	delete(a.socks, c)
	if s.opened {
		s.gc.Close()
	}
}

// flush hands what was sent to the event loops.
func (a *actor) flush() {
	for _, s := range a.dirty {
		a.write(s)
	}
	a.dirty = a.dirty[:0]
}

func (a *actor) write(s *sock) {
	if len(s.out) == 0 || s.closing {
		return
	}
	out := s.out
	s.out = nil
	if s.onWay.Add(int64(len(out))) > int64(a.limits.Waiting) {
		a.tooSlow(s)
		return
	}
	a.loop.Stats.Frames.Add(1)
	err := s.gc.AsyncWrite(out, func(c gnet.Conn, err error) error {
		s.onWay.Add(-int64(len(out)))
		// What the peer has not read by now waits here; past the limit it is cut off, and nobody else waits.
		if err == nil && c != nil && c.OutboundBuffered() > a.limits.Waiting {
			a.tooSlow(s)
		}
		return nil
	})
	if err != nil {
		s.fail("write: " + err.Error())
	}
}

func (a *actor) tooSlow(s *sock) {
	a.loop.Stats.TooSlow.Add(1)
	s.fail(fmt.Sprintf("the peer does not read: over %d bytes wait for it", a.limits.Waiting))
}

// fail ends a connection with a reason that the party is told.
func (s *sock) fail(why string) {
	s.failed.CompareAndSwap(nil, &why)
	s.gc.Close()
}

// events are what gnet's loops call for one party.
type events struct {
	gnet.BuiltinEventEngine
	actor   *actor
	accepts bool
}

type server struct {
	events
	engine gnet.Engine
	addr   string
	booted chan error
}

// OnBoot learns which address the system chose.
func (s *server) OnBoot(e gnet.Engine) gnet.Action {
	s.engine = e
	fd, err := e.Dup()
	if err == nil {
		f := os.NewFile(uintptr(fd), "listener")
		var l net.Listener
		if l, err = net.FileListener(f); err == nil {
			s.addr = l.Addr().String()
			l.Close()
		}
		f.Close()
	}
	s.booted <- err
	return gnet.None
}

func (e *events) OnOpen(c gnet.Conn) ([]byte, gnet.Action) {
	s, dialled := c.Context().(*sock)
	if !dialled {
		s = &sock{actor: e.actor, came: true, form: e.actor.form()}
		c.SetContext(s)
	}
	s.gc = c
	if !dialled && e.actor.inCount.Add(1) > int64(e.actor.limits.Connections) {
		e.actor.loop.Stats.TooMany.Add(1)
		why := fmt.Sprintf("%d connections stand, the most there may be; come again later", e.actor.limits.Connections)
		s.failed.Store(&why)
		out, err := s.form.Append(nil, Refuse(why)) // other forms have no such message, and just end
		if err != nil {
			out = nil
		}
		return out, gnet.Close
	}
	e.actor.post(item{kind: itemOpened, sock: s})
	return nil, gnet.None
}

func (e *events) OnClose(c gnet.Conn, err error) gnet.Action {
	s, ok := c.Context().(*sock)
	if !ok {
		return gnet.None
	}
	if s.came {
		e.actor.inCount.Add(-1)
	}
	why := "closed by the peer"
	if failed := s.failed.Load(); failed != nil {
		why = *failed
	} else if err != nil {
		why = err.Error()
	}
	e.actor.post(item{kind: itemClosed, sock: s, why: why})
	return gnet.None
}

func (e *events) OnTraffic(c gnet.Conn) gnet.Action {
	s, ok := c.Context().(*sock)
	if !ok {
		return gnet.Close
	}
	b, err := c.Peek(-1)
	if err != nil {
		return gnet.None
	}
	var items []item
	rest := b
	for len(rest) > 0 {
		var m any
		var n int
		if m, n, err = s.form.Cut(rest); err != nil || n == 0 {
			break
		}
		rest = rest[n:]
		if m != nil {
			items = append(items, item{kind: itemMessage, sock: s, m: m})
		}
	}
	// Discarding nothing would discard all that is there.
	if used := len(b) - len(rest); used > 0 {
		if _, discardErr := c.Discard(used); err == nil {
			err = discardErr
		}
	}
	if len(items) > 0 {
		e.actor.postFrames(items)
	}
	if err != nil {
		e.actor.loop.Stats.BadFrames.Add(1)
		e.actor.loop.log.Warn("connection ended", "peer", c.RemoteAddr(), "reason", err)
		why := err.Error()
		s.failed.CompareAndSwap(nil, &why)
		return gnet.Close
	}
	if e.actor.limits.Whole > 0 {
		s.minded(len(rest) < len(b), len(rest) > 0)
	}
	return gnet.None
}

// minded ends the connection if a message that has begun is not whole in time.
func (s *sock) minded(cut, begun bool) {
	if s.parts.Load()%2 == 1 && (cut || !begun) {
		s.parts.Add(1)
	}
	if !begun || s.parts.Load()%2 == 1 {
		return
	}
	no := s.parts.Add(1)
	limit := s.actor.limits.Whole
	s.actor.post(item{kind: itemDo, at: s.actor.loop.Now() + limit, do: func(choice.Millis) {
		if s.parts.Load() == no && !s.closing {
			s.fail(fmt.Sprintf("a message was not whole after %v ms", limit))
		}
	}})
}

// quiet hands gnet's own log lines on where they matter.
type quiet struct{ log *slog.Logger }

func (q quiet) Debugf(string, ...any)            {}
func (q quiet) Infof(string, ...any)             {}
func (q quiet) Warnf(format string, args ...any) { q.log.Debug(fmt.Sprintf(format, args...)) }
func (q quiet) Errorf(format string, args ...any) {
	q.log.Debug(fmt.Sprintf(format, args...))
}
func (q quiet) Fatalf(format string, args ...any) { q.log.Error(fmt.Sprintf(format, args...)) }
