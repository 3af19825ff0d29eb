package experiment

import (
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"grebeglade/placement"
)

// Plan is a decoded experiment file.
type Plan struct {
	Name    string
	About   string
	Script  string // name or path of the base scenario
	Repeats int    // runs of each cell, each with its own seed
	Seed    uint64 // seed of the first repeat; each further repeat adds 1
	Limits  Limits
	Oracle  bool // also compute the optimum of each run of this program; ignored for other builds
	Factors []Factor

	source planSource
}

// Limits bound the resources that an experiment uses.
type Limits struct {
	Workers int           // concurrent runs
	Timeout time.Duration // maximum duration of a run
	Budget  time.Duration // time since the start after which no further run begins
}

// planSource is the file that a plan was decoded from, with its text.
type planSource struct {
	file string
	text []byte
}

// Factor is a variable of an experiment with the levels that it takes.
type Factor struct {
	Name   string
	Levels []Level
}

// Level is one setting of a factor. Zero fields leave the scenario as it is.
type Level struct {
	Name       string
	Build      string // git revision to build and run; "" for this program
	Nodes      int
	Allocators int
	Load       float64 // requested cores as a share of the fleet's cores
	Rate       float64 // requests a second
	Length     placement.Millis
	Script     string
}

// Cell is one combination of levels.
type Cell struct {
	Index  int
	Levels []Level // one per factor, in the order of the factors
}

const levelSeparator = " / "

// nameWithoutFactors is the name of the only cell of a plan without factors.
const nameWithoutFactors = "all"

// Name returns the joined names of the cell's levels.
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

// build returns the git revision whose program executes the cell's runs, or "" for this program.
func (c Cell) build() (revision string) {
	for _, l := range c.Levels {
		if l.Build != "" {
			revision = l.Build
		}
	}
	return revision
}

// withLevel returns a cell with the given index that has the levels of c and one more.
func (c Cell) withLevel(level Level, index int) Cell {
	levels := append([]Level{}, c.Levels...)
	return Cell{Index: index, Levels: append(levels, level)}
}

// Open reads a plan and decodes the scenario of each cell, so that errors are reported before any run begins.
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

// digest returns a hash of the plan's text.
func (p *Plan) digest() string { return fmt.Sprintf("%016x", xxhash.Sum64(p.source.text)) }

// Cells returns all combinations of levels. The level of the last factor varies fastest.
func (p *Plan) Cells() []Cell {
	cells := []Cell{{}}
	for _, factor := range p.Factors {
		var crossed []Cell
		for _, c := range cells {
			for _, l := range factor.Levels {
				crossed = append(crossed, c.withLevel(l, len(crossed)))
			}
		}
		cells = crossed
	}
	return cells
}

func toDuration(t placement.Millis) time.Duration {
	return time.Duration(float64(t) * float64(time.Millisecond))
}
