package endtoend_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"grebeglade/internal/frontend/platform/codec"
)

// writeSlowly writes text in pieces of a size, one each interval, until it ends or the connection does.
func (c *client) writeSlowly(text string, size int, interval time.Duration) {
	for len(text) > 0 {
		piece := text[:min(size, len(text))]
		text = text[len(piece):]
		if _, err := c.Write([]byte(piece)); err != nil {
			return
		}
		time.Sleep(interval)
	}
}

// unending is the beginning of a line that never ends.
var unending = `{"verb":"START","tag":"9b1f03aa5c7e2d41","blob":"` + strings.Repeat("x", 64<<10)

// Guards against clients that keep a connection by sending just fast enough, or late.
func TestClient_FirstMessageDoesNotEnd_ConnectionEnds(t *testing.T) {
	t.Parallel()
	_, _, cs := startCluster(t, 1)
	for name, send := range map[string]func(c *client){
		"drips above the accepted rate": func(c *client) { c.writeSlowly(unending, 120, 100*time.Millisecond) },
		"drips one byte at a time":      func(c *client) { c.writeSlowly(unending, 1, 20*time.Millisecond) },
		"begins late and stops": func(c *client) {
			time.Sleep(1900 * time.Millisecond)
			c.write(unending[:4<<10])
		},
		"begins late and pauses": func(c *client) {
			time.Sleep(1500 * time.Millisecond)
			c.writeSlowly(unending, 3<<10, 1500*time.Millisecond)
		},
		"says nothing": func(*client) {},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := cs.connect(t)
			connected := time.Now()
			go send(c)
			c.assertEnded(t, connected, invalidLimit)
		})
	}
}

// Guards against clients that keep a connection with messages that no reply follows.
func TestClient_OnlyMessagesWithoutEffect_ConnectionEnds(t *testing.T) {
	t.Parallel()
	_, _, cs := startCluster(t, 1)
	for _, message := range []string{
		`{"verb":"FINISH","tag":"00000000000000aa","opts":{},"rc":16}`,
		`{"verb":"FINISHED","tag":"00000000000000aa","opts":{}}`,
		`{"verb":"PENDING","tag":"00000000000000aa","opts":{}}`,
		`{"verb":"NOTICE","tag":"00000000000000aa","opts":{}}`,
		`{"verb":"ECHOED","tag":"00000000000000aa","opts":{},"rc":1}`,
		`{"verb":"MOVE","tag":"00000000000000aa","opts":{}}`,
	} {
		t.Run(message[9:16], func(t *testing.T) {
			t.Parallel()
			c := cs.connect(t)
			connected := time.Now()
			go c.writeSlowly(strings.Repeat(message+"\n", 40), len(message)+1, 300*time.Millisecond)
			c.assertEnded(t, connected, invalidLimit)
		})
	}
}

// Guards against a limit that strikes a client which is slow and sound.
func TestClient_SlowButSound_Answered(t *testing.T) {
	t.Parallel()
	_, _, cs := startCluster(t, 1)
	tag := newTag()
	request := placeRequest(tag, 0.25, "")
	padded := strings.Replace(request, `"blob":"`, `"blob":"`+strings.Repeat("x", 12600-len(request)), 1)
	c := cs.connect(t)
	c.writeSlowly(padded, len(padded)/15, 100*time.Millisecond)
	require.Eventually(t, func() bool { return len(cs.about(tag)) > 0 }, 6*time.Second, 5*time.Millisecond)
	assert.Equal(t, placedVerb, cs.about(tag)[0].Verb)
	select {
	case <-c.ended:
		assert.Fail(t, "the connection of a placed workload has ended")
	case <-time.After(5 * time.Second):
	}
}

// Guards against requests that get no answer since something else on their connection cannot be accepted.
func TestClient_InvalidMessageAfterRequests_RequestsAnswered(t *testing.T) {
	t.Parallel()
	nodes := startNodes(t, 2)
	for _, n := range nodes {
		n.startTime = 500 * time.Millisecond
	}
	cs := newClients(startAllocator(t, startDiscovery(t, nodes...)))
	for name, message := range map[string]string{
		"line that is no JSON":     "noise\n",
		"unknown verb":             `{"verb":"NONSENSE","tag":"00000000000000aa","opts":{}}` + "\n",
		"line without an end":      strings.Repeat("x", 20<<10),
		"request without a figure": `{"verb":"START","tag":"00000000000000ab","opts":{"class":"tiles"},"blob":"b"}` + "\n",
		"unknown class": strings.Replace(placeRequest(0xac, 1, ""), `"class":"tiles"`,
			`"class":"none"`, 1),
		"message of the other side": `{"verb":"STARTED","tag":"00000000000000ad","opts":{},"blob":"b"}` + "\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := cs.connect(t)
			tags := make([]codec.Tag, 0, 10)
			for range cap(tags) {
				tags = append(tags, c.request())
			}
			time.Sleep(100 * time.Millisecond)
			c.write(message)
			assert.Eventually(t, func() bool { return cs.answered(tags) == len(tags) }, 6500*time.Millisecond,
				10*time.Millisecond)
			assert.Equal(t, len(tags), cs.answered(tags))
			c.assertEnded(t, time.Now(), invalidLimit)
		})
	}
}
