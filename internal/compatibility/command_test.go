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

// describeCommand writes a line for a command and for each of its flags, and does the same for its subcommands.
func describeCommand(t *testing.T, text *strings.Builder, path []string) {
	t.Helper()
	help := mustRun(t, append(slices.Clone(path), "--help")...)
	name := strings.Join(append([]string{"grebeglade"}, path...), " ")
	section := ""
	var subcommands []string
	fmt.Fprintf(text, "%s\n", name)
	for line := range strings.SplitSeq(help, "\n") {
		switch {
		case strings.HasSuffix(line, ":") && !strings.HasPrefix(line, " "):
			section = line
		case section == "Available Commands:" && helpCommand.MatchString(line):
			subcommands = append(subcommands, helpCommand.FindStringSubmatch(line)[1])
		case section == "Flags:" && helpFlag.MatchString(line):
			fmt.Fprintf(text, "%s flag: %s\n", name, describeFlag(line))
		}
	}
	for _, subcommand := range subcommands {
		if subcommand != "help" && subcommand != "completion" {
			describeCommand(t, text, append(slices.Clone(path), subcommand))
		}
	}
}

// describeFlag extracts the names, the type and the default of a flag from its line in the help text.
func describeFlag(line string) string {
	match := helpFlag.FindStringSubmatch(line)
	shorthand := match[1]
	name := match[2]
	valueType := match[3]
	usage := match[4]
	text := fmt.Sprintf("%s--%s%s", shorthand, name, valueType)
	if defaultValue := helpDefault.FindStringSubmatch(usage); defaultValue != nil {
		text += " = " + processID.ReplaceAllString(defaultValue[1], "submit-PID")
	}
	return text
}

func TestCommands_NamesFlagsAndDefaultsAsStored(t *testing.T) {
	t.Setenv("GREBEGLADE_ADDR", "")
	var text strings.Builder
	describeCommand(t, &text, nil)
	compareWithStored(t, "commands.txt", text.String())
}

// significantDigits is the number of digits that are compared: sums in map order differ in further digits.
const significantDigits = 12

// roundNumbers rounds all numbers of a JSON document, in place in its lists and objects, and returns the document.
func roundNumbers(document any) any {
	switch value := document.(type) {
	case json.Number:
		return roundNumber(value)
	case []any:
		for i := range value {
			value[i] = roundNumbers(value[i])
		}
	case map[string]any:
		for key := range value {
			value[key] = roundNumbers(value[key])
		}
	}
	return document
}

// roundNumber rounds a number to significantDigits. Integers are not changed.
func roundNumber(number json.Number) json.Number {
	value, err := strconv.ParseFloat(number.String(), 64)
	if err != nil || value == math.Trunc(value) {
		return number
	}
	return json.Number(strconv.FormatFloat(value, 'g', significantDigits, 64))
}

// parseDocument decodes a text that must be a single JSON document, and keeps the notation of its numbers.
func parseDocument(t *testing.T, text string) any {
	t.Helper()
	decoder := json.NewDecoder(strings.NewReader(text))
	decoder.UseNumber()
	var document any
	require.NoError(t, decoder.Decode(&document), "%s", text)
	require.False(t, decoder.More(), "text after the document")
	return document
}

// stableJSON returns a document with rounded numbers, and without the given keys, whose values differ between runs.
func stableJSON(t *testing.T, text string, without ...string) string {
	t.Helper()
	document := parseDocument(t, text)
	if object, ok := document.(map[string]any); ok {
		for _, key := range without {
			require.Contains(t, object, key)
			delete(object, key)
		}
	}
	stable, err := json.MarshalIndent(roundNumbers(document), "", "  ")
	require.NoError(t, err)
	return string(stable) + "\n"
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
