package gang

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"grebeglade/placement"
)

// started is a group of parts of one effect that has been begun, all of it offered.
func started(need int, w Wish, effects ...placement.Idempotency) *Gang {
	for i, e := range effects {
		w.Parts = append(w.Parts, Part{Effect: e, Size: float64(i)})
	}
	w.Need = need
	if w.Left == 0 {
		w.Left = 10e3
	}
	g := New(0, w, 1)
	g.Begin(0)
	g.Tried(0, slices.Repeat([]bool{true}, len(effects)))
	return g
}

func up(g *Gang, parts ...int) (acts []Act) {
	for _, p := range parts {
		acts = g.Up(10, p)
	}
	return acts
}

// kinds are what acts want, with parts where they name one.
func kinds(acts []Act) (words []string) {
	names := []string{"try", "ask", "stop", "place", "reject", "give up", "keep", "over", "wake", "forget"}
	for _, a := range acts {
		word := names[a.Kind]
		if a.Kind == Ask || a.Kind == Stop {
			word += fmt.Sprint(" ", a.Part)
		}
		words = append(words, word)
	}
	return words
}

const safe = placement.Idempotent

func TestAGroupStandsOnceAllOfItRuns(t *testing.T) {
	g := New(0, Wish{Parts: []Part{{Size: 0.1}, {Size: 0.9}}, Left: 5e3}, 1)
	acts := g.Begin(0)
	assert.Equal(t, []int{1, 0}, acts[0].Parts, "the larger part first")
	assert.Equal(t, 1, New(0, Wish{Parts: make([]Part, 2)}, 1).wish.Need)
	g = started(2, Wish{}, safe, safe)
	assert.Empty(t, g.Up(10, 1))
	assert.Equal(t, []string{"keep", "place"}, kinds(g.Up(11, 0)))
	assert.Empty(t, g.Ended(50, 0, true))
	assert.Equal(t, []string{"over", "forget"}, kinds(g.Ended(60, 1, true)))
}

func TestWhatDoesNotFitAsAWholeIsRejectedAtOnce(t *testing.T) {
	g := New(0, Wish{Parts: make([]Part, 3), Need: 2, Left: 5e3}, 1)
	g.Begin(0)
	assert.Equal(t, []string{"reject", "forget"}, kinds(g.Tried(0, []bool{false, false, false})))
	g = New(0, Wish{Parts: make([]Part, 2), Need: 2, Left: 100}, 1)
	assert.Equal(t, []string{"reject", "forget"}, kinds(g.Begin(0)), "no time for a start")
}

func TestTheLastPartRejectedUndoesTheOthersAndTriesAgain(t *testing.T) {
	g := started(3, Wish{}, safe, safe, safe)
	up(g, 0)
	acts := g.Failed(20, 2, false)
	assert.Equal(t, []string{"stop 1", "stop 0", "wake"}, kinds(acts), "what is on its way before what runs")
	assert.Empty(t, g.Up(21, 1), "its stop is on the way")
	assert.Empty(t, g.Ended(30, 0, false))
	acts = g.Ended(40, 1, false)
	require.Equal(t, []string{"wake"}, kinds(acts))
	assert.Greater(t, acts[0].At, placement.Millis(40)+pauseFirst-1)
	assert.Equal(t, []string{"try", "wake"}, kinds(g.Due(acts[0].At)))
	assert.Equal(t, 2, g.Tries())
}

func TestTheBudgetOfTriesEnds(t *testing.T) {
	g := started(2, Wish{Left: 100e3}, safe, safe)
	now := placement.Millis(0)
	for try := 1; ; try++ {
		acts := g.Failed(now, 0, false)
		if try == mostTries {
			assert.Equal(t, []string{"reject", "stop 1", "wake"}, kinds(acts), "told at once, not when all is undone")
			assert.Equal(t, []string{"forget"}, kinds(g.Ended(now, 1, false)))
			return
		}
		now = g.Ended(now, 1, false)[0].At
		g.Due(now)
		g.Tried(now, []bool{true, true})
	}
}

func TestAPartThatMayHaveRunAndMustNotTwiceEndsTheGroup(t *testing.T) {
	for _, effect := range []placement.Idempotency{placement.AtMostOnce, placement.IdempotentByKey} {
		g := started(2, Wish{}, effect, safe)
		assert.Equal(t, []string{"give up", "stop 1", "wake"}, kinds(g.Failed(20, 0, true)))
	}
	// It was started and stopped: it has run.
	g := started(2, Wish{}, placement.AtMostOnce, safe)
	up(g, 0)
	assert.Equal(t, []string{"give up", "stop 0", "wake"}, kinds(g.Failed(20, 1, false)))
	// A restartable one may run twice; it never ran, so it may be tried again.
	g = started(2, Wish{}, safe, safe)
	assert.Equal(t, []string{"stop 1", "wake"}, kinds(g.Failed(20, 0, true)))
	g = started(2, Wish{}, placement.AtMostOnce, safe)
	assert.Equal(t, []string{"stop 1", "wake"}, kinds(g.Failed(20, 0, false)), "it never ran")
}

func TestANodeThatFailsAfterItsPartStarted(t *testing.T) {
	g := started(2, Wish{}, safe, safe)
	up(g, 0)
	assert.Equal(t, []string{"stop 1", "wake"}, kinds(g.Ended(20, 0, false)))
	// Standing: the group's own policy says.
	g = started(2, Wish{}, safe, safe)
	up(g, 0, 1)
	assert.Equal(t, []string{"over", "stop 1", "wake"}, kinds(g.Ended(20, 0, false)))
	g = started(2, Wish{OnLoss: Replace, ReplaceWithin: 3e3}, safe, safe)
	up(g, 0, 1)
	acts := g.Ended(20, 0, false)
	assert.Equal(t, []string{"ask 0", "wake"}, kinds(acts))
	assert.Equal(t, placement.Millis(3e3), acts[0].Left)
	assert.Equal(t, []string{"keep"}, kinds(g.Up(900, 0)))
	g.Ended(1000, 1, false)
	assert.Equal(t, []string{"over", "stop 0", "wake"}, kinds(g.Failed(1200, 1, false)))
	g = started(2, Wish{OnLoss: Replace, ReplaceWithin: 3e3}, placement.AtMostOnce, safe)
	up(g, 0, 1)
	assert.Equal(t, []string{"over", "stop 1", "wake"}, kinds(g.Ended(20, 0, false)), "it must not start twice")
	// More parts than needed: one may go.
	g = started(1, Wish{}, safe, safe)
	up(g, 0, 1)
	assert.Empty(t, g.Ended(20, 0, false))
}

func TestThePendingTimeoutInTheMiddle(t *testing.T) {
	g := started(2, Wish{Left: 5e3}, safe, safe)
	up(g, 0)
	assert.Equal(t, []string{"reject", "stop 1", "stop 0", "wake"}, kinds(g.Due(4990)))
	// Of undoing: the owner is answered, the stops go on.
	g = started(2, Wish{Left: 5e3}, safe, safe)
	up(g, 0)
	g.Failed(20, 1, false)
	assert.Equal(t, []string{"wake", "stop 0"}, kinds(g.Due(2020)), "a stop that came to nothing is repeated")
	assert.Equal(t, []string{"reject", "wake", "stop 0"}, kinds(g.Due(4990)))
	assert.Equal(t, []string{"forget"}, kinds(g.Ended(5100, 0, false)))
	// Enough run when the time is up: the rest is called off, and the group stands.
	g = started(1, Wish{Left: 5e3}, safe, safe)
	up(g, 0)
	assert.Equal(t, []string{"stop 1", "keep", "place"}, kinds(g.Due(4990)))
	assert.Empty(t, g.Ended(5000, 1, false))
	assert.Equal(t, Standing, g.State)
}

func TestAWithdrawnGroupIsUndoneAndOwedNothing(t *testing.T) {
	g := started(2, Wish{}, safe, safe)
	up(g, 0)
	assert.Equal(t, []string{"stop 1", "stop 0", "wake"}, kinds(g.Withdraw(20)))
	assert.Empty(t, g.Withdraw(21))
	g.Ended(30, 0, false)
	assert.Equal(t, []string{"forget"}, kinds(g.Ended(31, 1, false)))
	g = started(2, Wish{}, safe, safe)
	g.Failed(20, 0, false)
	g.Ended(21, 1, false)
	assert.Equal(t, Pending, g.State)
	assert.Equal(t, []string{"forget"}, kinds(g.Withdraw(30)))
}

func TestAfterARestartAGroupGoesOnOrNothingOfItIsLeft(t *testing.T) {
	w := Wish{Parts: make([]Part, 3), Need: 2}
	_, acts := Recover(0, w, []bool{true, true, false}, true, 1)
	assert.Equal(t, []string{"keep"}, kinds(acts))
	_, acts = Recover(0, w, []bool{true, true, true}, false, 1)
	assert.Equal(t, []string{"stop 0", "stop 1", "stop 2", "wake"}, kinds(acts))
	g, acts := Recover(0, w, []bool{false, true, false}, true, 1)
	assert.Equal(t, []string{"stop 1", "wake"}, kinds(acts))
	assert.Equal(t, []string{"forget"}, kinds(g.Ended(10, 1, false)))
}

// world is all of a small world: two groups of two parts, two nodes with room for one part each. The groups are
// at allocators that share nothing. Small letters of what can happen are tried in every order.
type world struct {
	gangs   [2]Gang
	parts   [2][2]PartState
	now     [2]placement.Millis
	wakes   [2]placement.Millis // the next one, 0 for none
	at      [2][2]int           // node that a part's offer went to, -1 for none
	phase   [2][2]string        // offered, runs, stopping
	orphans [2]bool             // by node: a part runs there that was given up
	fault   bool                // it has happened
	answers [2]int
	broken  string
}

func (w world) clone() world {
	for i := range w.gangs {
		w.gangs[i].Parts = slices.Clone(w.gangs[i].Parts)
	}
	return w
}

func (w *world) holds(node int) bool {
	for g := range w.at {
		for p := range w.at[g] {
			if w.at[g][p] == node && (w.phase[g][p] == "runs" || w.phase[g][p] == "stopping") {
				return true
			}
		}
	}
	return w.orphans[node]
}

// do carries out what a group wants. How a Try goes is given.
func (w *world) do(g int, acts []Act, try []int) {
	for _, a := range acts {
		switch a.Kind {
		case Try:
			for p := range 2 {
				if w.phase[g][p] != "" {
					w.broken = "a part is asked for while it stands"
				}
				if try != nil {
					w.at[g][p], w.phase[g][p] = try[p], "offered"
				}
			}
			w.do(g, w.gangs[g].Tried(w.now[g], []bool{try != nil, try != nil}), nil)
		case Stop:
			if w.phase[g][a.Part] == "offered" || w.phase[g][a.Part] == "runs" {
				w.phase[g][a.Part] = "stopping"
			}
		case Place, Reject, GiveUp:
			w.answers[g]++
		case Wake:
			w.wakes[g] = a.At
		case Forget:
			w.wakes[g] = 0
		}
	}
}

// next are all worlds that can come of this one by one thing that happens.
func (w world) next() (all []world) {
	try := func(change func(*world)) {
		c := w.clone()
		change(&c)
		all = append(all, c)
	}
	tries := [][]int{nil, {0, 1}, {1, 0}}
	for g := range 2 {
		if w.gangs[g].State == Pending && w.gangs[g].tries == 0 {
			for _, t := range tries {
				try(func(c *world) { c.do(g, c.gangs[g].Begin(0), t) })
			}
			continue
		}
		if w.wakes[g] > 0 && w.wakes[g] < 2500 && w.gangs[g].State != Standing {
			for _, t := range tries {
				try(func(c *world) {
					c.now[g], c.wakes[g] = max(c.now[g], c.wakes[g]), 0
					c.do(g, c.gangs[g].Due(c.now[g]), t)
				})
			}
		}
		for p := range 2 {
			w.partNext(g, p, try)
		}
	}
	for node := range 2 { // an undeclared part's lease ends
		if w.orphans[node] {
			try(func(c *world) { c.orphans[node] = false })
		}
	}
	if !w.fault {
		for node := range 2 { // it crashes: what stood there has ended
			if !w.holds(node) {
				continue
			}
			try(func(c *world) {
				c.fault, c.orphans[node] = true, false
				for g := range 2 {
					for p := range 2 {
						if c.at[g][p] == node && c.phase[g][p] != "" && c.phase[g][p] != "offered" {
							c.at[g][p], c.phase[g][p] = -1, ""
							c.do(g, c.gangs[g].Ended(c.now[g], p, false), nil)
						}
					}
				}
			})
		}
	}
	return all
}

func (w world) partNext(g, p int, try func(func(*world))) {
	end := func(c *world, phase string) { c.phase[g][p] = phase; c.at[g][p] = -1 }
	switch w.phase[g][p] {
	case "offered":
		if w.holds(w.at[g][p]) {
			try(func(c *world) { end(c, ""); c.do(g, c.gangs[g].Failed(c.now[g], p, false), nil) })
			return
		}
		try(func(c *world) { c.phase[g][p] = "runs"; c.do(g, c.gangs[g].Up(c.now[g], p), nil) })
		if !w.fault { // the answer is lost: it runs, and nobody knows
			try(func(c *world) {
				c.fault, c.orphans[c.at[g][p]] = true, true
				end(c, "")
				c.do(g, c.gangs[g].Failed(c.now[g], p, true), nil)
			})
		}
	case "stopping":
		try(func(c *world) { end(c, ""); c.do(g, c.gangs[g].Ended(c.now[g], p, false), nil) })
	}
}

// Every order of everything that can happen to two groups of two parts on two nodes, with one fault.
func TestNoOrderOfEventsLeavesAPartOfAGroup(t *testing.T) {
	for _, effect := range []placement.Idempotency{placement.Idempotent, placement.AtMostOnce} {
		var first world
		for g := range 2 {
			first.gangs[g] = *New(0, Wish{Parts: []Part{{Effect: effect}, {Effect: effect}}, Need: 2, Left: 1500}, uint64(g))
			first.at[g] = [2]int{-1, -1}
		}
		seen, open, ends, stood := map[string]bool{}, []world{first}, 0, 0
		for len(open) > 0 {
			w := open[len(open)-1]
			open = open[:len(open)-1]
			key := fmt.Sprintf("%+v", w)
			if seen[key] {
				continue
			}
			seen[key] = true
			require.Empty(t, w.broken, key)
			require.Less(t, len(seen), 400000)
			next := w.next()
			open = append(open, next...)
			if len(next) > 0 {
				continue
			}
			ends++
			for g := range 2 {
				require.Equal(t, 1, w.answers[g], "one answer: %s", key)
				state, runs := w.gangs[g].State, 0
				for p := range 2 {
					if w.phase[g][p] != "" {
						runs++
					}
				}
				if state == Standing {
					stood++
					require.Equal(t, 2, runs, key)
				} else {
					require.Equal(t, GivenUp, state, key)
					require.Zero(t, runs, key)
				}
			}
		}
		assert.NotZero(t, stood)
		t.Logf("effect %d: %d states, %d of them ends, %d groups stood", effect, len(seen), ends, stood)
		assert.Greater(t, len(seen), 1000)
	}
}

// A network that held a group's ask up had it answered after its owner had given up: the margin grows with the time.
func TestAGroupIsAnsweredEarlyByAShareOfItsTime(t *testing.T) {
	for left, want := range map[placement.Millis]placement.Millis{500: 480, 8000: 7840} {
		g := New(1000, Wish{Left: left, Need: 1, Parts: []Part{{Size: 1}}}, 1)
		var wakes []placement.Millis
		for _, a := range g.Begin(1000) {
			if a.Kind == Wake {
				wakes = append(wakes, a.At)
			}
		}
		assert.Equal(t, []placement.Millis{1000 + want}, wakes)
	}
}

func TestAGroupOneOfWhosePartsRanToItsEndIsNotBegunAgain(t *testing.T) {
	for effect, again := range map[placement.Idempotency]bool{placement.Idempotent: true, placement.IdempotentByKey: false} {
		g := New(0, Wish{Left: 8000, Need: 2, Parts: []Part{{Size: 1, Effect: effect}, {Size: 1, Effect: effect}}}, 1)
		g.Begin(0)
		g.Tried(0, []bool{true, true})
		g.Up(10, 0)
		g.Ended(500, 0, true)
		acts := g.Failed(600, 1, false)
		refused := slices.ContainsFunc(acts, func(a Act) bool { return a.Kind == Reject || a.Kind == GiveUp })
		assert.Equal(t, again, !refused, "%v: %v", effect, acts)
	}
}
