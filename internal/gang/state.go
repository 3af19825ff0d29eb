package gang

// State is the state of a gang. The client waits for its final answer in Pending, Starting and RollingBackToRetry; in
// the other states it has the answer, or has withdrawn the gang.
//
//	state               event                                                     next state
//	Pending             Start or retry timer                                      Starting
//	Pending             the same, with too little time left; Withdraw             Ended
//	Starting            AttemptResult: too few parts offered                      Ended
//	Starting            enough parts run, and none is on its way                  Running
//	Starting            a part fails or ends, too few are left: may be retried    RollingBackToRetry
//	Starting            the same: must not be retried                             RollingBackToEnd
//	Starting            the answer is due and too few parts run; Withdraw         RollingBackToEnd
//	Running             no part is active                                         Ended
//	Running             too few parts are left, and none is replaced; Withdraw    RollingBackToEnd
//	RollingBackToRetry  no part is active                                         Pending
//	RollingBackToRetry  the same, with side effects or too little time left       Ended
//	RollingBackToRetry  the answer is due; Withdraw                               RollingBackToEnd
//	RollingBackToEnd    no part is active                                         Ended
//
// A part is active while it is PartRequested, PartRunning or PartStopping. A gang that is rolled back without an
// active part leaves the rollback state within the same call.
type State uint8

// The states of a gang.
const (
	Pending            State = iota // to be started, or started again
	Starting                        // its parts are requested
	Running                         // enough of its parts run
	RollingBackToRetry              // its parts are being stopped, and it is started again afterwards
	RollingBackToEnd                // its parts are being stopped, and it ends afterwards
	Ended                           // none of its parts is active
)

// stateTexts are the texts of the states. They are older than the constants and stay, since stored traces hold them:
// the two rollback states share one.
var stateTexts = [...]string{
	Pending:            "pending",
	Starting:           "starting",
	Running:            "standing",
	RollingBackToRetry: "undoing",
	RollingBackToEnd:   "undoing",
	Ended:              "given up",
}

// String returns the state's text in traces and for operators.
func (s State) String() string { return stateTexts[s] }
