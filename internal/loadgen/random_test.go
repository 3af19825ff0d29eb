package loadgen

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// allRequests returns all requests of a schedule.
func allRequests(schedule Schedule) (requests []Request) {
	for {
		request, ok := schedule.Next()
		if !ok {
			return requests
		}
		requests = append(requests, request)
	}
}

// countBetween counts the requests due in the interval [from, until).
func countBetween(requests []Request, from, until time.Duration) (count int) {
	for _, request := range requests {
		if from <= request.At && request.At < until {
			count++
		}
	}
	return count
}

// steadyRate returns a constant rate without bursts, for 10 s.
func steadyRate(perSecond float64) Rate {
	return Rate{
		From: perSecond,
		To:   perSecond,
		For:  10 * time.Second,
	}
}

// randomRequests returns the random requests at a rate with seed 1.
func randomRequests(rate Rate) []Request { return allRequests(NewRandom(rate, testShape, 1)) }

var testShape = Shape{
	Group:          "serve",
	Cores:          1,
	Services:       5,
	PendingTimeout: time.Second,
	RunTime:        time.Second,
}

// The tolerances of 4*N in this and the next tests are four standard deviations N of a Poisson process.
func TestRandom_SteadyRate(t *testing.T) {
	rate := steadyRate(200)
	requests := randomRequests(rate)
	assert.InDelta(t, 2000, len(requests), 4*45)
	assert.Equal(t, requests, randomRequests(rate), "the same seed gives the same requests")
	assert.NotEqual(t, requests, allRequests(NewRandom(rate, testShape, 2)), "another seed gives other requests")
}

func TestRandom_EvenIntervals(t *testing.T) {
	rate := steadyRate(200)
	rate.Evenly = true
	requests := randomRequests(rate)
	assert.InDelta(t, 2000, len(requests), 1)
	interval := requests[101].At - requests[100].At
	assert.InDelta(t, 5, toMillis(interval), 0.2)
}

func TestRandom_GrowingRate(t *testing.T) {
	rate := steadyRate(400)
	rate.From = 0
	requests := randomRequests(rate)
	assert.InDelta(t, 2000, len(requests), 4*45)
	assert.InDelta(t, 500, countBetween(requests, 0, 5*time.Second), 4*23)
}

func TestRandom_Bursts(t *testing.T) {
	rate := steadyRate(100)
	rate.Burst = 5
	rate.BurstFor = time.Second
	rate.Every = 5 * time.Second
	requests := randomRequests(rate)
	during := countBetween(requests, 0, time.Second) +
		countBetween(requests, 5*time.Second, 6*time.Second)
	between := countBetween(requests, time.Second, 5*time.Second) +
		countBetween(requests, 6*time.Second, 10*time.Second)
	assert.InDelta(t, 1000, during, 4*32)
	assert.InDelta(t, 800, between, 4*29)
}

func TestRateCheck_ImpossibleRate_IsAnError(t *testing.T) {
	negative := steadyRate(2)
	negative.From = -1
	burstWithoutTimes := steadyRate(1)
	burstWithoutTimes.Burst = 2
	for name, rate := range map[string]Rate{
		"no duration":         {From: 1},
		"no rate":             {For: time.Second},
		"negative rate":       negative,
		"burst without times": burstWithoutTimes,
	} {
		t.Run(name, func(t *testing.T) { assert.Error(t, rate.Check()) })
	}
}
