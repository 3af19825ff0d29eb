package compatibility_test

import (
	"encoding/json"
	"fmt"
	"math"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

var (
	helpCommand = regexp.MustCompile(`^  ([a-z-]+) +\S`)
	helpFlag    = regexp.MustCompile(`^ +(-[a-z], |)--([a-z-]+)( [a-zA-Z0-9]+|)  +(.*)$`)
	helpDefault = regexp.MustCompile(`\(default (.*)\)$`)
	processID   = regexp.MustCompile(`submit-\d+`)
)

// describeCommand writes a line for a command, for each of its flags, and for the commands below it.
func describeCommand(t *testing.T, text *strings.Builder, path []string) {
	t.Helper()
	help := mustRun(t, append(slices.Clone(path), "--help")...)
	name := strings.Join(append([]string{"grebeglade"}, path...), " ")
	section, below := "", []string(nil)
	fmt.Fprintf(text, "%s\n", name)
	for line := range strings.SplitSeq(help, "\n") {
		switch {
		case strings.HasSuffix(line, ":") && !strings.HasPrefix(line, " "):
			section = line
		case section == "Available Commands:" && helpCommand.MatchString(line):
			below = append(below, helpCommand.FindStringSubmatch(line)[1])
		case section == "Flags:" && helpFlag.MatchString(line):
			f := helpFlag.FindStringSubmatch(line)
			fmt.Fprintf(text, "%s flag: %s--%s%s", name, f[1], f[2], f[3])
			if d := helpDefault.FindStringSubmatch(f[4]); d != nil {
				fmt.Fprintf(text, " = %s", processID.ReplaceAllString(d[1], "submit-PID"))
			}
			text.WriteByte('\n')
		}
	}
	for _, sub := range below {
		if sub != "help" && sub != "completion" {
			describeCommand(t, text, append(slices.Clone(path), sub))
		}
	}
}

func TestCommands_NamesFlagsAndDefaultsAsStored(t *testing.T) {
	t.Setenv("GREBEGLADE_ADDR", "")
	var text strings.Builder
	describeCommand(t, &text, nil)
	compareWithStored(t, "commands.txt", text.String())
}

// roundNumbers rounds all numbers of a JSON document to twelve significant digits: sums in map order differ in the last.
func roundNumbers(v any) any {
	switch v := v.(type) {
	case json.Number:
		n, err := strconv.ParseFloat(v.String(), 64)
		if err != nil || n == math.Trunc(n) {
			return v
		}
		return json.Number(strconv.FormatFloat(n, 'g', 12, 64))
	case []any:
		for i := range v {
			v[i] = roundNumbers(v[i])
		}
	case map[string]any:
		for k := range v {
			v[k] = roundNumbers(v[k])
		}
	}
	return v
}

// parseDocument reads a document that must be the only one, keeping numbers as they are written.
func parseDocument(t *testing.T, text string) any {
	t.Helper()
	d := json.NewDecoder(strings.NewReader(text))
	d.UseNumber()
	var v any
	require.NoError(t, d.Decode(&v), "%s", text)
	require.False(t, d.More(), "more than one document")
	return v
}

// stableJSON is a document without what depends on wall time, with rounded numbers.
func stableJSON(t *testing.T, text string, without ...string) string {
	t.Helper()
	v := parseDocument(t, text)
	if object, ok := v.(map[string]any); ok {
		for _, key := range without {
			require.Contains(t, object, key)
			delete(object, key)
		}
	}
	b, err := json.MarshalIndent(roundNumbers(v), "", "  ")
	require.NoError(t, err)
	return string(b) + "\n"
}

func TestLabListJSON_AsStored(t *testing.T) {
	compareWithStored(t, "json/lab-list.json", mustRun(t, "lab", "list", "--json"))
}

func TestLabPlayJSON_AsStored(t *testing.T) {
	for _, script := range []string{"rough", "gang-mixed", "state-death", "quiet"} {
		t.Run(script, func(t *testing.T) {
			out := mustRun(t, "lab", "play", script, "--virtual", "--seed", "1", "--json")
			compareWithStored(t, "json/lab-play-"+script+".json", stableJSON(t, out, "ran_seconds"))
		})
	}
}

func TestVirtualScenarios_DigestsAsStored(t *testing.T) {
	var names []string
	require.NoError(t, json.Unmarshal([]byte(mustRun(t, "lab", "list", "--json")), &names))
	var text strings.Builder
	for _, name := range names {
		for _, seed := range []string{"1", "2"} {
			var result struct {
				Digest string `json:"digest"`
				Frames int    `json:"frames"`
			}
			out := mustRun(t, "lab", "play", name, "--virtual", "--seed", seed, "--json")
			require.NoError(t, json.Unmarshal([]byte(out), &result))
			fmt.Fprintf(&text, "%s %s %s %d\n", name, seed, result.Digest, result.Frames)
		}
	}
	compareWithStored(t, "digests.txt", text.String())
}
