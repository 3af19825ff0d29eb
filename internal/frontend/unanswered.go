package frontend

// AnswerState is whether a request's final answer is due.
type AnswerState uint8

// The states of an answer.
const (
	NoAnswerDue AnswerState = iota // answered, withdrawn, or no answer expected
	AnswerDue                      // the client waits for the final answer
)

// UnansweredRequests counts the requests whose final answer is due. The caller stores an AnswerState for each request,
// which only these methods may change. The zero value has a count of 0.
type UnansweredRequests struct{ count int }

// Add marks the answer to a request as due and counts the request. The answer must not already be due.
func (u *UnansweredRequests) Add(request *AnswerState) {
	*request = AnswerDue
	u.count++
}

// MarkAnswered marks a request as answered or withdrawn. It does nothing if no answer is due.
func (u *UnansweredRequests) MarkAnswered(request *AnswerState) {
	if *request == AnswerDue {
		*request = NoAnswerDue
		u.count--
	}
}

// Count returns the number of requests whose answers are due.
func (u *UnansweredRequests) Count() int { return u.count }
