package experiment

import (
	"fmt"

	"grebeglade/config"
	"grebeglade/internal/simulation/scenario"
)

// Scenario returns the scenario of a cell: the day blocks of its levels, which take precedence over the script that the
// levels or the plan name. Where two levels set the same value, that of the earlier factor counts.
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
	script, err := scenario.Decode(overlay(append(blocks, parsed)))
	if err != nil {
		return nil, err
	}
	script.Name = name
	applyLevels(script, cell.Levels)
	return script, nil
}

// dayBlocks returns the day blocks of a cell's levels, those of earlier factors first. It parses the plan anew, since
// blocks cannot be decoded twice.
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

// overlay combines blocks: the first block that states a value takes precedence.
func overlay(blocks []*config.Block) *config.Block {
	for _, b := range blocks[1:] {
		blocks[0].Inherit(b)
	}
	return blocks[0]
}

// scriptName returns the script that the last of the levels names, or else the plan's.
func (p *Plan) scriptName(c Cell) string {
	name := p.Script
	for _, l := range c.Levels {
		if l.Script != "" {
			name = l.Script
		}
	}
	return name
}

// applyLevels changes the size of a scenario before its length, rate and load, which depend on the size.
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
