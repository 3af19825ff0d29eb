package experiment

import (
	"fmt"

	"grebeglade/config"
	"grebeglade/internal/simulation/scenario"
)

// Scenario returns the scenario of a cell: what the day blocks of its levels say, on top of the script that they or the
// plan name. Where two levels set the same, the one of the earlier factor counts.
func (p *Plan) Scenario(c Cell) (*scenario.Script, error) {
	days, err := p.dayBlocks(c)
	if err != nil {
		return nil, err
	}
	name := p.scriptName(c)
	script, err := scenario.Parse(name)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", p.file, err)
	}
	s, err := scenario.Decode(overlay(append(days, script)))
	if err != nil {
		return nil, err
	}
	s.Name = name
	applyLevels(s, c.Levels)
	return s, nil
}

// dayBlocks returns the day blocks of a cell's levels, those of earlier factors first. It parses the plan anew, since
// blocks cannot be decoded twice.
func (p *Plan) dayBlocks(c Cell) (days []*config.Block, err error) {
	b, err := config.Parse(p.file, p.source)
	if err != nil {
		return nil, err
	}
	for i, f := range b.Named("factor") {
		for _, l := range f.Named("level") {
			if l.Name == c.Levels[i].Name {
				days = append(days, l.Block("day"))
			}
		}
	}
	return days, nil
}

// overlay combines blocks: what is not in an earlier one is taken from the later ones.
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

// applyLevels changes the size of a scenario before its length, rate and load, which depend on it.
func applyLevels(s *scenario.Script, levels []Level) {
	for _, l := range levels {
		s.Resize(l.Allocators, l.Nodes)
	}
	for _, l := range levels {
		if l.Length > 0 {
			s.SetLength(l.Length)
		}
		if l.Rate > 0 {
			s.Client.Rate = l.Rate
		}
		if l.Load > 0 {
			s.SetLoad(l.Load)
		}
	}
}
