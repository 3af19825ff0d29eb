package frontend

// AnswerState says whether the client of a request waits for its final answer.
type AnswerState uint8

// The states of an answer. A request has NoAnswerDue once it was answered or withdrawn, and if it expects no answer.
const (
	NoAnswerDue AnswerState = iota
	AnswerDue
)

// UnansweredRequests counts the requests whose clients wait for their final answers. Each request keeps an AnswerState,
// which changes by these methods alone. The zero value counts none.
type UnansweredRequests struct{ count int }

// Add counts a request, whose answer is due from now on. It must not be due already.
func (u *UnansweredRequests) Add(request *AnswerState) {
	*request = AnswerDue
	u.count++
}

// MarkAnswered records that the client of a request no longer waits. Further calls for the request do nothing.
func (u *UnansweredRequests) MarkAnswered(request *AnswerState) {
	if *request == AnswerDue {
		*request = NoAnswerDue
		u.count--
	}
}

// Count returns the number of requests whose answers are due.
func (u *UnansweredRequests) Count() int { return u.count }
