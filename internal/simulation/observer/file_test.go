package observer

import (
	"bytes"
	"compress/gzip"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// readRecorded reads a history from testdata/histories; the README.md there describes how each was recorded.
func readRecorded(t *testing.T, name string) *History {
	t.Helper()
	f, err := os.Open(filepath.Join("..", "testdata", "histories", name+".jsonl.gz"))
	require.NoError(t, err)
	defer func() { require.NoError(t, f.Close()) }()
	text, err := gzip.NewReader(f)
	require.NoError(t, err)
	h, err := ReadHistory(name, text)
	require.NoError(t, err)
	return h
}

// withLine returns the lines with the one at the index replaced.
func withLine(lines []string, index int, line string) []string {
	lines[index] = line + "\n"
	return lines
}

// damagedFiles holds ways to damage the lines of a history file, each with the expected error of ReadHistory.
var damagedFiles = map[string]struct {
	damage func(lines []string) []string
	want   string // part of the error
}{
	"empty file": {
		damage: func([]string) []string { return nil },
		want:   "x:1: history truncated",
	},
	"no end line": {
		damage: func(lines []string) []string { return lines[:len(lines)-1] },
		want:   "history truncated",
	},
	"line that is not JSON": {
		damage: func(lines []string) []string { return withLine(lines, 1, "{]") },
		want:   "x:2: invalid character",
	},
	"no header": {
		damage: func(lines []string) []string { return lines[1:] },
		want:   "x:1: json: unknown field \"at\"",
	},
	"two lines swapped": {
		damage: func(lines []string) []string {
			mirror := len(lines) - 1 - 9
			lines[9], lines[mirror] = lines[mirror], lines[9]
			return lines
		},
		want: "before that of the preceding line",
	},
	"line missing": {
		damage: func(lines []string) []string { return append(lines[:20:20], lines[21:]...) },
		want:   "events, but the end line counts",
	},
	"line after the end line": {
		damage: func(lines []string) []string { return append(lines, "\n{}\n") },
		want:   "unexpected data after the end line",
	},
	"two documents on one line": {
		damage: func(lines []string) []string { return withLine(lines, 2, strings.TrimSpace(lines[2])+"{}") },
		want:   "unexpected data after the JSON document",
	},
	"process without a start": {
		damage: func(lines []string) []string { return append(lines[:1:1], lines[2:]...) },
		want:   "is not a start with a valid role",
	},
	"unknown kind of event": {
		damage: func(lines []string) []string { return withLine(lines, 3, `{"at":0,"who":"list","what":"hums"}`) },
		want:   "unknown event kind \"hums\"",
	},
	"frame missing": {
		damage: func(lines []string) []string { return withLine(lines, 3, `{"at":0,"who":"list","what":"sends"}`) },
		want:   "frame missing or not allowed",
	},
	"second start without an end": {
		damage: func(lines []string) []string {
			return withLine(lines, 3, `{"at":0,"who":"list","what":"starts"}`)
		},
		want: "process \"list\": event \"starts\" repeats",
	},
	"unknown field": {
		damage: func(lines []string) []string { return withLine(lines, 3, `{"sometime":0}`) },
		want:   "x:4: json: unknown field \"sometime\"",
	},
	"unknown field in a frame": {
		damage: func(lines []string) []string {
			return withLine(lines, 3, `{"at":0,"who":"list","what":"sends","frame":{"asks":{}}}`)
		},
		want: "unknown field \"asks\"",
	},
}

// A damaged file that is read without an error may pass an audit with frames missing.
func TestReadHistory_ReportsDamageWithLine(t *testing.T) {
	var text bytes.Buffer
	require.NoError(t, readRecorded(t, "honest").Write(&text))
	intact := strings.SplitAfter(strings.TrimSpace(text.String()), "\n")
	for name, test := range damagedFiles {
		t.Run(name, func(t *testing.T) {
			damaged := strings.Join(test.damage(slices.Clone(intact)), "")
			_, err := ReadHistory("x", strings.NewReader(damaged))
			require.ErrorContains(t, err, test.want)
		})
	}
}

func TestReadHistory_ReadsWhatWasWritten(t *testing.T) {
	var written bytes.Buffer
	require.NoError(t, readRecorded(t, "honest").Write(&written))
	history, err := ReadHistory("x", strings.NewReader(strings.TrimSpace(written.String())))
	require.NoError(t, err)
	var again bytes.Buffer
	require.NoError(t, history.Write(&again))
	assert.Equal(t, strings.TrimSpace(written.String()), strings.TrimSpace(again.String()))
}

func TestHistoryWriteFile_DiskFullIsReported(t *testing.T) {
	const full = "/dev/full" // can be opened; every write fails with ENOSPC
	if _, err := os.Stat(full); err != nil {
		require.ErrorIs(t, err, os.ErrNotExist)
		return // this system has no such device
	}
	err := readRecorded(t, "honest").WriteFile(full)
	require.ErrorIs(t, err, syscall.ENOSPC)
	require.ErrorContains(t, err, "write the history")
}
