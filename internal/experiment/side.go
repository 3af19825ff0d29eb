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
	isCell bool // the side is a single cell
}

const (
	cellSeparator      = ":" // separates directory and cell name
	sideLevelSeparator = "/" // separates levels in a cell name
)

// OpenSide reads the experiment in a directory. The name is "DIR", or "DIR:LEVEL/LEVEL" for one of its cells.
func OpenSide(name string) (*Side, error) {
	dir, cell, isCell := splitSideName(name)
	result, err := Read(dir)
	if err != nil {
		return nil, err
	}
	s := &Side{
		Name:   name,
		Result: result,
		cells:  result.Plan.Cells(),
	}
	if !isCell {
		return s, nil
	}
	if err := s.selectCell(cell); err != nil {
		return nil, err
	}
	return s, nil
}

// splitSideName splits a name at its last cell separator, unless the whole name is an existing path.
func splitSideName(name string) (dir, cell string, isCell bool) {
	if _, err := os.Stat(name); err == nil {
		return name, "", false
	}
	at := strings.LastIndex(name, cellSeparator)
	if at <= 0 {
		return name, "", false
	}
	return name[:at], name[at+len(cellSeparator):], true
}

// selectCell restricts the side to the cell with the given name.
func (s *Side) selectCell(name string) error {
	var known []string
	for _, c := range s.cells {
		cellName := strings.ReplaceAll(c.Name(), levelSeparator, sideLevelSeparator)
		if cellName == name {
			s.cells = []Cell{c}
			s.isCell = true
			return nil
		}
		known = append(known, cellName)
	}
	return UnknownCellError{
		Dir:   s.Result.Dir,
		Cell:  name,
		Known: known,
	}
}

// cellPair is a cell of side A with the cell of side B that it is compared with.
type cellPair struct{ a, b Cell }

func (p cellPair) name() string {
	if p.a.Name() == p.b.Name() {
		return p.a.Name()
	}
	return p.a.Name() + " -> " + p.b.Name()
}

// pairCells returns the pair of selected cells or, for two whole experiments, the pairs of cells with the same name.
func pairCells(a, b *Side) ([]cellPair, error) {
	if a.isCell != b.isCell {
		return nil, ErrOneCell
	}
	if a.isCell {
		return []cellPair{{a.cells[0], b.cells[0]}}, nil
	}
	pairs := cellsOfSameName(a.cells, b.cells)
	if len(pairs) == 0 {
		return nil, NothingInCommonError{
			A:       a.Name,
			B:       b.Name,
			Missing: "cell in common",
			Fix:     "select a cell of each, as DIR:LEVEL/LEVEL",
		}
	}
	return pairs, nil
}

func cellsOfSameName(a, b []Cell) (pairs []cellPair) {
	for _, cellA := range a {
		for _, cellB := range b {
			if cellA.Name() == cellB.Name() {
				pairs = append(pairs, cellPair{cellA, cellB})
			}
		}
	}
	return pairs
}
