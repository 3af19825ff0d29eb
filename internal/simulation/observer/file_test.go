package observer

import (
	"bytes"
	"compress/gzip"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// recorded reads a history that comes with the project; testdata/histories/README.md says how each was made.
func recorded(t *testing.T, name string) *History {
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

func TestReadHistory_ReportsDamageWithLine(t *testing.T) {
	var text bytes.Buffer
	require.NoError(t, recorded(t, "honest").Write(&text))
	lines := strings.SplitAfter(strings.TrimSpace(text.String()), "\n")
	last := len(lines) - 1
	for want, change := range map[string]func(l []string) []string{
		"x:1: the history is cut off":           func(l []string) []string { return nil },
		"the history is cut off":                func(l []string) []string { return l[:last] },
		"x:2: invalid character":                func(l []string) []string { l[1] = "{]\n"; return l },
		"x:1: json: unknown field \"at\"":       func(l []string) []string { return l[1:] },
		"before the line above":                 func(l []string) []string { l[9], l[last-9] = l[last-9], l[9]; return l },
		"lines stand before the end":            func(l []string) []string { return append(l[:20:20], l[21:]...) },
		"something stands behind the end":       func(l []string) []string { return append(l, "\n{}\n") },
		"something stands behind the document":  func(l []string) []string { l[2] = strings.TrimSpace(l[2]) + "{}\n"; return l },
		"it is not its start in a known role":   func(l []string) []string { return append(l[:1:1], l[2:]...) },
		"is nothing that is seen":               func(l []string) []string { l[3] = `{"at":0,"who":"list","what":"hums"}` + "\n"; return l },
		"a frame is missing, or one too many":   func(l []string) []string { l[3] = `{"at":0,"who":"list","what":"sends"}` + "\n"; return l },
		"\"list\" starts, and did so before":    func(l []string) []string { l[3] = `{"at":0,"who":"list","what":"starts"}` + "\n"; return l },
		"x:4: json: unknown field \"sometime\"": func(l []string) []string { l[3] = `{"sometime":0}` + "\n"; return l },
		"unknown field \"asks\"": func(l []string) []string {
			l[3] = `{"at":0,"who":"list","what":"sends","frame":{"asks":{}}}` + "\n"
			return l
		},
	} {
		_, err := ReadHistory("x", strings.NewReader(strings.Join(change(append([]string{}, lines...)), "")))
		require.ErrorContains(t, err, want)
	}
	h, err := ReadHistory("x", strings.NewReader(strings.Join(lines, "")))
	require.NoError(t, err)
	var again bytes.Buffer
	require.NoError(t, h.Write(&again))
	assert.Equal(t, strings.TrimSpace(text.String()), strings.TrimSpace(again.String()), "what is read is what was written")
}

func TestHistoryWriteFile_DiskFullIsReported(t *testing.T) {
	const full = "/dev/full" // takes a file's bytes and fails when they are written
	if _, err := os.Stat(full); err != nil {
		require.ErrorIs(t, err, os.ErrNotExist)
		return
	}
	require.Error(t, recorded(t, "honest").WriteFile(full))
}
