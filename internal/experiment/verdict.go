package experiment

import (
	"cmp"
	"fmt"
	"slices"
)

// finding is the conclusion drawn from a difference.
type finding uint8

const (
	tooFewPairs    finding = iota
	equalPairs             // no difference in any pair
	notSignificant         // significant on its own, but not after the correction for many differences
	noneSeen
	moreFound // significantly more, for a measure without a better direction
	lessFound
	betterFound
	worseFound
)

// IsWorse reports whether B is significantly worse than A.
func (d *Difference) IsWorse() bool { return d.finding == worseFound }

// IsEqual reports whether A and B are equal in every pair.
func (d *Difference) IsEqual() bool { return d.finding == equalPairs }

// setVerdicts sets the significance, the findings and the verdicts of all differences of a comparison.
func setVerdicts(differences []Difference) {
	setSignificance(differences)
	for i := range differences {
		d := &differences[i]
		d.finding = d.classify()
		d.Verdict = d.verdict()
	}
}

// setSignificance sets which differences are significant by Holm's correction, because among many differences some are
// large by chance.
func setSignificance(differences []Difference) {
	byP := make([]int, len(differences))
	for i := range byP {
		byP[i] = i
	}
	slices.SortStableFunc(byP, func(x, y int) int {
		return cmp.Compare(differences[x].Delta.P, differences[y].Delta.P)
	})
	significant := true
	for rank, i := range byP {
		d := &differences[i]
		significant = significant && d.Delta.P <= significance/float64(len(differences)-rank)
		d.Significant = significant
	}
}

// classify returns the finding of a difference whose significance is set.
func (d *Difference) classify() finding {
	switch {
	case d.Delta.N < 2:
		return tooFewPairs
	case d.Delta.Alike && d.Delta.Mean == 0:
		return equalPairs
	case d.Significant:
		return d.classifySignificant()
	case d.Delta.P <= significance:
		return notSignificant
	}
	return noneSeen
}

// classifySignificant returns the finding of a significant difference, by its sign and the measure's preference.
func (d *Difference) classifySignificant() finding {
	m, _ := MeasureOf(d.Measure)
	isMore := d.Delta.Mean > 0 // a mean of 0 is never significant
	switch m.preference {
	case neitherIsBetter:
		if isMore {
			return moreFound
		}
		return lessFound
	case higherIsBetter:
		if isMore {
			return betterFound
		}
	case lowerIsBetter:
		if !isMore {
			return betterFound
		}
	}
	return worseFound
}

// verdict returns the report's text for the finding.
func (d *Difference) verdict() string {
	switch d.finding {
	case tooFewPairs:
		return "one pair tells nothing"
	case equalPairs:
		return "the same in every pair"
	case notSignificant:
		return "perhaps; not beyond chance among so many comparisons"
	case noneSeen:
		return fmt.Sprintf("none seen; one under %s would not have been", formatFigure(d.Delta.SmallestDetectable))
	case moreFound:
		return "more"
	case lessFound:
		return "less"
	case betterFound:
		return "better"
	case worseFound:
		return "worse"
	}
	return ""
}
