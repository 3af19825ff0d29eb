package experiment

import (
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"grebeglade/placement"
)

// Plan is an experiment as its file describes it.
type Plan struct {
	Name    string
	About   string
	Script  string        // scenario that is varied
	Repeats int           // seeds of each cell
	Seed    uint64        // the first of them
	Workers int           // concurrent runs
	Timeout time.Duration // of a run
	Budget  time.Duration // after which no run is begun
	Oracle  bool          // also compute what could have run at best
	Factors []Factor

	file   string
	source []byte // text of the file
}

// Factor is something that is varied.
type Factor struct {
	Name   string
	Levels []Level
}

// Level is one setting of a factor. Zero fields leave the scenario as it is.
type Level struct {
	Name       string
	Build      string // git revision whose program makes the run; "" for this program
	Nodes      int
	Allocators int
	Load       float64 // share of the fleet's cores that is wanted
	Rate       float64 // requests a second
	Length     placement.Millis
	Script     string
}

// Cell is one crossing of levels.
type Cell struct {
	Index  int
	Levels []Level // one of each factor
}

const levelSeparator = " / "

// Name returns the names of the cell's levels.
func (c Cell) Name() string {
	if len(c.Levels) == 0 {
		return "all"
	}
	return strings.Join(c.levelNames(), levelSeparator)
}

func (c Cell) levelNames() []string {
	var names []string
	for _, l := range c.Levels {
		names = append(names, l.Name)
	}
	return names
}

// build returns the revision whose program makes the cell's runs, or "" for this program.
func (c Cell) build() (revision string) {
	for _, l := range c.Levels {
		if l.Build != "" {
			revision = l.Build
		}
	}
	return revision
}

// Open reads a plan and decodes the scenario of each cell, so that errors are found before anything is run.
func Open(file string) (*Plan, error) {
	source, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	return Decode(file, source)
}

// digest identifies the plan's text.
func (p *Plan) digest() string { return fmt.Sprintf("%016x", xxhash.Sum64(p.source)) }

// Cells returns all crossings of levels. The last factor changes first.
func (p *Plan) Cells() []Cell {
	cells := []Cell{{}}
	for _, f := range p.Factors {
		var next []Cell
		for _, c := range cells {
			for _, l := range f.Levels {
				next = append(next, Cell{Index: len(next), Levels: append(append([]Level{}, c.Levels...), l)})
			}
		}
		cells = next
	}
	return cells
}

func toDuration(t placement.Millis) time.Duration {
	return time.Duration(float64(t) * float64(time.Millisecond))
}
