package experiment

import (
	"bytes"
	"fmt"
	"image/color"
	"math"
	"slices"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"
)

const (
	plotWidth    = 18 * vg.Centimeter
	plotHeight   = 9 * vg.Centimeter
	plotDPI      = 110
	plotMargin   = 0.4 // space beyond the first and the last level, in distances between two levels
	lineWidth    = 1.5 // points
	dashOnPoints = 4
	dashGap      = 3 // points
)

// lineColors are distinguishable for readers with a colour vision deficiency.
var lineColors = []color.RGBA{
	{0, 114, 178, 255},
	{213, 94, 0, 255},
	{0, 158, 115, 255},
	{204, 121, 167, 255},
	{86, 180, 233, 255},
	{230, 159, 0, 255},
	{0, 0, 0, 255},
}

// plot draws a measure as a PNG image. The x axis has the levels of the factor that has the most of them. There is a
// line for each combination of the other factors' levels, and each point has its confidence interval.
func (r *Result) plot(m Measure) ([]byte, error) {
	axis := r.axis()
	names := r.axisNames(axis)
	chart := newChart(m, names)
	for i, l := range r.lines(m, axis, names) {
		if err := l.addTo(chart, i); err != nil {
			return nil, err
		}
	}
	setRanges(chart, len(names))
	return encodePNG(chart)
}

// newChart returns a plot without lines.
func newChart(m Measure, names []string) *plot.Plot {
	chart := plot.New()
	chart.Title.Text = m.About
	chart.Y.Label.Text = m.Unit
	chart.Legend.Top = true
	chart.Legend.Left = true
	chart.Add(plotter.NewGrid())
	chart.NominalX(names...)
	return chart
}

// setRanges sets the ranges of the axes, after adding lines has set them to the range of the values. A y axis of
// positive values begins at zero unless that leaves at least half of the plot empty.
func setRanges(chart *plot.Plot, levelCount int) {
	chart.X.Min = -plotMargin
	chart.X.Max = float64(levelCount-1) + plotMargin
	if chart.Y.Min > 0 && chart.Y.Min < chart.Y.Max/2 {
		chart.Y.Min = 0
	}
}

// encodePNG draws a plot on a white background.
func encodePNG(chart *plot.Plot) ([]byte, error) {
	canvas := vgimg.NewWith(
		vgimg.UseWH(plotWidth, plotHeight),
		vgimg.UseDPI(plotDPI),
		vgimg.UseBackgroundColor(color.White))
	chart.Draw(draw.New(canvas))
	var out bytes.Buffer
	if _, err := (vgimg.PngCanvas{Canvas: canvas}).WriteTo(&out); err != nil {
		return nil, fmt.Errorf("encode PNG: %w", err)
	}
	return out.Bytes(), nil
}

// noAxis is the value of axis for a plan without factors.
const noAxis = -1

// axis returns the index of the factor on the x axis: the one with the most levels, or the first of several such.
func (r *Result) axis() int {
	axis := noAxis
	for i, f := range r.Plan.Factors {
		if axis == noAxis || len(f.Levels) > len(r.Plan.Factors[axis].Levels) {
			axis = i
		}
	}
	return axis
}

// axisNames returns the names of the levels on the x axis.
func (r *Result) axisNames(axis int) (names []string) {
	if axis == noAxis {
		return []string{nameWithoutFactors}
	}
	for _, l := range r.Plan.Factors[axis].Levels {
		names = append(names, l.Name)
	}
	return names
}

// line is a line of the plot, with the estimates of one combination of levels of the factors not on the x axis.
type line struct {
	name      string // "" if there are no other factors
	points    plotter.XYs
	intervals plotter.YErrors
}

// add adds a point at a position on the x axis, with an interval if the estimate has one.
func (l *line) add(x int, e Estimate) {
	below := e.Mean - e.Low
	above := e.High - e.Mean
	if math.IsInf(below, 0) {
		below = 0
		above = 0
	}
	l.points = append(l.points, plotter.XY{X: float64(x), Y: e.Mean})
	l.intervals = append(l.intervals, struct{ Low, High float64 }{Low: below, High: above})
}

// lines returns the lines of a measure in the order of the cells.
func (r *Result) lines(m Measure, axis int, names []string) (lines []*line) {
	for _, c := range r.Plan.Cells() {
		e := r.Estimate(c, m.Name)
		if e.N == 0 {
			continue
		}
		x, name := c.position(axis, names)
		i := slices.IndexFunc(lines, func(l *line) bool { return l.name == name })
		if i < 0 {
			i = len(lines)
			lines = append(lines, &line{name: name})
		}
		lines[i].add(x, e)
	}
	return lines
}

// position returns a cell's position on the x axis and the name of its line.
func (c Cell) position(axis int, names []string) (x int, lineName string) {
	if axis == noAxis {
		return 0, ""
	}
	levels := c.levelNames()
	x = slices.Index(names, levels[axis])
	return x, strings.Join(slices.Delete(levels, axis, axis+1), levelSeparator)
}

// addTo adds the line to a plot. The index selects the colour; lines beyond the last colour are dashed.
func (l *line) addTo(chart *plot.Plot, index int) error {
	lines, points, err := plotter.NewLinePoints(l.points)
	if err != nil {
		return fmt.Errorf("line %q: %w", l.name, err)
	}
	bars, err := plotter.NewYErrorBars(struct {
		plotter.XYer
		plotter.YErrorer
	}{l.points, l.intervals})
	if err != nil {
		return fmt.Errorf("intervals of line %q: %w", l.name, err)
	}
	lineColor := lineColors[index%len(lineColors)]
	lines.Color = lineColor
	points.Color = lineColor
	bars.Color = lineColor
	points.Shape = draw.CircleGlyph{}
	lines.Width = vg.Points(lineWidth)
	if index >= len(lineColors) {
		lines.Dashes = []vg.Length{vg.Points(dashOnPoints), vg.Points(dashGap)}
	}
	chart.Add(lines, points, bars)
	if l.name != "" {
		chart.Legend.Add(l.name, lines, points)
	}
	return nil
}
