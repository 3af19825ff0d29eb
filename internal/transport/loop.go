package transport

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/panjf2000/gnet/v2"

	"grebeglade/internal/timerqueue"
	"grebeglade/placement"
)

const (
	dialWithin  = placement.Millis(2000)
	inboxMost   = 1 << 16         // messages that wait for a party; beyond that nothing more is read for it
	flushWithin = 2 * time.Second // for what is on its way when a loop closes
	flushLook   = 2 * time.Millisecond
	acceptPause = 10 * time.Millisecond // before accepting again, after it failed: mostly for want of a descriptor
	turnFor     = placement.Millis(1)   // that a party may be busy until what it sent leaves
	enrolMost   = 4                     // connections handed to the event loop at once: each holds two descriptors meanwhile
)

// Limits bound what a peer can make a party hold.
type Limits struct {
	MaxFrameSize       int  // bytes of one frame
	MaxWriteBuffer     int  // bytes that wait to be written to one peer
	MaxConnections     int  // that came in, for one party
	PauseAcceptAtLimit bool // later ones wait until one of those has ended, for parties that see to that; else they are refused

	MaxQueuedEvents int // messages that wait for a party, about; beyond that nothing more is read for it; 0 for inboxMost

	// MessageTimeout is how long a message may take from its first bytes to its last; 0 is for ever. It guards against peers that
	// stop in the middle and stay, and could hurt one behind a very slow network.
	MessageTimeout placement.Millis
}

// DefaultLimits are those of a party that says nothing else.
var DefaultLimits = Limits{MaxFrameSize: 1 << 20, MaxWriteBuffer: 4 << 20, MaxConnections: 4096}

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
	failed chan error
	ran    sync.WaitGroup // parties' goroutines
	done   sync.WaitGroup // event loops
}

// NewLoop makes a loop without parties. Its clock starts at 0.
func NewLoop(log *slog.Logger) *Loop {
	if log == nil {
		log = slog.New(slog.DiscardHandler)
	}
	return &Loop{began: time.Now(), log: log, actors: map[any]*actor{}, failed: make(chan error, 1)}
}

// Failed tells of a listener that has ended by itself.
func (l *Loop) Failed() <-chan error { return l.failed }

func (l *Loop) fail(err error) {
	select {
	case l.failed <- err:
	default:
	}
}

// Now is the time on the loop's clock, which all its parties share.
func (l *Loop) Now() placement.Millis { return placement.Millis(float64(time.Since(l.began)) / 1e6) }

// ListenFrames brings a party in and listens for it; port 0 has the system choose one. The party is called from
// Run on.
func (l *Loop) ListenFrames(p FrameHandler, addr string, limits Limits) (string, error) {
	return l.listen(p, framed{p}, func() Codec { return frames{limits.MaxFrameSize} }, addr, limits)
}

// Listen is Listen for a party whose incoming connections are of the form that is made for each.
func (l *Loop) Listen(h Handler, form func() Codec, addr string, limits Limits) (string, error) {
	return l.listen(h, h, form, addr, limits)
}

func (l *Loop) listen(key any, h Handler, form func() Codec, addr string, limits Limits) (string, error) {
	if limits.MaxQueuedEvents == 0 {
		limits.MaxQueuedEvents = inboxMost
	}
	a := &actor{
		loop: l, party: h, form: form, limits: limits, signal: make(chan struct{}, 1), socks: map[ConnID]*sock{},
		stop: make(chan struct{}), enrols: make(chan struct{}, enrolMost),
	}
	a.room = sync.NewCond(&a.mu)
	if limits.PauseAcceptAtLimit {
		a.places = make(chan struct{}, limits.MaxConnections)
	}
	if addr != "" {
		// What keeps a connection alive is the party's to say.
		ln, err := (&net.ListenConfig{KeepAlive: -1}).Listen(context.Background(), "tcp", addr)
		if err != nil {
			return "", fmt.Errorf("listen on %s: %w", addr, err)
		}
		a.listener, addr = ln, ln.Addr().String()
		l.done.Add(1)
		go func() {
			defer l.done.Done()
			if err := a.accept(); err != nil {
				l.fail(fmt.Errorf("listen on %s: %w", ln.Addr(), err))
			}
		}()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.actors[key] = a
	if l.begun {
		l.run(a)
	}
	return addr, nil
}

// AddHandler brings a party in on a port of loopback that the system chooses.
func (l *Loop) AddHandler(p FrameHandler, _ string) (string, error) {
	return l.ListenFrames(p, "127.0.0.1:0", DefaultLimits)
}

func (l *Loop) options() []gnet.Option {
	return []gnet.Option{
		gnet.WithNumEventLoop(1), gnet.WithLogger(quiet{l.log}), gnet.WithTCPNoDelay(gnet.TCPNoDelay),
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
	l.ran.Add(1)
	go func() {
		defer l.ran.Done()
		a.run()
	}()
}

// RunAt calls do on the party's goroutine once that time has come.
func (l *Loop) RunAt(p FrameHandler, at placement.Millis, do func(now placement.Millis)) {
	l.mu.Lock()
	a := l.actors[p]
	l.mu.Unlock()
	if a != nil {
		a.post(item{kind: itemDo, at: at, do: do})
	}
}

// Call calls do on the party's goroutine and waits until it is done, or the loop is closed.
func (l *Loop) Call(p any, do func(now placement.Millis)) {
	l.mu.Lock()
	a := l.actors[p]
	l.mu.Unlock()
	if a == nil {
		return
	}
	called := make(chan struct{})
	a.post(item{kind: itemDo, do: func(now placement.Millis) { do(now); close(called) }})
	select {
	case <-called:
	case <-a.stop:
	}
}

// Close ends all parties and connections. Parties end first, and what they had sent is given a moment to leave before
// the event loops end: an answer said last must not be lost with them.
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
		if a.listener != nil {
			a.listener.Close()
		}
	}
	l.ran.Wait()
	for _, a := range l.actors {
		a.drain(ctx)
		a.stopClients(l.log)
	}
	l.done.Wait()
}

// drain waits until all that the party sent is with the system. The party's goroutine has ended.
func (a *actor) drain(ctx context.Context) {
	for _, s := range a.socks {
		for s.opened && s.buffered(ctx) > 0 {
			time.Sleep(flushLook)
		}
	}
}

// buffered is how many bytes of what was sent the event loop still holds; 0 too once the connection or ctx has ended.
func (s *sock) buffered(ctx context.Context) int {
	left := make(chan int, 1)
	// A callback that is queued behind all that was sent before.
	err := s.gc.AsyncWrite(nil, func(c gnet.Conn, err error) error {
		if err != nil {
			left <- 0
		} else {
			left <- c.OutboundBuffered()
		}
		return nil
	})
	if err != nil {
		return 0
	}
	select {
	case n := <-left:
		return n
	case <-ctx.Done():
		return 0
	}
}

// lane is which of a party's event loops a connection is on: a reader that is held back, since the party has too much to
// do, holds back its own lane only.
type lane uint8

const (
	came lane = iota
	dialled
	ahead // what comes here is handed over before what waits
	lanes
)

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
	why  error
	at   placement.Millis // when it was read, or is due
	do   func(now placement.Millis)
}

// actor is a party with its goroutine; it is the net that the party sees.
type actor struct {
	loop   *Loop
	party  Handler
	form   func() Codec // of connections that come in
	limits Limits
	signal chan struct{}
	stop   chan struct{}
	once   sync.Once

	listener net.Listener
	places   chan struct{} // holds one for each connection that came in, where later ones wait

	mu      sync.Mutex
	inbox   []item
	first   []item      // what goes ahead of the inbox
	pressed atomic.Bool // there is something in first
	room    *sync.Cond
	clients [lanes]*gnet.Client
	enrols  chan struct{} // holds one for each connection that is being handed to the event loop
	inCount atomic.Int64  // connections that came in

	// The rest belongs to the goroutine.
	now    placement.Millis
	came   placement.Millis // when what is being handled was read
	socks  map[ConnID]*sock
	lastID ConnID
	dirty  []*sock
	wake   placement.Millis
	wakes  bool
	dos    timerqueue.Queue[func(placement.Millis)]
}

// sock is one connection. gc is set before the actor hears of it.
type sock struct {
	actor   *actor
	id      ConnID // the actor's, given when it first hears of it
	gc      gnet.Conn
	lane    lane
	form    Codec
	parts   atomic.Uint64 // odd while a message is there in part; it grows with each change
	failed  atomic.Pointer[error]
	ended   atomic.Bool        // the event loop knows its end; the party may not have been told yet
	give    context.CancelFunc // gives up dialling it
	out     []byte
	onWay   atomic.Int64 // bytes handed over and not with the event loop yet
	opened  bool         // the actor has heard of it, and may use gc
	closing bool
}

func (a *actor) post(i item) {
	a.mu.Lock()
	a.put(i)
	a.mu.Unlock()
	select {
	case a.signal <- struct{}{}:
	default:
	}
}

func (i *item) goesAhead() bool { return i.sock != nil && i.sock.lane == ahead }

// put adds to what waits. All that concerns one connection stays in its order.
func (a *actor) put(items ...item) {
	if items[0].goesAhead() {
		a.first = append(a.first, items...)
		a.pressed.Store(true)
		return
	}
	a.inbox = append(a.inbox, items...)
}

// postFrames hands frames over, and waits while the party has too much to do: then its peers wait too.
func (a *actor) postFrames(items []item) {
	a.mu.Lock()
	for !items[0].goesAhead() && len(a.inbox) > a.limits.MaxQueuedEvents && !a.stopped() {
		a.room.Wait()
	}
	a.put(items...)
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
		stopped := false
		select {
		case <-a.stop:
			stopped = true // what is there by now is still handled, and answered
		case <-a.signal:
		case <-timer.C:
		}
		a.mu.Lock()
		batch, a.inbox = a.inbox, batch[:0]
		a.room.Broadcast()
		a.mu.Unlock()
		a.now = a.loop.Now()
		a.urgent()
		for i := range batch {
			a.handle(&batch[i])
			batch[i] = item{}
			// A full inbox takes a busy party long: what it sends must not wait for the end of it, nor its timers, and
			// it must not take the beginning for now.
			if now := a.loop.Now(); now-a.now >= turnFor {
				a.now = now
				a.due()
				a.flush()
			}
			if a.pressed.Load() {
				a.urgent()
			}
		}
		a.due()
		a.flush()
		if stopped {
			return
		}
	}
}

// urgent handles what goes ahead.
func (a *actor) urgent() {
	a.mu.Lock()
	first := a.first
	a.first = nil
	a.pressed.Store(false)
	a.mu.Unlock()
	for i := range first {
		a.handle(&first[i])
	}
}

// accept takes connections in until the listener is closed. Where there is no place or no descriptor for one more, it
// waits, and so do those who come: an end to listening would leave a process that serves nobody.
func (a *actor) accept() error {
	for {
		if a.places != nil {
			select {
			case a.places <- struct{}{}:
			case <-a.stop:
				return nil
			}
		}
		c, err := a.listener.Accept()
		if err == nil {
			a.take(c)
			continue
		}
		a.leave()
		if a.stopped() {
			return nil
		}
		if errors.Is(err, net.ErrClosed) {
			return err
		}
		a.loop.log.Warn("connection not accepted", "err", err)
		time.Sleep(acceptPause)
	}
}

// take hands a connection that came in to the event loop, or refuses it.
func (a *actor) take(c net.Conn) {
	s := &sock{actor: a, lane: came, form: a.form()}
	if n := a.inCount.Add(1); a.places == nil && n > int64(a.limits.MaxConnections) {
		a.loop.Stats.TooMany.Add(1)
		why := fmt.Sprintf("%d connections stand, the most there may be; come again later", a.limits.MaxConnections)
		if out, err := s.form.Append(nil, RefusalFrame(why)); err == nil { // other forms have no such message, and just end
			c.Write(out)
		}
		c.Close()
		a.inCount.Add(-1)
		return
	}
	if err := a.enrol(c, s); err != nil {
		a.loop.log.Warn("connection not taken in", "err", err)
		c.Close()
		a.inCount.Add(-1)
		a.leave()
	}
}

// leave gives the place of a connection that came in to the next.
func (a *actor) leave() {
	if a.places != nil {
		<-a.places
	}
}

// pause is how long nothing comes due.
func (a *actor) pause() time.Duration {
	at, ok := a.dos.NextTime()
	if a.wakes && (!ok || a.wake < at) {
		at, ok = a.wake, true
	}
	if !ok {
		return time.Hour
	}
	return max(0, time.Duration(float64(at-a.loop.Now())*1e6))
}

func (a *actor) due() {
	for at, ok := a.dos.NextTime(); ok && at <= a.now; at, ok = a.dos.NextTime() {
		_, _, do := a.dos.Pop()
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
			a.dos.Push(i.at, i.do)
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
			a.came = min(i.at, a.now)
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

func (a *actor) Now() placement.Millis { return a.now }

func (a *actor) ReceivedAt() placement.Millis { return a.came }

func (a *actor) WakeAt(t placement.Millis) { a.wake, a.wakes = t, true }

// DialCodec is the party's: so are Send and Close.
func (a *actor) DialCodec(addr string, f Codec, within placement.Millis) ConnID {
	a.lastID++
	ctx, give := context.WithTimeout(context.Background(), time.Duration(float64(within)*1e6))
	s := &sock{actor: a, id: a.lastID, lane: dialled, form: f, give: give}
	if _, urgent := f.(Urgent); urgent {
		s.lane = ahead
	}
	a.socks[s.id] = s
	go a.connect(ctx, s, addr)
	return s.id
}

func (a *actor) connect(ctx context.Context, s *sock, addr string) {
	defer s.give()
	var dialer net.Dialer
	c, err := dialer.DialContext(ctx, "tcp", addr)
	if err == nil {
		if err = a.enrol(c, s); err == nil {
			return // OnOpen posts it
		}
		c.Close()
	}
	a.post(item{kind: itemClosed, sock: s, why: dialError(err)})
}

// enrol hands a connection that stands to the event loop.
func (a *actor) enrol(c net.Conn, s *sock) error {
	if s.lane != ahead { // which does not queue behind hundreds of others at a start
		a.enrols <- struct{}{}
		defer func() { <-a.enrols }()
	}
	client, err := a.client(s.lane)
	if err != nil {
		return err
	}
	_, err = client.EnrollContext(c, s)
	return err
}

// IsClosed is the party's: the event loop may know of an end that the party is told of only after what came before it.
func (a *actor) IsClosed(c ConnID) bool {
	s := a.socks[c]
	return s == nil || s.closing || s.ended.Load()
}

// client is the event loop of a lane.
func (a *actor) client(l lane) (*gnet.Client, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.stopped() {
		return nil, errors.New("the loop is closed")
	}
	if a.clients[l] != nil {
		return a.clients[l], nil
	}
	c, err := gnet.NewClient(&events{actor: a}, a.loop.options()...)
	if err != nil {
		return nil, err
	}
	if err := c.Start(); err != nil {
		return nil, err
	}
	a.clients[l] = c
	return c, nil
}

func (a *actor) stopClients(log *slog.Logger) {
	a.mu.Lock()
	clients := a.clients
	a.mu.Unlock()
	for _, c := range clients {
		if c == nil {
			continue
		}
		if err := c.Stop(); err != nil {
			log.Debug("stop connections", "err", err)
		}
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
	switch {
	case s.opened:
		s.gc.Close()
	case s.give != nil:
		s.give() // its descriptor is wanted back now, not when dialling would have failed
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
	if s.onWay.Add(int64(len(out))) > int64(a.limits.MaxWriteBuffer) {
		a.tooSlow(s)
		return
	}
	a.loop.Stats.Frames.Add(1)
	err := s.gc.AsyncWrite(out, func(c gnet.Conn, err error) error {
		s.onWay.Add(-int64(len(out)))
		// What the peer has not read by now waits here; past the limit it is cut off, and nobody else waits.
		if err == nil && c != nil && c.OutboundBuffered() > a.limits.MaxWriteBuffer {
			a.tooSlow(s)
		}
		return nil
	})
	if err != nil {
		s.fail(&closeError{class: ErrConnectionLost, cause: fmt.Errorf("write: %w", err)})
	}
}

func (a *actor) tooSlow(s *sock) {
	a.loop.Stats.TooSlow.Add(1)
	s.fail(fmt.Errorf("%w: over %d bytes wait for it", ErrSlowPeer, a.limits.MaxWriteBuffer))
}

// fail ends a connection with a reason that the party is told.
func (s *sock) fail(why error) {
	s.failed.CompareAndSwap(nil, &why)
	s.gc.Close()
}

// events are what gnet's loops call for one party.
type events struct {
	gnet.BuiltinEventEngine
	actor *actor
}

func (e *events) OnOpen(c gnet.Conn) ([]byte, gnet.Action) {
	s, ok := c.Context().(*sock)
	if !ok {
		return nil, gnet.Close
	}
	s.gc = c
	e.actor.post(item{kind: itemOpened, sock: s})
	return nil, gnet.None
}

func (e *events) OnClose(c gnet.Conn, err error) gnet.Action {
	s, ok := c.Context().(*sock)
	if !ok {
		return gnet.None
	}
	s.ended.Store(true)
	if s.lane == came {
		e.actor.inCount.Add(-1)
		e.actor.leave()
	}
	why := socketError(err)
	if failed := s.failed.Load(); failed != nil {
		why = *failed
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
	now, rest := e.actor.loop.Now(), b
	for len(rest) > 0 {
		var m any
		var n int
		if m, n, err = s.form.Decode(rest); err != nil || n == 0 {
			break
		}
		rest = rest[n:]
		if m != nil {
			items = append(items, item{kind: itemMessage, sock: s, m: m, at: now})
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
		var why error = &closeError{class: ErrMalformedMessage, cause: err}
		s.failed.CompareAndSwap(nil, &why)
		return gnet.Close
	}
	if e.actor.limits.MessageTimeout > 0 {
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
	limit := s.actor.limits.MessageTimeout
	s.actor.post(item{kind: itemDo, at: s.actor.loop.Now() + limit, do: func(placement.Millis) {
		if s.parts.Load() == no && !s.closing {
			s.fail(fmt.Errorf("%w after %v ms", ErrMessageTimeout, limit))
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
