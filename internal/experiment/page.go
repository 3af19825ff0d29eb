package experiment

import (
	"bytes"
	_ "embed"
	"encoding/base64"
	"fmt"
	"html/template"
	"os"
	"path/filepath"
	"strconv"
	"strings"
)

// Files of a report.
const (
	reportFile     = "report.html"
	plotsDirectory = "plots"
	plotExtension  = ".png"
)

//go:embed report.html
var reportText string

var reportTemplate = template.Must(template.New("report").Parse(reportText))

// page is what the report shows.
type page struct {
	Plan           *Plan
	Text           string // of the plan
	Cells          int
	Of, Done       int // runs
	Failed, Broken []Run
	Seconds        string
	Findings       []string
	Sections       []section
}

// section is the part of the report about one measure.
type section struct {
	Measure Measure
	Plot    template.URL
	Rows    []row
}

// row is the estimate of a measure in one cell.
type row struct {
	Cell            string
	Mean, Low, High string
	N, Lacking      int // runs with a value, and without
}

// WriteReport writes the report of an experiment beside its runs, and returns its path: one page that needs no other file,
// and each plot as a PNG file. Failed runs are listed and left out of the figures.
func (r *Result) WriteReport() (string, error) {
	sections, err := r.sections()
	if err != nil {
		return "", err
	}
	var out bytes.Buffer
	if err := reportTemplate.Execute(&out, r.newPage(sections)); err != nil {
		return "", err
	}
	path := filepath.Join(r.Dir, reportFile)
	return path, os.WriteFile(path, out.Bytes(), fileMode)
}

func (r *Result) newPage(sections []section) *page {
	cells := len(r.Plan.Cells())
	p := &page{
		Plan: r.Plan, Text: string(r.Plan.source), Cells: cells, Of: cells * r.Plan.Repeats, Done: len(r.Runs),
		Findings: r.findings(), Sections: sections,
	}
	total := 0.0
	for i := range r.Runs {
		run := &r.Runs[i]
		total += run.Seconds
		if run.Error != "" {
			p.Failed = append(p.Failed, *run)
		}
		if run.brokeRule() {
			p.Broken = append(p.Broken, *run)
		}
	}
	p.Seconds = fmt.Sprintf("%.0f", total)
	return p
}

// sections returns the sections of the measures that have values, and writes their plots.
func (r *Result) sections() (sections []section, err error) {
	plots := filepath.Join(r.Dir, plotsDirectory)
	if err := os.MkdirAll(plots, directoryMode); err != nil {
		return nil, err
	}
	for _, m := range Measures {
		rows := r.rows(m)
		if len(rows) == 0 {
			continue
		}
		png, err := r.draw(m)
		if err != nil {
			return nil, fmt.Errorf("plot of %s: %w", m.Name, err)
		}
		if err := os.WriteFile(filepath.Join(plots, m.Name+plotExtension), png, fileMode); err != nil {
			return nil, err
		}
		image := template.URL("data:image/png;base64," + base64.StdEncoding.EncodeToString(png))
		sections = append(sections, section{Measure: m, Plot: image, Rows: rows})
	}
	return sections, nil
}

// rows returns the rows of a measure for the cells that have values.
func (r *Result) rows(m Measure) (rows []row) {
	for _, c := range r.Plan.Cells() {
		e := r.Estimate(c, m.Name)
		if e.N == 0 {
			continue
		}
		rows = append(rows, row{
			Cell: c.Name(), Mean: formatFigure(e.Mean), Low: formatFigure(e.Low), High: formatFigure(e.High),
			N: e.N, Lacking: r.Plan.Repeats - e.N,
		})
	}
	return rows
}

// Description returns what a level sets.
func (l Level) Description() string {
	var settings []string
	add := func(set bool, name, value string) {
		if set {
			settings = append(settings, name+" "+value)
		}
	}
	add(l.Build != "", "build", l.Build)
	add(l.Script != "", "script", l.Script)
	add(l.Nodes > 0, "nodes", strconv.Itoa(l.Nodes))
	add(l.Allocators > 0, "allocators", strconv.Itoa(l.Allocators))
	add(l.Load > 0, "load", fmt.Sprintf("%.0f%%", 100*l.Load))
	add(l.Rate > 0, "rate", formatFigure(l.Rate)+"/s")
	add(l.Length > 0, "length", toDuration(l.Length).String())
	if len(settings) == 0 {
		return "what its day block says, or nothing"
	}
	return strings.Join(settings, ", ")
}
