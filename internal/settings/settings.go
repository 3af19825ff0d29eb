// Package settings decodes the settings that an allocator receives when it starts: nested JSON on the platform, and
// lines of path=value in the simulator. Both forms have the same keys and values.
package settings

import "grebeglade/placement"

// Received holds decoded settings: those of placement, and those of the frontend. The names of groups, kinds and zones
// are at the index by which placement refers to them.
type Received struct {
	placement.Settings
	ReportFields   []string // names of the values in a load report, in their order there
	GroupNames     []string
	KindNames      []string
	ZoneNames      []string
	ConnectTimeout placement.Millis // time in which a connection must be established; 0 if not given
	IdleTimeout    placement.Millis // time after which a connection without traffic is closed; 0 if not given
}

// FromJSON decodes the nested form. The error is a *KeyError unless the text is not a JSON object.
func FromJSON(text []byte) (*Received, error) {
	values, err := flattenJSON(text)
	if err != nil {
		return nil, err
	}
	return decode(values)
}

// FromPairs decodes lines of path=value. Lines without "=" and unknown keys are ignored. The error is a *KeyError.
func FromPairs(text string) (*Received, error) { return decode(splitPairs(text)) }
