//go:build review

// These tests play the cases of the second review. They fail while the faults that the cases show are open:
//
//	go test -count=1 -tags review -v ./review/_stand2
//
// after the deploy file's build and review/build-2.sh.
package main

import (
	"os/exec"
	"testing"
)

// runCase runs the script of a case. The rule is broken if it exits with 1.
func runCase(t *testing.T, number string) {
	t.Helper()
	output, err := exec.Command("../" + number + "/run.sh").CombinedOutput()
	if err != nil {
		t.Fatalf("review/%s/run.sh: %v\n%s", number, err, output)
	}
}

func TestReviewCase6_HostHangs_EndsAreToldToOwners(t *testing.T) { runCase(t, "6") }

func TestReviewCase7_AnswersComeLate_EndsAreToldToOwners(t *testing.T) { runCase(t, "7") }

func TestReviewCase8_DiscoveryRespondsSlowly_EndsAreToldToOwners(t *testing.T) { runCase(t, "8") }

func TestReviewCase9_BadClientsHandOverUnknownIDs_RunningTasksAreKept(t *testing.T) { runCase(t, "9") }

func TestReviewCase10_FrontSendsTest_EndIsToldToOwner(t *testing.T) { runCase(t, "10") }
