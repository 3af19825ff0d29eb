package platform

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"grebeglade/internal/frontend/platform/codec"
	"grebeglade/internal/transport"
	"grebeglade/placement"
)

func TestAWorkloadGoesFromItsOwnerToANodeAndBack(t *testing.T) {
	r := newRig(t)
	r.says(r.owner, ask(7))
	require.Equal(t, []string{"START"}, r.heard(r.node, 7))
	r.says(r.node, started(7))
	r.says(r.node, finish(7, codec.Well))
	assert.Equal(t, []string{"STARTED", "FINISH 16"}, r.heard(r.owner, 7))
	assert.Empty(t, r.wls)
	assert.Empty(t, r.tags)
	assert.Zero(t, r.pending)
}

func TestWhatStandsIsReleasedWhenItsNodeIsNoMore(t *testing.T) {
	for name, end := range map[string]func(r *rig){
		"nobody listens": func(r *rig) {
			r.Closed(r.at, r.node, errors.New("reset"))
			for range 8 {
				r.pass(300)
				r.Closed(r.at, r.w.to(nodeAddr), transport.ErrConnectionRefused)
			}
		},
		"the list says gone": func(r *rig) {
			r.Closed(r.at, r.node, errors.New("reset"))
			r.Received(r.at, r.w.to(journalAddr), &codec.News{Events: []codec.Event{{ID: 2, Data: listOf(2, "Gone", 0)}}})
		},
		"the list says that it has started anew": func(r *rig) {
			r.pass(100)
			news := &codec.News{Events: []codec.Event{{ID: 2, Data: listOf(2, "Ready", float64(r.wall()))}}}
			r.Received(r.at, r.w.to(journalAddr), news)
		},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			r.says(r.owner, ask(7))
			r.says(r.node, started(7))
			end(r)
			assert.Equal(t, []string{"STARTED", "FINISH 41"}, r.heard(r.owner, 7))
		})
	}
}

func TestAReleaseWithoutItsConnectionGoesOverAnother(t *testing.T) {
	r := newRig(t)
	r.says(r.owner, ask(7))
	r.says(r.node, started(7))
	r.Closed(r.at, r.owner, errors.New("closed"))
	r.says(r.node, finish(7, codec.Well))
	r.Opened(r.at, 2000)
	r.says(2000, ask(8))
	assert.Equal(t, []string{"FINISH 16"}, r.heard(2000, 7))
}

func TestWhatNoOwnerWouldSendIsAnsweredAndGoesNoFurther(t *testing.T) {
	for name, m := range map[string]*codec.Message{
		"a class that is not known": ask(7, "class", "none"),
		"no number":                 ask(7, "extras", "cores:NaN;memory:2;service:07"),
		"below zero":                ask(7, "extras", "cores:-1;memory:2;service:07"),
		"larger than any node":      ask(7, "extras", "cores:1e9;memory:2;service:07"),
		"no figures":                ask(7, "extras", ""),
		"a wait without end":        ask(7, "left", "1e300"),
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			r.says(r.owner, m)
			assert.Equal(t, []string{"FINISH 88"}, r.heard(r.owner, 7))
			assert.Empty(t, r.heard(r.node, 7))
			assert.True(t, r.w.closed[r.owner])
		})
	}
}

func TestATagOfAnotherSetUpTouchesNothing(t *testing.T) {
	r := newRig(t)
	r.says(r.owner, ask(7))
	r.Opened(r.at, 2000)
	r.says(2000, ask(7))
	r.says(2000, finish(7, codec.Well))
	assert.Equal(t, []string{"FINISH 88"}, r.heard(2000, 7))
	r.says(r.node, started(7))
	assert.Equal(t, []string{"STARTED"}, r.heard(r.owner, 7))
}

func TestAConnectionWithoutAWordIsEnded(t *testing.T) {
	r := newRig(t)
	r.pass(muteFor + 100)
	assert.True(t, r.w.closed[r.owner])
}

func TestConnectionsThatNeverSpokeGiveWayFirst(t *testing.T) {
	r := newRig(t)
	r.says(r.owner, ask(7))
	for c := transport.ConnID(2000); c < 2100; c++ {
		r.Opened(r.at, c)
	}
	assert.False(t, r.w.closed[r.owner])
	assert.True(t, r.w.closed[2000])
	assert.LessOrEqual(t, r.owners, r.mostOwners())
}

func TestWhatWasOutOnABrokenConnectionGoesOnByItsGroup(t *testing.T) {
	r := newRig(t)
	r.says(r.owner, ask(7, "class", "trace"))
	r.Closed(r.at, r.node, errors.New("reset"))
	assert.Equal(t, []string{"FINISH 41"}, r.heard(r.owner, 7), "it may have run, and must run once")

	r = newRig(t)
	r.says(r.owner, ask(8))
	r.Closed(r.at, r.node, errors.New("reset"))
	r.pass(2500)
	assert.Equal(t, []string{"FINISH 34"}, r.heard(r.owner, 8), "asking again does no harm")
}

func TestASetUpThatIsTakenBackIsGivenUpAtItsNodeAndNotAnswered(t *testing.T) {
	r := newRig(t)
	r.says(r.owner, ask(7))
	r.says(r.owner, finish(7, codec.Well))
	r.says(r.node, started(7))
	assert.Equal(t, []string{"START", "FINISH 16"}, r.heard(r.node, 7))
	assert.Empty(t, r.heard(r.owner, 7))
	assert.Empty(t, r.wls)
}

func TestABindDoesNotFollowOneThatASilentConnectionSwallowed(t *testing.T) {
	r := newRig(t)
	r.pass(50)
	r.says(r.owner, ask(7))
	r.pass(1500)
	require.Contains(t, r.heard(r.node, 7), "FINISH 16", "it timed out")
	assert.Greater(t, r.w.to(nodeAddr), r.node)
	r.says(r.owner, ask(8))
	assert.Empty(t, r.heard(r.node, 8))
}

func TestStoppingFailsTestsAndAnswersWhatIsPending(t *testing.T) {
	r := newRig(t)
	r.says(r.owner, ask(7))
	r.Drain(r.at)
	r.says(r.owner, codec.Message{Verb: codec.Echo, Tag: 1}.With(codec.Failed))
	last := r.w.sent[r.owner][0].(*codec.Message)
	assert.Equal(t, codec.Echoed, last.Verb)
	assert.Equal(t, codec.Failed, last.Cause)
	r.pass(drainFor + 50)
	assert.False(t, r.Drained(r.at))
	r.says(r.owner, ask(8))
	assert.Equal(t, []string{"FINISH 34"}, r.heard(r.owner, 8))
	r.says(r.node, started(7))
	assert.True(t, r.Drained(r.at))
}

func TestTheJournalIsFollowedOverBreaksSilenceAndNewAddresses(t *testing.T) {
	r := newRig(t)
	first := r.w.to(journalAddr)
	assert.Equal(t, []any{codec.Follow{Host: journalAddr, After: 1}}, r.w.sent[first])
	r.Received(r.at, first, &codec.News{Events: []codec.Event{{ID: 2, Data: listOf(2, "Terminating", 0)}}})
	r.Closed(r.at, first, errors.New("reset"))
	r.pass(200)
	second := r.w.to(journalAddr)
	r.Opened(r.at, second)
	assert.Equal(t, []any{codec.Follow{Host: journalAddr, After: 2}}, r.w.sent[second])
	r.Received(r.at, second, &codec.News{Events: []codec.Event{{ID: 1, Data: listOf(1, "Ready", 0)}}})
	assert.Equal(t, placement.Draining, r.byName["s-01"].entry.State, "what was told before is passed over")
	r.pass(newsWithin + 200)
	third := r.w.to(journalAddr)
	assert.Greater(t, third, second, "it was silent")
	r.Reload(r.at, "127.0.0.7:7070")
	assert.True(t, r.w.closed[third])
	assert.NotZero(t, r.w.to("127.0.0.7:7070"))
}

func TestWhatStandsAlreadyIsTakenOverAndItsEndTold(t *testing.T) {
	r := newRig(t)
	r.says(r.owner, ask(7, "extras", "cores:1;memory:2;service:07;at:s-01"))
	assert.Empty(t, r.heard(r.owner, 7))
	r.says(r.node, finish(7, codec.Well))
	assert.Equal(t, []string{"FINISH 16"}, r.heard(r.owner, 7))
}

func TestAReleaseReachesANodeThatWasNotConnected(t *testing.T) {
	r := newRig(t)
	r.says(r.owner, ask(7))
	r.says(r.node, started(7))
	r.Closed(r.at, r.node, errors.New("reset"))
	r.says(r.owner, finish(7, codec.Well))
	r.pass(200)
	again := r.w.to(nodeAddr)
	require.Greater(t, again, r.node)
	r.Opened(r.at, again)
	assert.Equal(t, []string{"FINISH 16"}, r.heard(again, 7))
}

func TestAllTablesAreBackAtRestAfterManyWorkloadsAndConnections(t *testing.T) {
	r := newRig(t)
	r.says(r.owner, finish(1, codec.Well)) // it spoke, so it stays
	for i := range 3000 {
		tag, c := codec.Tag(10+i), transport.ConnID(10000+i)
		r.Opened(r.at, c)
		r.says(c, ask(tag))
		switch i % 4 {
		case 0:
			r.says(r.w.to(nodeAddr), started(tag))
			r.says(r.w.to(nodeAddr), finish(tag, codec.Well))
		case 1:
			r.says(r.w.to(nodeAddr), finish(tag, codec.Full))
		case 2:
			r.says(c, finish(tag, codec.Well))
		}
		r.Closed(r.at, c, errors.New("closed"))
		r.pass(20)
	}
	r.pass(70e3)
	assert.Empty(t, r.wls)
	assert.Empty(t, r.tags)
	assert.Empty(t, r.probes)
	assert.Empty(t, r.over)
	assert.Zero(t, r.pending)
	assert.LessOrEqual(t, len(r.conns), 3)
	assert.LessOrEqual(t, r.timers.Len(), 10)
	for _, n := range r.nodes {
		assert.Empty(t, n.holds)
		assert.Empty(t, n.unsent)
	}
}

// An owner that has gone gets no bind, also where its set-up is handled before its end. It guards against work for those
// who have left; what stands is ended all the same.
func TestASetUpOfAnOwnerThatHasGoneIsNotBegun(t *testing.T) {
	r := newRig(t)
	r.says(r.owner, ask(6))
	r.says(r.node, started(6))
	r.w.ended[r.owner] = true
	r.says(r.owner, ask(7))
	r.says(r.owner, finish(6, codec.Well))
	assert.Empty(t, r.heard(r.node, 7))
	assert.Equal(t, []string{"START", "FINISH 16"}, r.heard(r.node, 6))
	r.Closed(r.at, r.owner, errors.New("closed"))
	assert.Empty(t, r.heard(r.node, 7))
	assert.Zero(t, r.pending)
}

// listNodes tells of n more nodes, all with room.
func (r *rig) listNodes(n int) {
	var ends []string
	for i := range n {
		ends = append(ends, fmt.Sprintf(`{"name":"m-%02d","address":%q,"zone":"z","type":"small","group":0,"status":"Ready","room":[20,40]}`,
			i, fmt.Sprintf("127.0.1.%d:5080", i)))
	}
	data := fmt.Sprintf(`{"hosts":{"endpoints":[%s]}}`, strings.Join(ends, ","))
	r.Received(r.at, r.w.to(journalAddr), &codec.News{Events: []codec.Event{{ID: 2, Data: []byte(data)}}})
}

// open brings up all connections that are being dialled to nodes, and returns how many there are to nodes.
func (r *rig) open() (n int) {
	for _, c := range inOrder(r.conns) {
		if c.node != nil && !c.opened {
			r.Opened(r.at, c.id)
		}
		if c.node != nil {
			n++
		}
	}
	return n
}

// More nodes than descriptors: each is reached when something is to be said to it, within the nodes' share, and the one
// on which nothing of ours stands gives way. It guards against a process that runs out of descriptors: its listener ends
// for good when it cannot accept. It could harm where nearly all nodes hold something of ours: their ends are heard later.
func TestConnectionsToNodesStayWithinTheirShare(t *testing.T) {
	r := newRig(t)
	r.listNodes(40)
	assert.Equal(t, 1, r.toNodes, "a list alone has nobody dialled")
	require.Less(t, r.mostToNodes(), 40)
	r.says(r.owner, ask(7))
	holder := r.tags[7].node
	r.open()
	r.says(holder.conn.id, started(7))
	for i := range 3 * 40 {
		r.pass(20)
		n := r.byName[fmt.Sprintf("m-%02d", i%40)]
		reached := false
		r.through(n, func(c *conn) { reached = c != nil && c.node == n })
		assert.LessOrEqual(t, r.open(), r.mostToNodes())
		assert.True(t, reached, n.name)
		assert.NotNil(t, holder.conn, "what stands there may end at any time")
	}
	assert.Equal(t, r.toNodes, r.open())
}

// A node whose connection gave way although something of ours stands there is heard again soon.
func TestANodeThatGaveWayIsVisitedAgain(t *testing.T) {
	r := newRig(t)
	r.listNodes(40)
	for i := range 40 {
		n := r.byName[fmt.Sprintf("m-%02d", i)]
		r.says(r.owner, ask(codec.Tag(100+i), "extras", "cores:1;memory:2;service:07;at:"+n.name))
		r.pass(1)
		r.open()
	}
	told := map[string]bool{}
	for range 400 {
		r.pass(20)
		r.open()
		for _, c := range r.conns {
			if c.node != nil && c.opened {
				told[c.node.name] = true
			}
		}
	}
	assert.GreaterOrEqual(t, len(told), 40, "within the 8 s in which owners are to be told")
}

// A connection that is nearly idle for the settings' time is ended by us: a set-up that crosses the node's own close would
// count as one that may have run.
func TestAnIdleConnectionIsEndedBeforeItsNodeDoes(t *testing.T) {
	r := newRig(t)
	r.c.Told.IdleTimeout = 5000
	r.says(r.owner, finish(1, codec.Well)) // it spoke, so it stays
	r.pass(5000*idleShare - 100)
	assert.False(t, r.w.closed[r.node])
	r.pass(100 + pulse + 50)
	assert.True(t, r.w.closed[r.node])
	r.says(r.owner, ask(7))
	again := r.w.to(nodeAddr)
	require.Greater(t, again, r.node)
	r.Opened(r.at, again)
	assert.Equal(t, []string{"START"}, r.heard(again, 7))
}

// What a set-up waited for us is taken off its time, so that its answer comes within it. It guards against answers that are
// late by as much as we were.
func TestWhatASetUpWaitedForUsIsTakenOffItsTime(t *testing.T) {
	r := newRig(t)
	r.pass(1000)
	r.w.late = 700
	r.says(r.owner, ask(7, "class", "trace")) // runs once, so its one bind has all of its time
	r.w.late = 0
	r.pass(2000 - 700 - 30)
	assert.Empty(t, r.heard(r.owner, 7))
	r.pass(30)
	assert.Equal(t, []string{"FINISH 41"}, r.heard(r.owner, 7))
}

// A node that refuses connections is dialled again once that proves it dead, not before: with a hundred of them a small
// core does nothing else. It could harm where a process is up again at once; a bind for it dials it all the same.
func TestANodeThatRefusesIsDialledSparingly(t *testing.T) {
	r := newRig(t)
	r.says(r.owner, ask(7))
	r.says(r.node, started(7))
	r.Closed(r.at, r.node, errors.New("reset"))
	dials, last := 0, r.node
	for range 200 {
		r.pass(20)
		if c := r.w.to(nodeAddr); c != last {
			dials, last = dials+1, c
			r.Closed(r.at, c, transport.ErrConnectionRefused)
		}
	}
	assert.Equal(t, 2, dials-int(r.Counters.Probes), "one that finds nobody, and one that shows that it stays so")
	assert.Equal(t, []string{"STARTED", "FINISH 41"}, r.heard(r.owner, 7))
}

// What a node says of a bind that was given up is not taken for the next one there: neither its answer nor its end. It guards
// against nodes that were silent and then say all at once; it could harm if a node spoke on any connection it likes.
func TestWhatIsSaidOfAnEarlierBindIsNotTakenForTheLast(t *testing.T) {
	r := newRig(t)
	r.pass(50)
	r.says(r.owner, ask(7, "left", "6000"))
	for len(r.heard(r.node, 7)) < 2 {
		r.pass(50)
	}
	second := r.w.to(nodeAddr)
	require.Greater(t, second, r.node, "the first swallowed a bind")
	r.Opened(r.at, second)
	for range 100 {
		if r.pass(50); len(r.heard(second, 7)) > 0 {
			break
		}
	}
	require.Equal(t, []string{"START"}, r.heard(second, 7))
	require.NotNil(t, r.conns[r.node])
	r.says(r.node, started(7))
	assert.Empty(t, r.heard(r.owner, 7))
	r.says(second, started(7))
	r.says(r.node, finish(7, codec.Cancelled))
	assert.Equal(t, []string{"STARTED"}, r.heard(r.owner, 7))
	r.says(second, finish(7, codec.Well))
	assert.Equal(t, []string{"STARTED", "FINISH 16"}, r.heard(r.owner, 7))
}

// A node that answers twice, or whose answer comes together with the end of its connection, has answered once.
func TestAnAnswerThatComesTwiceOrWithAResetCountsOnce(t *testing.T) {
	r := newRig(t)
	r.says(r.owner, ask(7))
	r.says(r.node, started(7))
	r.says(r.node, started(7))
	r.Closed(r.at, r.node, errors.New("reset"))
	assert.Equal(t, []string{"STARTED"}, r.heard(r.owner, 7))
	r.pass(200)
	again := r.w.to(nodeAddr)
	r.Opened(r.at, again)
	r.says(again, finish(7, codec.Well))
	assert.Equal(t, []string{"STARTED", "FINISH 16"}, r.heard(r.owner, 7), "on the next connection")
}

// A bind that waits for its node's connection leaves neither for an owner that has gone nor to a node that drains.
func TestABindThatWaitsForItsConnectionLeavesOnlyIfStillWanted(t *testing.T) {
	for name, meanwhile := range map[string]func(r *rig, n *node){
		"its owner has gone":    func(r *rig, _ *node) { r.Closed(r.at, r.owner, errors.New("closed")) },
		"its owner gives it up": func(r *rig, _ *node) { r.says(r.owner, finish(7, codec.Well)) },
		"the node drains": func(r *rig, n *node) {
			r.Received(r.at, r.w.to(journalAddr), &codec.News{Events: []codec.Event{{ID: 3, Data: listOf(3, "Terminating", 0)}}})
		},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			r.Closed(r.at, r.node, errors.New("closed"))
			r.says(r.owner, ask(7))
			dialled := r.w.to(nodeAddr)
			require.Greater(t, dialled, r.node)
			meanwhile(r, r.byName["s-01"])
			r.Opened(r.at, dialled)
			assert.Empty(t, r.heard(dialled, 7))
			assert.Zero(t, r.pending)
		})
	}
}

// What stands is told before the first list names its node: it is dialled as soon as the list does.
func TestWhatStandsOnANodeThatIsNotListedYetIsHeardOf(t *testing.T) {
	r := newRig(t)
	r.says(r.owner, ask(7, "extras", "cores:1;memory:2;service:07;at:m-00"))
	r.pass(100)
	r.listNodes(1)
	c := r.w.to("127.0.1.0:5080")
	require.NotZero(t, c)
	r.Opened(r.at, c)
	r.says(c, finish(7, codec.Well))
	assert.Equal(t, []string{"FINISH 16"}, r.heard(r.owner, 7))
}

// A journal service that moves twice is followed at its last address, from the last whole event on; what the old one
// still has on its way is told by the new one, and a drain told at once is kept.
func TestAReloadIsFollowedByWhatTheNewServiceTells(t *testing.T) {
	r := newRig(t)
	old := r.w.to(journalAddr)
	r.Reload(r.at, "127.0.0.7:7070")
	r.Reload(r.at, "127.0.0.6:7070")
	last := r.w.to("127.0.0.6:7070")
	assert.True(t, r.w.closed[old])
	assert.True(t, r.w.closed[r.w.to("127.0.0.7:7070")])
	r.Opened(r.at, last)
	assert.Equal(t, []any{codec.Follow{Host: "127.0.0.6:7070", After: 1}}, r.w.sent[last])
	drain := &codec.News{Events: []codec.Event{{ID: 2, Data: listOf(2, "Terminating", 0)}}}
	r.Received(r.at, old, &codec.News{Events: []codec.Event{{ID: 5, Data: listOf(5, "Ready", 0)}}})
	r.Received(r.at, last, drain)
	r.says(r.owner, ask(7))
	assert.Empty(t, r.heard(r.node, 7))
	assert.Equal(t, []string{"FINISH 34"}, r.heard(r.owner, 7))
}

// A whole list that comes late replaces what was known: what it does not name is gone, and what stood there is over.
func TestAWholeListThatComesLateReplacesWhatWasKnown(t *testing.T) {
	r := newRig(t)
	r.listNodes(2)
	r.says(r.owner, ask(7, "extras", "cores:1;memory:2;service:07;at:m-01"))
	whole := fmt.Sprintf(`{"hosts":{"snapshot":true,"endpoints":[{"name":"s-01","address":%q,"zone":"z","type":"small","status":"Ready","room":[20,40]}]}}`, nodeAddr)
	r.Received(r.at, r.w.to(journalAddr), &codec.News{Events: []codec.Event{{ID: 9, Data: []byte(whole)}}})
	assert.Equal(t, []string{"FINISH 41"}, r.heard(r.owner, 7))
	assert.Nil(t, r.byName["m-01"])
	assert.NotNil(t, r.byName["s-01"])
	r.Received(r.at, r.w.to(journalAddr), &codec.News{Events: []codec.Event{{ID: 8, Data: listOf(8, "Gone", 0)}}})
	assert.Equal(t, placement.Ready, r.byName["s-01"].entry.State, "an earlier number revives nothing and ends nothing")
}

// A release that waits for its node's connection is sent before the process leaves, or given up after a while.
func TestAReleaseThatWaitsHoldsTheEndUpForAWhile(t *testing.T) {
	for _, comesUp := range []bool{true, false} {
		r := newRig(t)
		r.says(r.owner, ask(7))
		r.says(r.node, started(7))
		r.Drain(r.at)
		r.Closed(r.at, r.node, errors.New("reset"))
		r.says(r.owner, finish(7, codec.Well))
		r.pass(drainFor + 50)
		assert.False(t, r.Drained(r.at))
		if comesUp {
			r.Opened(r.at, r.w.to(nodeAddr))
			assert.Equal(t, []string{"FINISH 16"}, r.heard(r.w.to(nodeAddr), 7))
		} else {
			r.pass(leaveWithin)
		}
		assert.True(t, r.Drained(r.at))
	}
}

// A new node at the address of one that the list still names: the old one's binds must not reach it, and what stood on the old
// one is over. It guards against lists that are behind; it could harm if two nodes really shared an address.
func TestANodeThatTakesOverAnAddressEndsTheOneBefore(t *testing.T) {
	r := newRig(t)
	r.says(r.owner, ask(7))
	r.says(r.node, started(7))
	data := fmt.Sprintf(`{"hosts":{"endpoints":[{"name":"s-02","address":%q,"zone":"z","type":"small","status":"Ready","room":[0,0]}]}}`, nodeAddr)
	r.Received(r.at, r.w.to(journalAddr), &codec.News{Events: []codec.Event{{ID: 2, Data: []byte(data)}}})
	assert.Equal(t, []string{"STARTED", "FINISH 41"}, r.heard(r.owner, 7))
	assert.True(t, r.w.closed[r.node])
	r.says(r.owner, ask(8))
	assert.Equal(t, r.node, r.w.to(nodeAddr), "nobody is dialled there for the old one")
	assert.Equal(t, []string{"FINISH 34"}, r.heard(r.owner, 8))
	r.Received(r.at, r.w.to(journalAddr), &codec.News{Events: []codec.Event{{ID: 3, Data: listOf(3, "Gone", 0)}}})
	assert.NotNil(t, r.byName["s-02"])
	assert.Equal(t, r.byName["s-02"], r.addrs[nodeAddr])
}

// A node that has lost a connection which still stands for us tells an end on another one: its owner is told. It guards
// against an end that is passed over since it does not come where its set-up went.
func TestAnEndIsHeardOnAnyConnectionOfItsNode(t *testing.T) {
	r := newRig(t)
	r.pass(50)
	r.says(r.owner, ask(7))
	r.says(r.node, started(7))
	r.pass(50)
	r.says(r.owner, ask(8))
	for r.w.to(nodeAddr) == r.node {
		r.pass(50)
	}
	second := r.w.to(nodeAddr) // the first swallowed a bind
	r.Opened(r.at, second)
	require.NotNil(t, r.conns[r.node])
	r.says(second, finish(7, codec.Well))
	assert.Equal(t, []string{"STARTED", "FINISH 16"}, r.heard(r.owner, 7))
}

// Clients that ask once and stay, by the thousand, neither push out the connection of an owner with much that stands, also
// where it was silent for longer, nor are told the ends of its workloads. It could harm an owner of whom little was placed.
func TestAnOwnerWithMuchPlacedOutlastsThoseWhoAskOnce(t *testing.T) {
	r := newRig(t)
	gone := transport.ConnID(1999)
	r.Opened(r.at, gone)
	r.says(gone, ask(6))
	r.says(r.node, started(6))
	for tag := codec.Tag(7); tag < 9; tag++ {
		r.says(r.owner, ask(tag))
		r.says(r.node, started(tag))
	}
	r.Closed(r.at, gone, errors.New("closed"))
	for i := range 100 {
		r.pass(20)
		c, tag := transport.ConnID(2000+i), codec.Tag(100+i)
		r.Opened(r.at, c)
		r.says(c, ask(tag))
		r.says(r.node, started(tag))
		r.says(r.node, finish(tag, codec.Well))
	}
	assert.False(t, r.w.closed[r.owner])
	assert.LessOrEqual(t, r.owners, r.mostOwners())
	r.says(r.node, finish(6, codec.Well))
	r.says(r.node, finish(7, codec.Well))
	assert.Equal(t, []string{"FINISH 16"}, r.heard(r.owner, 6))
	assert.Equal(t, []string{"STARTED", "FINISH 16"}, r.heard(r.owner, 7))
}

// A test passes once the journal service was heard, so that nothing is placed by what the configuration knew before the
// start: a drain told in between counts. Where the service is not heard it passes all the same, a little later.
func TestATestPassesOnceTheJournalWasHeard(t *testing.T) {
	test := codec.Message{Verb: codec.Echo, Tag: 1}.With(codec.Failed)
	for name, hear := range map[string]func(r *rig){
		"what was missed": func(r *rig) {
			r.Received(r.at, r.w.to(journalAddr), &codec.News{Events: []codec.Event{{ID: 2, Data: listOf(2, "Terminating", 0)}}})
		},
		"that nothing was": func(r *rig) { r.Received(r.at, r.w.to(journalAddr), &codec.News{}); r.pass(readyAfter + 10) },
		"nothing":          func(r *rig) { r.pass(readyMost) },
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			r.says(r.owner, test)
			assert.Empty(t, r.w.sent[r.owner])
			hear(r)
			require.Len(t, r.w.sent[r.owner], 1)
			assert.Equal(t, codec.Passed, r.w.sent[r.owner][0].(*codec.Message).Cause)
			assert.Empty(t, r.tests)
		})
	}
}
