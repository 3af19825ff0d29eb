// Package gang decides about groups of workloads that start together or not at all.
//
// A Gang is the state of one group and nothing else: each call takes what happened and its time, and returns
// what is to be done. Where a part goes is never decided here. Times are milliseconds on the caller's clock.
// The source of the design, Ibis, knows no groups; what leads this module is its early refusal: a group that
// does not fit as a whole, as far as is known, is rejected at once, and nothing of it is sent.
//
// Calls: Begin, then Tried with what came of a Try, Up, Failed and Ended for parts, Withdraw, and Due once a
// Wake has come. A gang that ends with Forget is called no more.
package gang

import (
	"cmp"
	"encoding/binary"
	"hash/fnv"
	"slices"

	"grebeglade/placement"
)

const (
	mostTries    = 3                     // times that a group is begun; each that falls apart costs starts and stops
	pauseFirst   = placement.Millis(400) // ms, at least, before a group that fell apart is begun again; doubles
	leastStart   = placement.Millis(300) // ms that a start needs; with less left another try is waste
	answerMargin = placement.Millis(20)  // ms before the pending timeout by which the group is answered, at least
	marginShare  = 0.02                  // of the pending timeout, likewise: the ask may have been held up on its way here
	stopAgain    = placement.Millis(2e3) // ms after which a stop that came to nothing is repeated
)

// State is how far a group is.
type State uint8

const (
	Pending  State = iota // to be begun, or begun again
	Starting              // its parts are asked for
	Standing              // enough of them run; the owner has its answer
	Undoing               // what there is of it is being stopped
	GivenUp               // nothing of it is left
)

func (s State) String() string {
	return [...]string{"pending", "starting", "standing", "undoing", "given up"}[s]
}

// PartState is how far a part is.
type PartState uint8

const (
	Idle     PartState = iota // never offered, or known never to have run
	Asked                     // on its way
	Running                   // it runs
	Finished                  // it ran to its own end
	Stopping                  // called off, its end not known yet
	Lost                      // it ended before its time, or may have run and is out of reach
)

// OnLoss is what becomes of a standing group that loses a part.
type OnLoss uint8

const (
	Undo    OnLoss = iota // all of it is stopped
	Replace               // the part is placed anew, within a time; if that fails, all of it is stopped
)

// Part is what a decision needs of a part.
type Part struct {
	Effect placement.Idempotency
	Size   float64 // its share of a machine: larger ones are asked for first
}

// Wish is what an owner asks for.
type Wish struct {
	Parts         []Part
	Need          int // parts that must run, at least
	Left          placement.Millis
	OnLoss        OnLoss
	ReplaceWithin placement.Millis
}

// ActKind says what is to be done.
type ActKind uint8

const (
	Try    ActKind = iota // ask for the parts named, all or at least Need of them together, and call Tried
	Ask                   // ask for one part by itself
	Stop                  // call a part off, wherever it is
	Place                 // tell the owner that the group stands
	Reject                // tell it that asking again does no harm
	GiveUp                // tell it that a part may have run
	Keep                  // tell the parts' nodes that the group stands
	Over                  // tell the owner that the standing group is no more
	Wake                  // call Due at At
	Forget                // the group is done with
)

// Act is one thing to be done.
type Act struct {
	Kind  ActKind
	Part  int
	Parts []int // of Try, larger ones first
	Need  int   // of Try
	At    placement.Millis
	Left  placement.Millis // of Ask
}

// Gang is one group.
type Gang struct {
	State   State
	Parts   []PartState
	wish    Wish
	expires placement.Millis
	seed    uint64
	tries   int
	owed    bool // the owner has no answer yet
	again   bool // it is begun again once it is undone
	harmed  bool // a part that must not run twice may have run
	wake    placement.Millis
	stopAt  placement.Millis // when stops are repeated
}

// New makes a group that is to be begun.
func New(now placement.Millis, w Wish, seed uint64) *Gang {
	w.Need = min(max(1, w.Need), len(w.Parts))
	return &Gang{wish: w, Parts: make([]PartState, len(w.Parts)), expires: now + w.Left, seed: seed, owed: true}
}

// Recover makes a group of what was found of it after a restart: its parts that run. One that was declared
// standing goes on if enough of it is there; any other is undone. Its owner has its answer, or is gone.
func Recover(now placement.Millis, w Wish, running []bool, declared bool, seed uint64) (*Gang, []Act) {
	g := New(now, w, seed)
	g.owed, g.State = false, Standing
	for i, runs := range running {
		if g.Parts[i] = Lost; runs {
			g.Parts[i] = Running
		}
	}
	if declared && g.count(Running) >= g.wish.Need {
		return g, []Act{{Kind: Keep}}
	}
	return g, g.undo(now, false)
}

// Tries is how often the group was begun.
func (g *Gang) Tries() int { return g.tries }

func (g *Gang) count(states ...PartState) (n int) {
	for _, s := range g.Parts {
		if slices.Contains(states, s) {
			n++
		}
	}
	return n
}

// Begin begins the group: all parts are asked for at once, so that what is known decides about it as a whole.
func (g *Gang) Begin(now placement.Millis) []Act {
	if g.State != Pending {
		return nil
	}
	if g.expires-now < leastStart {
		return g.giveUp(now)
	}
	g.State, g.tries = Starting, g.tries+1
	parts := make([]int, 0, len(g.Parts))
	for i := range g.Parts {
		g.Parts[i] = Asked
		parts = append(parts, i)
	}
	slices.SortStableFunc(parts, func(x, y int) int { return cmp.Compare(g.wish.Parts[y].Size, g.wish.Parts[x].Size) })
	return []Act{
		{Kind: Try, Parts: parts, Need: g.wish.Need},
		{Kind: Wake, At: g.answerBy()},
	}
}

// answerBy is when the group is answered at the latest. Its owner counts from when it asked; how long the ask was under way
// nobody here knows. A hunt found groups answered some 30 ms too late over a network that holds frames up; with less than a
// fiftieth of the time left nothing starts any more, so that little is given away.
func (g *Gang) answerBy() placement.Millis {
	return g.expires - max(answerMargin, placement.Millis(marginShare)*g.wish.Left)
}

// Tried takes which parts were offered. Either that is enough for the group, or nothing was sent.
func (g *Gang) Tried(now placement.Millis, offered []bool) []Act {
	if g.State != Starting {
		return nil
	}
	for i, sent := range offered {
		if !sent && g.Parts[i] == Asked {
			g.Parts[i] = Idle
		}
	}
	if g.count(Asked, Running, Finished) >= g.wish.Need {
		return nil
	}
	// It does not fit as a whole, as far as is known: early refusal, no waiting on hope.
	return g.giveUp(now)
}

// giveUp answers at once a group of which nothing is left.
func (g *Gang) giveUp(placement.Millis) []Act {
	g.State = GivenUp
	return append(g.refuse(), Act{Kind: Forget})
}

// refuse is the final answer of a group that does not stand, if it is owed.
func (g *Gang) refuse() []Act {
	if !g.owed {
		return nil
	}
	g.owed = false
	if g.harmed {
		return []Act{{Kind: GiveUp}}
	}
	return []Act{{Kind: Reject}}
}

// Up takes that a part runs.
func (g *Gang) Up(now placement.Millis, part int) []Act {
	if g.Parts[part] != Asked {
		return nil // called off meanwhile: its stop is on the way
	}
	g.Parts[part] = Running
	switch g.State {
	case Starting:
		return g.stands(now)
	case Standing:
		return []Act{{Kind: Keep}} // a part that was replaced
	}
	return nil
}

// stands declares the group standing once enough parts run and none is on its way.
func (g *Gang) stands(placement.Millis) []Act {
	if g.count(Running, Finished) < g.wish.Need || g.count(Asked) > 0 {
		return nil
	}
	g.State, g.owed = Standing, false
	acts := []Act{{Kind: Keep}, {Kind: Place}}
	return append(acts, g.done()...)
}

// done forgets a standing group whose parts have all come to their end.
func (g *Gang) done() []Act {
	if g.count(Asked, Running, Stopping) > 0 {
		return nil
	}
	g.State = GivenUp
	return []Act{{Kind: Over}, {Kind: Forget}}
}

// Failed takes that a part will not be placed, and whether it may run all the same.
func (g *Gang) Failed(now placement.Millis, part int, mayRun bool) []Act {
	if mayRun && g.wish.Parts[part].Effect != placement.Idempotent {
		g.harmed = true
	}
	was := g.Parts[part]
	g.Parts[part] = Idle
	if mayRun {
		g.Parts[part] = Lost
	}
	return g.without(now, was)
}

// Ended takes that a part is no more: it ran to its own end, or was stopped, evicted or lost.
func (g *Gang) Ended(now placement.Millis, part int, finished bool) []Act {
	was := g.Parts[part]
	switch {
	case was == Running && finished:
		g.Parts[part] = Finished
	case was == Running || was == Stopping || was == Asked:
		if g.wish.Parts[part].Effect == placement.AtMostOnce {
			g.harmed = true
		}
		g.Parts[part] = Lost
	default:
		return nil
	}
	return g.without(now, was)
}

// without goes on after a part is no more on its way or no more running.
func (g *Gang) without(now placement.Millis, was PartState) []Act {
	switch g.State {
	case Starting:
		if g.count(Asked, Running, Finished) < g.wish.Need {
			return g.undo(now, true)
		}
		return g.stands(now)
	case Standing:
		return g.mend(now, was)
	case Undoing:
		return g.undone(now)
	}
	return nil
}

// mend goes on with a standing group that lost a part, or whose part could not be replaced.
func (g *Gang) mend(now placement.Millis, was PartState) []Act {
	if g.count(Finished) > 0 || g.count(Asked, Running) >= g.wish.Need {
		return g.done() // its work is coming to its end, or enough of it is left
	}
	lost := slices.Index(g.Parts, Lost)
	if g.wish.OnLoss == Replace && was == Running && lost >= 0 && g.wish.Parts[lost].Effect != placement.AtMostOnce {
		g.Parts[lost] = Asked
		return []Act{{Kind: Ask, Part: lost, Left: g.wish.ReplaceWithin}, {Kind: Wake, At: now + g.wish.ReplaceWithin}}
	}
	return append([]Act{{Kind: Over}}, g.undo(now, false)...)
}

// undo stops what there is of the group: first what is only on its way, which costs least and frees the nodes'
// lines, then what runs, larger parts first. If it may be begun again, the owner waits; else it is told at once.
func (g *Gang) undo(now placement.Millis, mayRetry bool) []Act {
	g.State = Undoing
	var stop []int
	for i, s := range g.Parts {
		// One that ran to its own end has had its effect. Begun again, a deduplicated one had it twice where its mark does
		// not reach: a lost answer had kept the group from standing for longer than that part ran.
		if s == Finished && g.wish.Parts[i].Effect != placement.Idempotent {
			g.harmed = true
		}
		if s != Asked && s != Running {
			continue
		}
		if g.wish.Parts[i].Effect == placement.AtMostOnce {
			g.harmed = true
		}
		stop = append(stop, i)
	}
	slices.SortStableFunc(stop, func(x, y int) int {
		return cmp.Or(cmp.Compare(g.Parts[x], g.Parts[y]), cmp.Compare(g.wish.Parts[y].Size, g.wish.Parts[x].Size))
	})
	g.again = mayRetry && g.owed && !g.harmed && g.tries < mostTries && g.expires-now > pauseFirst+leastStart
	var acts []Act
	if !g.again {
		acts = g.refuse()
	}
	for _, i := range stop {
		g.Parts[i] = Stopping
		acts = append(acts, Act{Kind: Stop, Part: i})
	}
	g.stopAt = now + stopAgain
	acts = append(acts, Act{Kind: Wake, At: g.stopAt})
	return append(acts, g.undone(now)...)
}

// undone goes on once nothing of the group is left.
func (g *Gang) undone(now placement.Millis) []Act {
	if g.count(Asked, Running, Stopping) > 0 {
		return nil
	}
	pause := g.pause()
	if !g.again || g.harmed || g.expires-now < pause+leastStart {
		return g.giveUp(now)
	}
	for i := range g.Parts {
		g.Parts[i] = Idle
	}
	g.State, g.again, g.wake = Pending, false, now+pause
	return []Act{{Kind: Wake, At: g.wake}}
}

// pause is how long a group that fell apart waits. Groups that compete fall apart together; chance parts them,
// and doubling gives one of them the time to stand. Of two alike the one with more parts comes first: it is the
// harder one to place, and room that it does not get at once soon goes to others.
func (g *Gang) pause() placement.Millis {
	h := fnv.New64a()
	var b [16]byte
	binary.BigEndian.PutUint64(b[:8], g.seed)
	binary.BigEndian.PutUint64(b[8:], uint64(g.tries))
	h.Write(b[:])
	chance := float64(h.Sum64()>>11%1024) / 1024
	longest := pauseFirst * placement.Millis(int(1)<<min(g.tries, 8)) / placement.Millis(min(len(g.Parts), 4))
	return pauseFirst + longest*placement.Millis(chance)
}

// Withdraw takes that the owner wants the group no more. It is owed no answer.
func (g *Gang) Withdraw(now placement.Millis) []Act {
	g.owed, g.again = false, false
	switch g.State {
	case Pending:
		return g.giveUp(now)
	case Starting, Standing:
		return g.undo(now, false)
	}
	return nil
}

// Due takes that a time has come.
func (g *Gang) Due(now placement.Millis) []Act {
	switch g.State {
	case Pending:
		if now >= g.wake {
			return g.Begin(now)
		}
	case Starting:
		if now >= g.answerBy() {
			return g.late(now)
		}
	case Undoing:
		var acts []Act
		if g.owed && now >= g.answerBy() {
			g.again = false
			acts = g.refuse()
		}
		if now >= g.stopAt {
			acts = append(acts, g.stopMore(now)...)
		}
		return acts
	}
	return nil
}

// late ends a start whose time is up: if enough parts run the others are called off, else all of it.
func (g *Gang) late(now placement.Millis) []Act {
	if g.count(Running, Finished) < g.wish.Need {
		return g.undo(now, false)
	}
	var acts []Act
	for i, s := range g.Parts {
		if s == Asked {
			g.Parts[i] = Stopping
			acts = append(acts, Act{Kind: Stop, Part: i})
		}
	}
	return append(acts, g.stands(now)...)
}

// stopMore repeats the stops whose end is not known yet.
func (g *Gang) stopMore(now placement.Millis) []Act {
	g.stopAt = now + stopAgain
	acts := []Act{{Kind: Wake, At: g.stopAt}}
	for i, s := range g.Parts {
		if s == Stopping {
			acts = append(acts, Act{Kind: Stop, Part: i})
		}
	}
	return acts
}
