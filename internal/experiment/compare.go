package experiment

// Difference is the difference in one measure between sides A and B, over pairs of runs with the same seed.
type Difference struct {
	Measure     string   `json:"measure"`
	Cell        string   `json:"cell"`
	A           float64  `json:"a"` // mean of side A
	B           float64  `json:"b"` // mean of side B
	Delta       Estimate `json:"b_minus_a"`
	Significant bool     `json:"sure"` // after Holm's correction over all differences of a comparison
	Verdict     string   `json:"verdict"`

	finding finding
}

// Compare returns the difference of B from A in each measure and pair of cells. It leaves out measures without a seed
// that has a value on both sides.
func Compare(a, b *Side) ([]Difference, error) {
	pairs, err := pairCells(a, b)
	if err != nil {
		return nil, err
	}
	var differences []Difference
	for _, pair := range pairs {
		differences = append(differences, pair.differences(a.Result, b.Result)...)
	}
	if len(differences) == 0 {
		return nil, NothingInCommonError{
			A:       a.Name,
			B:       b.Name,
			Missing: "seed in common whose runs succeeded on both sides",
		}
	}
	setVerdicts(differences)
	return differences, nil
}

// differences returns the difference of the pair's cells in each measure for which both have a value of the same seed.
func (p cellPair) differences(a, b *Result) (differences []Difference) {
	for _, m := range Measures {
		values := newPairedValues()
		values.add(a.values(p.a, m.Name), b.values(p.b, m.Name))
		if values.seedCount() == 0 {
			continue
		}
		d := values.difference(m.Name)
		d.Cell = p.name()
		differences = append(differences, d)
	}
	return differences
}

// pairedValues holds the sums of the values of two sides over pairs of the same seed, and their differences by seed.
type pairedValues struct {
	deltas seedValues // sums of B minus A over the pairs of a seed
	counts seedValues // numbers of pairs of a seed
	sumA   float64
	sumB   float64
}

func newPairedValues() pairedValues {
	return pairedValues{deltas: seedValues{}, counts: seedValues{}}
}

// add adds the seeds for which both sides have a value. It adds them in order, because floating-point sums depend on
// the order.
func (p *pairedValues) add(a, b seedValues) {
	for _, seed := range b.seeds() {
		valueA, both := a[seed]
		if !both {
			continue
		}
		p.deltas[seed] += b[seed] - valueA
		p.counts[seed]++
		p.sumA += valueA
		p.sumB += b[seed]
	}
}

func (p *pairedValues) seedCount() int { return len(p.deltas) }

// difference returns the difference in a measure. The difference of a seed is the mean over its pairs.
func (p *pairedValues) difference(measure string) Difference {
	pairCount := 0.0
	means := seedValues{}
	for _, seed := range p.deltas.seeds() {
		means[seed] = p.deltas[seed] / p.counts[seed]
		pairCount += p.counts[seed]
	}
	return Difference{
		Measure: measure,
		A:       p.sumA / pairCount,
		B:       p.sumB / pairCount,
		Delta:   newEstimate(means.inOrder()),
	}
}
