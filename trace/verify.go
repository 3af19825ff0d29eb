package trace

import "fmt"

// Check is what a verification found.
type Check struct {
	Blocks  int      `json:"blocks"`
	Records uint64   `json:"records"`
	Missing uint64   `json:"missing"` // records that gaps report
	Index   string   `json:"index"`   // "whole", or what replaced it
	Wrong   []string `json:"wrong"`
}

// Verify reads a file to its end and reports everything that is wrong with it.
func Verify(r *Reader) *Check {
	c := &Check{Blocks: r.Blocks(), Index: "whole", Wrong: []string{}}
	if r.IndexRebuilt {
		c.Index = "missing; made anew by a scan"
		c.Wrong = append(c.Wrong, "there is no index: the file was not closed")
	}
	for _, d := range r.Damage {
		c.Wrong = append(c.Wrong, d.Error())
	}
	last := map[uint32]uint64{} // revision of each source
	for rec, err := range r.Records(Span{}) {
		if err != nil {
			c.Wrong = append(c.Wrong, err.Error())
			clear(last) // revisions are missing here, which is reported already
			continue
		}
		c.count(rec, last)
	}
	return c
}

func (c *Check) count(rec *Record, last map[uint32]uint64) {
	c.Records++
	previous, known := last[rec.Source]
	last[rec.Source] = rec.Revision
	if g := rec.GetGap(); g != nil {
		c.Missing += g.Missing
		c.Wrong = append(c.Wrong, fmt.Sprintf("%d records are missing before revision %d: %s", g.Missing, rec.Revision+1, g.Reason))
		return
	}
	if known && rec.Revision != previous+1 {
		c.Wrong = append(c.Wrong, fmt.Sprintf("revision %d follows %d", rec.Revision, previous))
	}
}
