//go:build review

// These tests play the cases of the review. They fail while the faults that the cases show are open:
//
//	go test -count=1 -tags review -v ./review/_stand
//
// after the deploy file's build and review/build.sh.
package main

import (
	"os/exec"
	"testing"
)

// playCase runs the script of a case, which exits with 0 if the rule held.
func playCase(t *testing.T, number string) {
	t.Helper()
	output, err := exec.Command("../" + number + "/run.sh").CombinedOutput()
	t.Logf("%s", output)
	if err != nil {
		t.Fatalf("case %s: %v", number, err)
	}
}

func TestReviewCase1_HostFallsSilent_EveryRequestIsAnswered(t *testing.T) { playCase(t, "1") }

func TestReviewCase2_SlowJournal_EndIsToldToTheClient(t *testing.T) { playCase(t, "2") }

func TestReviewCase3_BadClientsHandOverUnknownIDs_MemoryStaysWithinLimit(t *testing.T) {
	playCase(t, "3")
}
