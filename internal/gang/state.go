package gang

// State is the state of a gang. In Pending, Starting and RollingBackToRetry the client waits for its final answer; in
// the other states it has been answered or has withdrawn the gang.
//
//	state               event                                                     next state
//	Pending             Start or retry timer                                      Starting
//	Pending             the same, with too little time left; Withdraw             Ended
//	Starting            AttemptResult: too few parts offered                      Ended
//	Starting            enough parts run, and none is still requested             Running
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
	Pending            State = iota // waiting for the first start or for a retry
	Starting                        // parts are requested
	Running                         // enough parts run
	RollingBackToRetry              // parts are being stopped; the gang is started again afterwards
	RollingBackToEnd                // parts are being stopped; the gang ends afterwards
	Ended                           // no part is active
)

// stateTexts are the external texts of the states. Some differ from the constants' names. They must not change, since
// stored traces contain them. The two rollback states share one text.
var stateTexts = [...]string{
	Pending:            "pending",
	Starting:           "starting",
	Running:            "standing",
	RollingBackToRetry: "undoing",
	RollingBackToEnd:   "undoing",
	Ended:              "given up",
}

// String returns the text of the state that traces contain and operators see.
func (s State) String() string { return stateTexts[s] }
