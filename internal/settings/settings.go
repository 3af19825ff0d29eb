// Package settings decodes the settings that an allocator receives when it starts, on the platform as nested JSON and
// in the simulator as lines of path=value. Both forms have the same keys and values.
package settings

import "grebeglade/placement"

// Received holds decoded settings: those that placement needs, and those of the frontend around it. Names are in the
// order of the numbers by which placement knows them.
type Received struct {
	placement.Settings
	ReportFields   []string // names of the values in a load report, in their order there
	GroupNames     []string
	KindNames      []string
	ZoneNames      []string
	ConnectTimeout placement.Millis // a connection that is not established by then has failed; 0 if not given
	IdleTimeout    placement.Millis // a connection that carries nothing for this long is closed; 0 if not given
}

// FromJSON decodes the nested form. The error is a *KeyError unless the text is not a JSON object.
func FromJSON(text []byte) (*Received, error) {
	values, err := flattenJSON(text)
	if err != nil {
		return nil, err
	}
	return decode(values)
}

// FromPairs decodes lines of path=value. Lines without "=" and keys that are not needed are ignored. The error is a
// *KeyError.
func FromPairs(text string) (*Received, error) { return decode(splitPairs(text)) }
