//go:build review

// These tests play the cases of the second review. They fail while the faults that the cases show are open:
//
//	go test -count=1 -tags review -v ./review/_stand2
//
// after the deploy file's build and review/build-2.sh.
package main

import (
	"os/exec"
	"path/filepath"
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

func TestReviewCase6_AnswersComeLate_EndsAreToldToOwners(t *testing.T) { runCase(t, "6") }

func TestReviewCase7_DiscoveryRespondsSlowly_EndsAreToldToOwners(t *testing.T) { runCase(t, "7") }

func TestReviewCase8_BadClientsHandOverUnknownIDs_RunningTasksAreKept(t *testing.T) { runCase(t, "8") }

func TestReviewCase9_FrontSendsTest_EndIsToldToOwner(t *testing.T) { runCase(t, "9") }

func TestReviewCase10_HostHangs_EndsAreToldToOwners(t *testing.T) { runCase(t, "10") }

// runPlay runs a play that has no folder.
func runPlay(t *testing.T, name string) {
	t.Helper()
	play := exec.Command("bin/review-stand-2", name, filepath.Join(t.TempDir(), "record.txt"))
	play.Dir = "../.."
	if output, err := play.CombinedOutput(); err != nil {
		t.Fatalf("%s: %v\n%s", name, err, output)
	}
}

func TestReviewPlayLostAnswers_TwoBindsAreNeverOutAtOnce(t *testing.T) { runPlay(t, "lost-answers") }

func TestReviewPlayUnreadable_LineThatIsNotUTF8IsNotServed(t *testing.T) { runPlay(t, "unreadable") }
