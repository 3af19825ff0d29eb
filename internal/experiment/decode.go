package experiment

import (
	"fmt"
	"path/filepath"
	"runtime"
	"strings"

	"grebeglade/config"
)

const (
	defaultScript    = "quiet"
	defaultRepeats   = 10
	defaultTimeoutMs = 120e3
	defaultBudgetMs  = 3600e3
	maxCells         = 10000
	planExtension    = ".hcl"
)

// dayKey is the name of the blocks in which a level overrides values of the scenario.
const dayKey = "day"

// Decode decodes the text of a plan. Errors contain the file and the line, but no line if a script cannot be read.
func Decode(file string, text []byte) (*Plan, error) {
	block, err := config.Parse(file, text)
	if err != nil {
		return nil, err
	}
	plan := decodeArguments(block)
	plan.Name = strings.TrimSuffix(filepath.Base(file), planExtension)
	plan.source = planSource{file: file, text: text}
	d := factorDecoder{}
	for _, f := range block.Named("factor") {
		plan.Factors = append(plan.Factors, d.factor(f))
	}
	d.reportConflicts()
	if plan.Limits.Timeout <= 0 || plan.Limits.Budget <= 0 {
		block.AddProblem("budget", "each and budget must be longer than 0",
			`write times such as each = "2m" and budget = "1h"`)
	}
	if err := block.Finish(); err != nil {
		return nil, err
	}
	if err := plan.checkCells(); err != nil {
		return nil, err
	}
	return plan, nil
}

// decodeArguments decodes the arguments of a plan outside its factors.
func decodeArguments(b *config.Block) *Plan {
	return &Plan{
		About:   b.String("about", ""),
		Script:  b.String("script", defaultScript),
		Repeats: b.Int("repeats", defaultRepeats, 1, 10000),
		Seed:    uint64(b.Int("seed", 1, 1, 1<<30)),
		Limits: Limits{
			Workers: b.Int("workers", runtime.GOMAXPROCS(0), 1, 1024),
			Timeout: toDuration(b.Duration("each", defaultTimeoutMs)),
			Budget:  toDuration(b.Duration("budget", defaultBudgetMs)),
		},
		Oracle: b.Bool("oracle", false),
	}
}

// factorDecoder decodes factors, and records builds and day blocks, which cannot be used together.
type factorDecoder struct {
	hasBuild  bool
	dayBlocks []*config.Block
}

func (d *factorDecoder) factor(b *config.Block) Factor {
	f := Factor{Name: b.Name}
	for _, l := range b.Named("level") {
		f.Levels = append(f.Levels, d.level(l))
	}
	if len(f.Levels) == 0 {
		b.AddProblem("", fmt.Sprintf("factor %q has no level", b.Name), `write level "NAME" { … }`)
	}
	return f
}

// level decodes a level without its day block, which is decoded with the scenario of a cell.
func (d *factorDecoder) level(b *config.Block) Level {
	if blocks := b.Blocks(dayKey); len(blocks) > 0 {
		b.Block(dayKey).Skip()
		d.dayBlocks = append(d.dayBlocks, blocks[0])
	}
	d.hasBuild = d.hasBuild || b.Has("build")
	return Level{
		Name:       b.Name,
		Build:      b.String("build", ""),
		Nodes:      b.Int("nodes", 0, 0, 1e6),
		Allocators: b.Int("allocators", 0, 0, 5000),
		Load:       b.Float("load", 0, 0, 100),
		Rate:       b.Float("rate", 0, 0, 1e6),
		Length:     b.Duration("length", 0),
		Script:     b.String("script", ""),
	}
}

// reportConflicts adds a problem if a plan has both builds and day blocks: another build can be given the name of a
// script, but no day blocks.
func (d *factorDecoder) reportConflicts() {
	if !d.hasBuild || len(d.dayBlocks) == 0 {
		return
	}
	last := d.dayBlocks[len(d.dayBlocks)-1]
	last.AddProblem("", "a day block in a plan with a build", "another build plays scripts unchanged; "+
		"move the settings of the day block to a script file and set script to its name")
}

// checkCells checks the number of cells and decodes the scenario of each.
func (p *Plan) checkCells() error {
	cells := p.Cells()
	if len(cells) > maxCells {
		return config.FileError{{
			File:    p.source.file,
			Line:    1,
			Problem: fmt.Sprintf("the plan has too many cells: %d", len(cells)),
			Fix:     "remove levels",
		}}
	}
	for _, c := range cells {
		if _, err := p.Scenario(c); err != nil {
			return err
		}
	}
	return nil
}
