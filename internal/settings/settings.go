// Package settings decodes the settings that an allocator receives at start: nested JSON on the platform, and lines of
// the form path=value in the simulator. Both forms have the same keys and values.
package settings

import "grebeglade/placement"

// Received holds the decoded settings of package placement and of the frontend. GroupNames, KindNames and ZoneNames are
// indexed by the numbers that placement uses for groups, kinds and zones.
type Received struct {
	placement.Settings
	ReportFields   []string // names of the values in a load report, in the report's order
	GroupNames     []string
	KindNames      []string
	ZoneNames      []string
	ConnectTimeout placement.Millis // time within which a connection must be established, in ms; 0 if not set
	IdleTimeout    placement.Millis // time after which an idle connection is closed, in ms; 0 if not set
}

// FromJSON decodes the nested JSON form. Errors are of type *KeyError, except if the text is not a JSON object.
func FromJSON(text []byte) (*Received, error) {
	values, err := flattenJSON(text)
	if err != nil {
		return nil, err
	}
	return decode(values)
}

// FromPairs decodes lines of the form path=value. Lines without "=" and unused keys are ignored. Errors are of type
// *KeyError.
func FromPairs(text string) (*Received, error) { return decode(splitPairs(text)) }
