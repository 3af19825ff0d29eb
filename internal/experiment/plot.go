package experiment

import (
	"bytes"
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
	plotMargin   = 0.4 // on the left and right, in levels
	lineWidth    = 1.5 // points
	dashOnPoints = 4
	dashGap      = 3
)

// lineColors can be told apart by the colour-blind too.
var lineColors = []color.RGBA{
	{0, 114, 178, 255},
	{213, 94, 0, 255},
	{0, 158, 115, 255},
	{204, 121, 167, 255},
	{86, 180, 233, 255},
	{230, 159, 0, 255},
	{0, 0, 0, 255},
}

// draw plots a measure over the levels of the factor with the most of them, as a PNG image. There is a line for each
// crossing of the other factors, and each point has its interval.
func (r *Result) draw(m Measure) ([]byte, error) {
	p := plot.New()
	p.Title.Text = m.About
	p.Y.Label.Text = m.Unit
	p.Add(plotter.NewGrid())
	axis := r.axis()
	names := r.axisNames(axis)
	p.NominalX(names...)
	for i, l := range r.lines(m, axis, names) {
		if err := l.addTo(p, i); err != nil {
			return nil, err
		}
	}
	p.Legend.Top, p.Legend.Left = true, true
	p.X.Min, p.X.Max = -plotMargin, float64(len(names)-1)+plotMargin
	if p.Y.Min > 0 && p.Y.Min < p.Y.Max/2 {
		p.Y.Min = 0
	}
	return encodePNG(p)
}

func encodePNG(p *plot.Plot) ([]byte, error) {
	canvas := vgimg.NewWith(vgimg.UseWH(plotWidth, plotHeight), vgimg.UseDPI(plotDPI), vgimg.UseBackgroundColor(color.White))
	p.Draw(draw.New(canvas))
	var out bytes.Buffer
	_, err := vgimg.PngCanvas{Canvas: canvas}.WriteTo(&out)
	return out.Bytes(), err
}

// noAxis is the axis of a plan without factors, which has one cell.
const noAxis = -1

// axis returns the index of the factor that plots run along: the first of those with the most levels.
func (r *Result) axis() int {
	axis := noAxis
	for i, f := range r.Plan.Factors {
		if axis == noAxis || len(f.Levels) > len(r.Plan.Factors[axis].Levels) {
			axis = i
		}
	}
	return axis
}

func (r *Result) axisNames(axis int) (names []string) {
	if axis == noAxis {
		return []string{"all"}
	}
	for _, l := range r.Plan.Factors[axis].Levels {
		names = append(names, l.Name)
	}
	return names
}

// line is the estimates of one crossing of the factors that are not the axis.
type line struct {
	name   string // "" if there are no other factors
	points plotter.XYs
	errors plotter.YErrors
}

func (l *line) add(x int, e Estimate) {
	low, high := e.Mean-e.Low, e.High-e.Mean
	if math.IsInf(low, 0) { // there is no interval
		low, high = 0, 0
	}
	l.points = append(l.points, plotter.XY{X: float64(x), Y: e.Mean})
	l.errors = append(l.errors, struct{ Low, High float64 }{low, high})
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

// position returns where a cell is on the axis, and the name of its line.
func (c Cell) position(axis int, names []string) (x int, lineName string) {
	if axis == noAxis {
		return 0, ""
	}
	levels := c.levelNames()
	x = slices.Index(names, levels[axis])
	return x, strings.Join(slices.Delete(levels, axis, axis+1), levelSeparator)
}

// addTo adds the line to a plot, in which it is the i-th. Where the colours are used up, lines are dashed.
func (l *line) addTo(p *plot.Plot, i int) error {
	lines, points, err := plotter.NewLinePoints(l.points)
	if err != nil {
		return err
	}
	bars, err := plotter.NewYErrorBars(struct {
		plotter.XYer
		plotter.YErrorer
	}{l.points, l.errors})
	if err != nil {
		return err
	}
	ink := lineColors[i%len(lineColors)]
	lines.Color, points.Color, bars.Color = ink, ink, ink
	points.Shape = draw.CircleGlyph{}
	lines.Width = vg.Points(lineWidth)
	if i >= len(lineColors) {
		lines.Dashes = []vg.Length{vg.Points(dashOnPoints), vg.Points(dashGap)}
	}
	p.Add(lines, points, bars)
	if l.name != "" {
		p.Legend.Add(l.name, lines, points)
	}
	return nil
}
