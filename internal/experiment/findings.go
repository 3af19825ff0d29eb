package experiment

import (
	"fmt"
	"slices"
)

// minEffectSeeds is the minimum number of seeds for an effect: fewer values have no confidence interval.
const minEffectSeeds = 2

// effect is the difference in one measure between a level of a factor and the factor's first level.
type effect struct {
	difference Difference
	comparison string // text that names the two levels
}

// findings returns a sentence for each significant effect on a measure other than the cost, or a single sentence if
// there is none. It returns nil if there are no effects.
func (r *Result) findings() (sentences []string) {
	effects := r.effects()
	if len(effects) == 0 {
		return nil
	}
	differences := make([]Difference, len(effects))
	for i := range effects {
		differences[i] = effects[i].difference
	}
	setVerdicts(differences)
	for i := range differences {
		d := &differences[i]
		if d.Significant && !d.IsEqual() && d.Measure != costMeasure {
			sentences = append(sentences, d.sentence(effects[i].comparison))
		}
	}
	if len(sentences) == 0 {
		return []string{"No significant difference was seen. The tables say how small a difference would have been."}
	}
	return sentences
}

func (d *Difference) sentence(comparison string) string {
	m, _ := MeasureOf(d.Measure)
	return fmt.Sprintf("%s: %s is %s, by %s %s (95%%: %s to %s) from %s.",
		comparison, m.About, d.Verdict,
		formatFigure(d.Delta.Mean), m.Unit, formatFigure(d.Delta.Low), formatFigure(d.Delta.High), formatFigure(d.A))
}

// effects returns the effect of each level but a factor's first on each measure, if there are enough seeds.
func (r *Result) effects() (effects []effect) {
	for i, factor := range r.Plan.Factors {
		first := factor.Levels[0]
		for _, level := range factor.Levels[1:] {
			comparison := fmt.Sprintf("%s %q against %q", factor.Name, level.Name, first.Name)
			for _, m := range Measures {
				d, ok := r.effect(i, level, m)
				if ok {
					effects = append(effects, effect{difference: d, comparison: comparison})
				}
			}
		}
	}
	return effects
}

// effect compares each cell that has a level of a factor with the cell that has the factor's first level instead. A
// seed's difference is the mean over these pairs of cells. ok is false if there are fewer than two seeds.
func (r *Result) effect(factor int, level Level, measure Measure) (d Difference, ok bool) {
	values := newPairedValues()
	cells := r.Plan.Cells()
	for _, c := range cells {
		if c.Levels[factor].Name != level.Name {
			continue
		}
		first := r.withFirstLevel(cells, c, factor)
		values.add(r.values(first, measure.Name), r.values(c, measure.Name))
	}
	if values.seedCount() < minEffectSeeds {
		return Difference{}, false
	}
	return values.difference(measure.Name), true
}

// withFirstLevel returns the cell that has the factor's first level, and otherwise the levels of c.
func (r *Result) withFirstLevel(cells []Cell, c Cell, factor int) Cell {
	names := c.levelNames()
	names[factor] = r.Plan.Factors[factor].Levels[0].Name
	i := slices.IndexFunc(cells, func(other Cell) bool { return slices.Equal(other.levelNames(), names) })
	return cells[i]
}
