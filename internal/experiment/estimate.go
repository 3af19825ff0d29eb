package experiment

import (
	"fmt"
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

const (
	confidence   = 0.95           // of an interval
	significance = 1 - confidence // highest probability by chance at which a difference counts
	power        = 0.8            // with which the smallest difference would have been seen
)

// Estimate is a mean with its 95% confidence interval, by Student's t.
type Estimate struct {
	Mean               float64 `json:"mean"`
	Low                float64 `json:"low"`
	High               float64 `json:"high"`
	N                  int     `json:"n"`
	SmallestDetectable float64 `json:"smallest_seen"` // the smallest difference from 0 that as many values show with a power of 80%
	P                  float64 `json:"p"`             // probability of a mean as far from 0 if the true one is 0
	Alike              bool    `json:"alike"`         // all values are equal
}

// estimate returns the estimate of values. With fewer than two there is no interval: Low and High are infinite. Without
// any the mean is NaN.
func estimate(values []float64) Estimate {
	e := Estimate{N: len(values), Low: math.Inf(-1), High: math.Inf(1), SmallestDetectable: math.Inf(1), P: 1}
	if e.N == 0 {
		e.Mean = math.NaN()
		return e
	}
	mean, deviation := stat.MeanStdDev(values, nil)
	e.Mean = mean
	if e.N < 2 {
		return e
	}
	if slices.Min(values) == slices.Max(values) {
		return equalEstimate(mean, e.N)
	}
	t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(e.N - 1)}
	standardError := deviation / math.Sqrt(float64(e.N))
	half := t.Quantile((1+confidence)/2) * standardError
	e.Low, e.High = mean-half, mean+half
	e.SmallestDetectable = half + t.Quantile(power)*standardError
	e.P = 2 * (1 - t.CDF(math.Abs(mean)/standardError))
	return e
}

// equalEstimate returns the estimate of two or more equal values.
func equalEstimate(mean float64, n int) Estimate {
	e := Estimate{Mean: mean, Low: mean, High: mean, N: n, P: 1, Alike: true}
	if mean != 0 {
		e.P = 0
	}
	return e
}

// formatFigure formats a number with three significant digits.
func formatFigure(v float64) string {
	switch magnitude := math.Abs(v); {
	case math.IsNaN(v):
		return "-"
	case math.IsInf(v, 0):
		return "any"
	case magnitude == 0:
		return "0"
	case magnitude >= 1000:
		return fmt.Sprintf("%.0f", v)
	case magnitude >= 100:
		return fmt.Sprintf("%.1f", v)
	case magnitude >= 1:
		return fmt.Sprintf("%.2f", v)
	}
	return fmt.Sprintf("%.3g", v)
}
