// Package experiment plays days in virtual time again and again with something varied, keeps what came out in a
// directory that an interrupted run is resumed from, and says what difference it made and with which certainty.
//
// A plan crosses the levels of its factors; every crossing (a cell) is played with the same seeds, so that cells are
// compared in pairs: the same workloads wanted at the same times, and the same chance in the faults.
package experiment

import (
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"time"

	"grebeglade/config"
	"grebeglade/internal/simulation/scenario"
	"grebeglade/placement"
)

// Plan is an experiment as its file says it.
type Plan struct {
	Name    string
	About   string
	Script  string        // whose day is played
	Repeats int           // seeds of each cell
	Seed    uint64        // the first of them
	Workers int           // days played at a time
	Each    time.Duration // a day that takes longer is given up
	Budget  time.Duration // no day is begun after that
	Oracle  bool
	Factors []Factor

	file string
	src  []byte
}

// Factor is something that is varied.
type Factor struct {
	Name   string
	Levels []Level
}

// Level is one way in which a factor is set.
type Level struct {
	Name       string
	Build      string // git revision whose program plays the day, "" for this one
	Nodes      int
	Allocators int
	Load       float64
	Rate       float64
	Length     placement.Millis
	Script     string
}

// Cell is one crossing of levels, named by factor.
type Cell struct {
	No     int
	Levels []Level
}

// Name is the cell's levels in a line.
func (c Cell) Name() string {
	names := make([]string, len(c.Levels))
	for i, l := range c.Levels {
		names[i] = l.Name
	}
	if len(names) == 0 {
		return "all"
	}
	return strings.Join(names, " / ")
}

// Open reads a plan and tries each cell's day, so that what is wrong is told before anything is played.
func Open(file string) (*Plan, error) {
	src, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	return Decode(file, src)
}

// Decode reads a plan's text.
func Decode(file string, src []byte) (*Plan, error) {
	b, err := config.Parse(file, src)
	if err != nil {
		return nil, err
	}
	p := &Plan{
		Name: strings.TrimSuffix(filepath.Base(file), ".hcl"), About: b.String("about", ""), Script: b.String("script", "quiet"),
		Repeats: b.Int("repeats", 10, 1, 10000), Seed: uint64(b.Int("seed", 1, 1, 1<<30)),
		Workers: b.Int("workers", runtime.GOMAXPROCS(0), 1, 1024),
		Each:    toDuration(b.Duration("each", 120e3)), Budget: toDuration(b.Duration("budget", 3600e3)),
		Oracle: b.Bool("oracle", false), file: file, src: src,
	}
	var dayed *config.Block
	built := false
	for _, f := range b.Named("factor") {
		factor := Factor{Name: f.Name}
		for _, l := range f.Named("level") {
			factor.Levels = append(factor.Levels, Level{
				Name: l.Name, Build: l.String("build", ""), Nodes: l.Int("nodes", 0, 0, 1e6),
				Allocators: l.Int("allocators", 0, 0, 5000), Load: l.Float("load", 0, 0, 100), Rate: l.Float("rate", 0, 0, 1e6),
				Length: l.Duration("length", 0), Script: l.String("script", ""),
			})
			if days := l.Blocks("day"); len(days) > 0 {
				l.Block("day").Skip() // read with its cell
				dayed = days[0]
			}
			if l.Has("build") {
				built = true
			}
		}
		if len(factor.Levels) == 0 {
			f.AddProblem("", fmt.Sprintf("factor %q has no level", f.Name), `write level "NAME" { … }`)
		}
		p.Factors = append(p.Factors, factor)
	}
	if built && dayed != nil {
		dayed.AddProblem("", "a day block beside a level with a build", "another build plays scripts as they are; "+
			"put what the day block says into a script file and name that with script =")
	}
	if p.Each <= 0 || p.Budget <= 0 {
		b.AddProblem("budget", "an experiment without time", `write times such as each = "2m" and budget = "1h"`)
	}
	if err := b.Finish(); err != nil {
		return nil, err
	}
	if cells := len(p.Cells()); cells > 10000 {
		return nil, config.Problems{{File: file, Line: 1, What: fmt.Sprintf("%d cells are too many", cells), Fix: "leave levels out"}}
	}
	for _, c := range p.Cells() {
		if _, err := p.Day(c); err != nil {
			return nil, err
		}
	}
	return p, nil
}

func toDuration(t placement.Millis) time.Duration { return time.Duration(float64(t) * 1e6) }

// Cells are all crossings; the last factor changes first.
func (p *Plan) Cells() []Cell {
	cells := []Cell{{}}
	for _, f := range p.Factors {
		var next []Cell
		for _, c := range cells {
			for _, l := range f.Levels {
				next = append(next, Cell{No: len(next), Levels: append(append([]Level{}, c.Levels...), l)})
			}
		}
		cells = next
	}
	return cells
}

// Day is the script of a cell: what its levels' day blocks say, then the script that they or the plan name. Where two
// levels set the same, the one of the factor that stands first counts.
func (p *Plan) Day(c Cell) (*scenario.Script, error) {
	b, err := config.Parse(p.file, p.src)
	if err != nil {
		return nil, err
	}
	base, day := p.Script, (*config.Block)(nil)
	for i, f := range b.Named("factor") {
		for _, l := range f.Named("level") {
			if l.Name != c.Levels[i].Name {
				continue
			}
			if s := c.Levels[i].Script; s != "" {
				base = s
			}
			if own := l.Block("day"); day == nil {
				day = own
			} else {
				day.Inherit(own)
			}
		}
	}
	from, err := scenario.Parse(base)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", p.file, err)
	}
	if day == nil {
		day = from
	} else {
		day.Inherit(from)
	}
	s, err := scenario.Decode(day)
	if err != nil {
		return nil, err
	}
	s.Name = base
	for _, l := range c.Levels {
		s.Resize(l.Allocators, l.Nodes)
	}
	for _, l := range c.Levels {
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
	return s, nil
}
