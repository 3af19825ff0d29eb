package gang

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"

	"grebeglade/placement"
)

// seed is the gang's seed in tests whose result does not depend on the seed.
const seed = 1

// idempotencyNames are the texts for idempotencies in the names of test cases.
var idempotencyNames = map[placement.Idempotency]string{
	placement.Idempotent:      "idempotent",
	placement.IdempotentByKey: "idempotent by key",
	placement.AtMostOnce:      "at-most-once",
}

// actionNames are the texts for actions that assertActions compares.
var actionNames = map[ActionKind]string{
	Attempt:             "attempt",
	RequestPart:         "request",
	StopPart:            "stop",
	AnswerPlaced:        "placed",
	AnswerRejected:      "rejected",
	AnswerUnschedulable: "unschedulable",
	ConfirmParts:        "confirm",
	ReportEnd:           "report end",
	SetTimer:            "timer",
	Forget:              "forget",
}

// newRequest returns a request for one part of each given idempotency. Each part is larger than the one before.
func newRequest(minParts int, idempotencies ...placement.Idempotency) Request {
	request := Request{MinParts: minParts, PendingTimeout: 10e3}
	for part, idempotency := range idempotencies {
		request.Parts = append(request.Parts, Part{Idempotency: idempotency, Size: float64(part)})
	}
	return request
}

// newPairRequest returns a request for two idempotent parts that must both run.
func newPairRequest() Request { return newRequest(2, placement.Idempotent, placement.Idempotent) }

// startOffered returns a gang that was started at time 0 and has all parts offered to nodes.
func startOffered(request Request) *Gang {
	gang := New(0, request, seed)
	gang.Start(0)
	gang.AttemptResult(partNumbers(len(request.Parts)))
	return gang
}

// partNumbers returns the part numbers of a gang with the given number of parts.
func partNumbers(parts int) []int {
	numbers := make([]int, parts)
	for part := range numbers {
		numbers[part] = part
	}
	return numbers
}

// startParts returns the gang of startOffered after the given parts have started.
func startParts(request Request, parts ...int) *Gang {
	gang := startOffered(request)
	for _, part := range parts {
		gang.PartStarted(part)
	}
	return gang
}

// assertActions asserts that the actions have the given names. The names of RequestPart and StopPart include the part.
func assertActions(t *testing.T, actions []Action, want ...string) {
	t.Helper()
	var names []string
	for _, action := range actions {
		name := actionNames[action.Kind]
		if action.Kind == RequestPart || action.Kind == StopPart {
			name += fmt.Sprint(" ", action.Part)
		}
		names = append(names, name)
	}
	assert.Equal(t, want, names)
}

// timers returns the times of all SetTimer actions.
func timers(actions []Action) []placement.Millis {
	var times []placement.Millis
	for _, action := range actions {
		if action.Kind == SetTimer {
			times = append(times, action.At)
		}
	}
	return times
}
