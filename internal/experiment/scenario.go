package experiment

import (
	"fmt"

	"grebeglade/config"
	"grebeglade/internal/simulation/scenario"
)

// Scenario returns the scenario of a cell: the script of its levels or of the plan, overridden by the day blocks of the
// levels and then by their other arguments. If two day blocks set the same value, that of the earlier factor takes
// precedence; if two levels set the same argument, that of the later factor does.
func (p *Plan) Scenario(cell Cell) (*scenario.Script, error) {
	blocks, err := p.dayBlocks(cell)
	if err != nil {
		return nil, err
	}
	name := p.scriptName(cell)
	parsed, err := scenario.Parse(name)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", p.source.file, err)
	}
	script, err := scenario.Decode(mergeBlocks(append(blocks, parsed)))
	if err != nil {
		return nil, err
	}
	script.Name = name
	applyLevels(script, cell.Levels)
	return script, nil
}

// dayBlocks returns the day blocks of a cell's levels, those of earlier factors first. It parses the plan again,
// because blocks cannot be decoded twice.
func (p *Plan) dayBlocks(c Cell) (blocks []*config.Block, err error) {
	plan, err := config.Parse(p.source.file, p.source.text)
	if err != nil {
		return nil, err
	}
	for i, factor := range plan.Named("factor") {
		for _, level := range factor.Named("level") {
			if level.Name == c.Levels[i].Name {
				blocks = append(blocks, level.Block(dayKey))
			}
		}
	}
	return blocks, nil
}

// mergeBlocks merges blocks into the first one. The first block that sets a value takes precedence.
func mergeBlocks(blocks []*config.Block) *config.Block {
	for _, b := range blocks[1:] {
		blocks[0].Inherit(b)
	}
	return blocks[0]
}

// scriptName returns the script of the last level that sets one, or else the plan's script.
func (p *Plan) scriptName(c Cell) string {
	name := p.Script
	for _, l := range c.Levels {
		if l.Script != "" {
			name = l.Script
		}
	}
	return name
}

// applyLevels applies the levels to a scenario: all sizes first, because Resize scales the rate, and SetLoad depends on
// the number of nodes.
func applyLevels(script *scenario.Script, levels []Level) {
	for _, l := range levels {
		script.Resize(l.Allocators, l.Nodes)
	}
	for _, l := range levels {
		if l.Length > 0 {
			script.SetLength(l.Length)
		}
		if l.Rate > 0 {
			script.Client.Rate = l.Rate
		}
		if l.Load > 0 {
			script.SetLoad(l.Load)
		}
	}
}
