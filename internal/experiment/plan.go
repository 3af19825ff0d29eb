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
	Script  string // scenario that is varied
	Repeats int    // seeds of each cell
	Seed    uint64 // the first of them
	Limits  Limits
	Oracle  bool // also compute the optimum of each run
	Factors []Factor

	source planSource
}

// Limits are limits of an experiment's use of the machine.
type Limits struct {
	Workers int           // concurrent runs
	Timeout time.Duration // of a run
	Budget  time.Duration // after which no run begins
}

// planSource is the text that a plan was decoded from.
type planSource struct {
	file string
	text []byte
}

// Factor is something that is varied.
type Factor struct {
	Name   string
	Levels []Level
}

// Level is one setting of a factor. Zero fields leave the scenario as it is.
type Level struct {
	Name       string
	Build      string // git revision whose program executes the run; "" for this program
	Nodes      int
	Allocators int
	Load       float64 // share of the fleet's cores that is requested
	Rate       float64 // requests a second
	Length     placement.Millis
	Script     string
}

// Cell is one combination of levels.
type Cell struct {
	Index  int
	Levels []Level // one of each factor
}

const levelSeparator = " / "

// nameWithoutFactors is the name of the one cell of a plan without factors.
const nameWithoutFactors = "all"

// Name returns the names of the cell's levels.
func (c Cell) Name() string {
	if len(c.Levels) == 0 {
		return nameWithoutFactors
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

// build returns the revision whose program executes the cell's runs, or "" for this program.
func (c Cell) build() (revision string) {
	for _, l := range c.Levels {
		if l.Build != "" {
			revision = l.Build
		}
	}
	return revision
}

// with returns the cell at an index that has another level besides those of c.
func (c Cell) with(level Level, index int) Cell {
	levels := append([]Level{}, c.Levels...)
	return Cell{Index: index, Levels: append(levels, level)}
}

// Open reads a plan and decodes the scenario of each cell, so that errors are found before any run begins.
func Open(file string) (*Plan, error) {
	text, err := readPlanText(file)
	if err != nil {
		return nil, err
	}
	return Decode(file, text)
}

func readPlanText(file string) ([]byte, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("read plan: %w", err)
	}
	return text, nil
}

// digest identifies the plan's text.
func (p *Plan) digest() string { return fmt.Sprintf("%016x", xxhash.Sum64(p.source.text)) }

// Cells returns all combinations of levels. The last factor changes first.
func (p *Plan) Cells() []Cell {
	cells := []Cell{{}}
	for _, factor := range p.Factors {
		var crossed []Cell
		for _, c := range cells {
			for _, l := range factor.Levels {
				crossed = append(crossed, c.with(l, len(crossed)))
			}
		}
		cells = crossed
	}
	return cells
}

func toDuration(t placement.Millis) time.Duration {
	return time.Duration(float64(t) * float64(time.Millisecond))
}
