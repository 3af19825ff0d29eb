package loadgen

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func allRequests(s Schedule) (requests []Request) {
	for r, ok := s.Next(); ok; r, ok = s.Next() {
		requests = append(requests, r)
	}
	return requests
}

// countBetween counts the requests of an interval.
func countBetween(requests []Request, from, until time.Duration) (n int) {
	for _, r := range requests {
		if from <= r.At && r.At < until {
			n++
		}
	}
	return n
}

var shape = Shape{Group: "serve", Cores: 1, Services: 5, PendingTimeout: time.Second, RunTime: time.Second}

func TestMake_KeepsRate(t *testing.T) {
	requests := allRequests(NewRandom(Rate{From: 200, To: 200, For: 10 * time.Second}, shape, 1))
	assert.InDelta(t, 2000, len(requests), 4*45)
	assert.Equal(t, requests, allRequests(NewRandom(Rate{From: 200, To: 200, For: 10 * time.Second}, shape, 1)), "the same seed")
	assert.NotEqual(t, requests, allRequests(NewRandom(Rate{From: 200, To: 200, For: 10 * time.Second}, shape, 2)))

	even := allRequests(NewRandom(Rate{From: 200, To: 200, For: 10 * time.Second, Evenly: true}, shape, 1))
	assert.InDelta(t, 2000, len(even), 1)
	assert.InDelta(t, 5, float64(even[101].At-even[100].At)/1e6, 0.2)

	ramp := allRequests(NewRandom(Rate{From: 0, To: 400, For: 10 * time.Second}, shape, 1))
	assert.InDelta(t, 2000, len(ramp), 4*45)
	assert.InDelta(t, 500, countBetween(ramp, 0, 5*time.Second), 4*23)

	burst := allRequests(NewRandom(Rate{
		From: 100, To: 100, For: 10 * time.Second, Burst: 5, BurstFor: time.Second, Every: 5 * time.Second,
	}, shape, 1))
	assert.InDelta(t, 1000, countBetween(burst, 0, time.Second)+countBetween(burst, 5*time.Second, 6*time.Second), 4*32)
	assert.InDelta(t, 800, countBetween(burst, time.Second, 5*time.Second)+countBetween(burst, 6*time.Second, 10*time.Second), 4*29)
	for _, r := range []Rate{{From: 1}, {For: 1}, {From: -1, To: 2, For: 1}, {From: 1, For: 1, Burst: 2}} {
		assert.Error(t, r.Check())
	}
}
