package experiment

import (
	"os"
	"strings"
)

// Side is one side of a comparison: a whole experiment, or one cell of it.
type Side struct {
	Name   string
	Result *Result

	cells  []Cell
	isCell bool // one cell was named
}

const (
	cellMark           = ":" // before the name of a cell
	sideLevelSeparator = "/"
)

// OpenSide reads the experiment in "DIR", or the one in "DIR:LEVEL/LEVEL" for one of its cells.
func OpenSide(name string) (*Side, error) {
	dir, cell := name, ""
	if _, err := os.Stat(name); err != nil {
		if at := strings.LastIndex(name, cellMark); at > 0 {
			dir, cell = name[:at], name[at+len(cellMark):]
		}
	}
	r, err := Read(dir)
	if err != nil {
		return nil, err
	}
	s := &Side{Name: name, Result: r, cells: r.Plan.Cells()}
	if dir == name {
		return s, nil
	}
	if err := s.selectCell(cell); err != nil {
		return nil, err
	}
	return s, nil
}

// selectCell reduces the side to one cell.
func (s *Side) selectCell(name string) error {
	var known []string
	for _, c := range s.cells {
		cell := strings.ReplaceAll(c.Name(), levelSeparator, sideLevelSeparator)
		if cell == name {
			s.cells, s.isCell = []Cell{c}, true
			return nil
		}
		known = append(known, cell)
	}
	return UnknownCellError{Dir: s.Result.Dir, Cell: name, Known: known}
}

// cellPair is the cells of both sides that are compared.
type cellPair struct{ a, b Cell }

func (p cellPair) name() string {
	if p.a.Name() == p.b.Name() {
		return p.a.Name()
	}
	return p.a.Name() + " -> " + p.b.Name()
}

// pairCells returns the cells that were named, or else those of the same name on both sides.
func pairCells(a, b *Side) (pairs []cellPair, err error) {
	if a.isCell != b.isCell {
		return nil, ErrOneCell
	}
	if a.isCell {
		return []cellPair{{a.cells[0], b.cells[0]}}, nil
	}
	for _, x := range a.cells {
		for _, y := range b.cells {
			if x.Name() == y.Name() {
				pairs = append(pairs, cellPair{x, y})
			}
		}
	}
	if len(pairs) == 0 {
		return nil, NothingInCommonError{A: a.Name, B: b.Name, What: "cell in common", Fix: "name one of each, as DIR:LEVEL/LEVEL"}
	}
	return pairs, nil
}

// Difference is how a measure differs between two sides, in pairs of the same seed.
type Difference struct {
	Measure     string   `json:"measure"`
	Cell        string   `json:"cell"`
	A           float64  `json:"a"` // mean
	B           float64  `json:"b"` // mean
	Delta       Estimate `json:"b_minus_a"`
	Significant bool     `json:"sure"` // significant by Holm's correction for all differences that were computed together
	Verdict     string   `json:"verdict"`

	finding finding
}

// Compare returns how B differs from A in each measure and pair of cells. Measures without a seed that both sides have a
// value of are left out.
func Compare(a, b *Side) ([]Difference, error) {
	pairs, err := pairCells(a, b)
	if err != nil {
		return nil, err
	}
	var all []Difference
	for _, pair := range pairs {
		for _, m := range Measures {
			d, ok := difference(a.Result.values(pair.a, m.Name), b.Result.values(pair.b, m.Name))
			if !ok {
				continue
			}
			d.Measure, d.Cell = m.Name, pair.name()
			all = append(all, d)
		}
	}
	if len(all) == 0 {
		return nil, NothingInCommonError{A: a.Name, B: b.Name, What: "seed in common that came to an end on both sides"}
	}
	judge(all)
	return all, nil
}

// difference compares the values of the seeds that both sides have. It returns false if there are none.
func difference(a, b seedValues) (d Difference, ok bool) {
	more := seedValues{}
	for seed, v := range a {
		if w, both := b[seed]; both {
			more[seed] = w - v
		}
	}
	if len(more) == 0 {
		return Difference{}, false
	}
	var sumA, sumB float64
	for _, seed := range more.seeds() {
		sumA, sumB = sumA+a[seed], sumB+b[seed]
	}
	n := float64(len(more))
	return Difference{A: sumA / n, B: sumB / n, Delta: estimate(more.inOrder())}, true
}
