package command

import (
	"fmt"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"grebeglade/trace"
)

// spanFlags are the flags for the bounds of a time span. Each is absolute, relative to the first record, or "" for no
// bound.
type spanFlags struct {
	from string
	to   string
}

func (f *spanFlags) addFlags(cmd *cobra.Command) {
	cmd.Flags().StringVar(&f.from, "from", "",
		`start of the time span: "2026-03-02T07:15:00Z", or "+90s" for 90 s after the first record`)
	cmd.Flags().StringVar(&f.to, "to", "", "end of the time span, in the same formats")
}

// span returns the bounds as Unix times. Relative bounds count from the earliest record of the files.
func (f *spanFlags) span(files traceFiles) (trace.Span, error) {
	first := firstMillis(files)
	from, err := parseTime("from", f.from, first)
	if err != nil {
		return trace.Span{}, err
	}
	to, err := parseTime("to", f.to, first)
	if err != nil {
		return trace.Span{}, err
	}
	if from != 0 && to != 0 && from > to {
		return trace.Span{}, fmt.Errorf("--from %s is after --to %s", f.from, f.to)
	}
	return trace.Span{FromMs: from, ToMs: to}, nil
}

// parseTime parses the value of a flag and returns Unix milliseconds, 0 for "". A text that begins with "+" is relative
// to first, the time of the first record.
func parseTime(flag, text string, first float64) (float64, error) {
	if text == "" {
		return 0, nil
	}
	if offset, relative := strings.CutPrefix(text, "+"); relative {
		duration, err := time.ParseDuration(offset)
		if err != nil {
			return 0, fmt.Errorf(`--%s %q is not a time; write one such as "+90s"`, flag, text)
		}
		return first + milliseconds(duration), nil
	}
	t, err := time.Parse(time.RFC3339Nano, text)
	if err != nil {
		return 0, fmt.Errorf(`--%s %q is not a time; write one such as "2026-03-02T07:15:00Z" or "+90s"`, flag, text)
	}
	return float64(t.UnixNano()) / float64(time.Millisecond), nil
}

// firstMillis returns the Unix time in milliseconds of the earliest record, 0 if there is none.
func firstMillis(files traceFiles) (first float64) {
	for _, reader := range files {
		if at := reader.FirstUnixMillis(); at != 0 && (first == 0 || at < first) {
			first = at
		}
	}
	return first
}

// formatTime formats a Unix time in milliseconds.
func formatTime(unixMs float64) string {
	const microsPerMilli = 1000
	return time.UnixMicro(int64(unixMs * microsPerMilli)).UTC().Format("2006-01-02T15:04:05.000Z")
}
