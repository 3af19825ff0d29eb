package trace

import "fmt"

// Check is the result of a verification.
type Check struct {
	Blocks  int      `json:"blocks"`
	Records uint64   `json:"records"`
	Missing uint64   `json:"missing"` // lost records reported by Gap records
	Index   string   `json:"index"`   // indexIntact or indexRebuilt
	Wrong   []string `json:"wrong"`   // descriptions of the problems found
}

// Values of Check.Index, as "grebeglade trace verify --json" prints them.
const (
	indexIntact  = "whole"
	indexRebuilt = "missing; made anew by a scan"
)

// Verify reads a whole file and reports every problem found.
func Verify(reader *Reader) *Check {
	check := &Check{
		Blocks: reader.Blocks(),
		Index:  indexIntact,
		Wrong:  []string{},
	}
	if reader.IndexRebuilt {
		check.Index = indexRebuilt
		check.report("there is no index: the file was not closed")
	}
	for _, damage := range reader.Damage {
		check.report("%v", damage)
	}
	last := map[uint32]uint64{} // revision of each source
	for record, err := range reader.Records(Span{}) {
		if err != nil {
			check.report("%v", err)
			clear(last) // the missing revisions are part of the damage reported above
			continue
		}
		check.count(record, last)
	}
	return check
}

// count counts a record, and checks that its revision follows the last one of its source.
func (c *Check) count(record *Record, last map[uint32]uint64) {
	c.Records++
	previous, found := last[record.Source]
	last[record.Source] = record.Revision
	if gap := record.GetGap(); gap != nil {
		c.Missing += gap.Missing
		c.report("%d records are missing before revision %d: %s", gap.Missing, record.Revision+1, gap.Reason)
		return
	}
	if found && record.Revision != previous+1 {
		c.report("revision %d follows %d", record.Revision, previous)
	}
}

func (c *Check) report(format string, args ...any) {
	c.Wrong = append(c.Wrong, fmt.Sprintf(format, args...))
}
