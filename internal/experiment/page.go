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

// page is the data of the report's template.
type page struct {
	Plan     *Plan
	Text     string // text of the plan's file
	Cells    int
	Total    int   // all runs of the experiment
	Done     int   // completed runs
	Failed   []Run // runs without values
	Broken   []Run // runs with a rule violation
	Seconds  string
	Findings []string
	Sections []section
}

// section is the part of the report about one measure.
type section struct {
	Measure Measure
	Plot    template.URL
	Rows    []row
}

// row is the estimate of a measure in one cell.
type row struct {
	Cell    string
	Mean    string
	Low     string
	High    string
	N       int // runs with a value
	Lacking int // runs without a value
}

// WriteReport writes the report of an experiment into its directory, and returns the path of the page. The page is
// self-contained; each plot is also written as a PNG file. Failed runs are listed and left out of the figures.
func (r *Result) WriteReport() (string, error) {
	sections, err := r.sections()
	if err != nil {
		return "", err
	}
	var out bytes.Buffer
	if err := reportTemplate.Execute(&out, r.newPage(sections)); err != nil {
		return "", fmt.Errorf("execute template of report: %w", err)
	}
	path := filepath.Join(r.Dir, reportFile)
	if err := os.WriteFile(path, out.Bytes(), fileMode); err != nil {
		return "", fmt.Errorf("write report: %w", err)
	}
	return path, nil
}

// newPage returns the page with the sections and the totals of all runs.
func (r *Result) newPage(sections []section) *page {
	cellCount := len(r.Plan.Cells())
	report := &page{
		Plan:     r.Plan,
		Text:     string(r.Plan.source.text),
		Cells:    cellCount,
		Total:    cellCount * r.Plan.Repeats,
		Done:     len(r.Runs),
		Findings: r.findings(),
		Sections: sections,
	}
	seconds := 0.0
	for i := range r.Runs {
		run := &r.Runs[i]
		seconds += run.Seconds
		if run.Error != "" {
			report.Failed = append(report.Failed, *run)
		}
		if run.brokeRule() {
			report.Broken = append(report.Broken, *run)
		}
	}
	report.Seconds = fmt.Sprintf("%.0f", seconds)
	return report
}

// sections returns the sections of the measures that have values, and writes their plots.
func (r *Result) sections() (sections []section, err error) {
	plots := filepath.Join(r.Dir, plotsDirectory)
	if err := os.MkdirAll(plots, directoryMode); err != nil {
		return nil, fmt.Errorf("create directory for plots: %w", err)
	}
	for _, m := range Measures {
		rows := r.rows(m)
		if len(rows) == 0 {
			continue
		}
		png, err := r.plot(m)
		if err != nil {
			return nil, fmt.Errorf("plot of %s: %w", m.Name, err)
		}
		if err := os.WriteFile(filepath.Join(plots, m.Name+plotExtension), png, fileMode); err != nil {
			return nil, fmt.Errorf("write plot: %w", err)
		}
		sections = append(sections, section{
			Measure: m,
			Plot:    pngURL(png),
			Rows:    rows,
		})
	}
	return sections, nil
}

// pngURL returns a data URL, which keeps the page self-contained.
func pngURL(png []byte) template.URL {
	return template.URL("data:image/png;base64," + base64.StdEncoding.EncodeToString(png))
}

// rows returns the rows of a measure for the cells that have values.
func (r *Result) rows(m Measure) (rows []row) {
	for _, c := range r.Plan.Cells() {
		e := r.Estimate(c, m.Name)
		if e.N == 0 {
			continue
		}
		rows = append(rows, row{
			Cell:    c.Name(),
			Mean:    formatFigure(e.Mean),
			Low:     formatFigure(e.Low),
			High:    formatFigure(e.High),
			N:       e.N,
			Lacking: r.Plan.Repeats - e.N,
		})
	}
	return rows
}

// Description returns the settings of a level as text.
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
