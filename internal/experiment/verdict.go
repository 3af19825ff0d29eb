package experiment

import (
	"cmp"
	"fmt"
	"slices"
)

// finding is what a difference shows.
type finding uint8

const (
	tooFewPairs    finding = iota
	equalPairs             // no difference in any pair
	notSignificant         // would be significant on its own, but not among so many differences
	noneSeen
	moreFound // of a measure of which neither more nor less is better
	lessFound
	betterFound
	worseFound
)

// IsWorse tells whether B is significantly worse than A.
func (d *Difference) IsWorse() bool { return d.finding == worseFound }

// IsEqual tells whether A and B are equal in every pair.
func (d *Difference) IsEqual() bool { return d.finding == equalPairs }

// judge decides which of the differences are significant, and sets their verdicts. Among many differences some are large
// by chance; Holm's correction allows for that.
func judge(all []Difference) {
	order := make([]int, len(all))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(x, y int) int { return cmp.Compare(all[x].Delta.P, all[y].Delta.P) })
	significant := true
	for rank, i := range order {
		significant = significant && all[i].Delta.P <= significance/float64(len(all)-rank)
		all[i].Significant = significant
	}
	for i := range all {
		all[i].finding = all[i].find()
		all[i].Verdict = all[i].verdict()
	}
}

func (d *Difference) find() finding {
	m, _ := MeasureOf(d.Measure)
	switch {
	case d.Delta.N < 2:
		return tooFewPairs
	case d.Delta.Alike && d.Delta.Mean == 0:
		return equalPairs
	case !d.Significant && d.Delta.P <= significance:
		return notSignificant
	case !d.Significant:
		return noneSeen
	case m.preference == neitherIsBetter && d.Delta.Mean > 0:
		return moreFound
	case m.preference == neitherIsBetter:
		return lessFound
	case (d.Delta.Mean < 0) == (m.preference == lowerIsBetter):
		return betterFound
	}
	return worseFound
}

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
