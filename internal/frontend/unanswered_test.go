package frontend

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestUnansweredRequests_CountsDueAnswers(t *testing.T) {
	var requests UnansweredRequests
	var first, second, notDue AnswerState
	requests.Add(&first)
	requests.Add(&second)
	assert.Equal(t, AnswerDue, first)
	assert.Equal(t, 2, requests.Count())
	requests.MarkAnswered(&first)
	requests.MarkAnswered(&first)
	assert.Equal(t, NoAnswerDue, first)
	assert.Equal(t, 1, requests.Count(), "a second MarkAnswered for the request does nothing")
	requests.MarkAnswered(&notDue)
	assert.Equal(t, 1, requests.Count(), "a request that expects no answer is not counted")
	requests.MarkAnswered(&second)
	assert.Zero(t, requests.Count())
}
