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
	significance = 1 - confidence // highest p-value at which a difference is significant
	power        = 0.8            // probability of detecting the smallest detectable difference
)

// Estimate is a mean with its 95% confidence interval, by Student's t.
type Estimate struct {
	Mean float64 `json:"mean"`
	Low  float64 `json:"low"`
	High float64 `json:"high"`
	N    int     `json:"n"`

	// SmallestDetectable is the smallest difference from 0 that as many values show with a power of 80%.
	SmallestDetectable float64 `json:"smallest_seen"`

	P     float64 `json:"p"`     // probability of a mean as far from 0 if the true one is 0
	Alike bool    `json:"alike"` // all values are equal
}

// newEstimate returns the estimate of values. With fewer than two there is no interval: Low and High are infinite.
// Without any the mean is NaN.
func newEstimate(values []float64) Estimate {
	if len(values) == 0 {
		return estimateWithoutInterval(math.NaN(), 0)
	}
	mean, deviation := stat.MeanStdDev(values, nil)
	switch {
	case len(values) == 1:
		return estimateWithoutInterval(mean, 1)
	case slices.Min(values) == slices.Max(values):
		return estimateOfEqual(mean, len(values))
	}
	return studentEstimate(mean, deviation, len(values))
}

// studentEstimate returns the estimate of values that differ, by Student's t distribution.
func studentEstimate(mean, deviation float64, count int) Estimate {
	t := distuv.StudentsT{
		Mu:    0,
		Sigma: 1,
		Nu:    float64(count - 1),
	}
	standardError := deviation / math.Sqrt(float64(count))
	halfWidth := t.Quantile((1+confidence)/2) * standardError
	return Estimate{
		Mean:               mean,
		Low:                mean - halfWidth,
		High:               mean + halfWidth,
		N:                  count,
		SmallestDetectable: halfWidth + t.Quantile(power)*standardError,
		P:                  2 * (1 - t.CDF(math.Abs(mean)/standardError)),
	}
}

// estimateWithoutInterval returns the estimate of fewer than two values.
func estimateWithoutInterval(mean float64, count int) Estimate {
	return Estimate{
		Mean:               mean,
		Low:                math.Inf(-1),
		High:               math.Inf(1),
		N:                  count,
		SmallestDetectable: math.Inf(1),
		P:                  1,
	}
}

// estimateOfEqual returns the estimate of two or more equal values.
func estimateOfEqual(mean float64, count int) Estimate {
	p := 1.0
	if mean != 0 {
		p = 0
	}
	return Estimate{
		Mean:  mean,
		Low:   mean,
		High:  mean,
		N:     count,
		P:     p,
		Alike: true,
	}
}

// formatFigure formats a number with three significant digits.
func formatFigure(value float64) string {
	switch magnitude := math.Abs(value); {
	case math.IsNaN(value):
		return "-"
	case math.IsInf(value, 0):
		return "any"
	case magnitude == 0:
		return "0"
	case magnitude >= 1000:
		return fmt.Sprintf("%.0f", value)
	case magnitude >= 100:
		return fmt.Sprintf("%.1f", value)
	case magnitude >= 1:
		return fmt.Sprintf("%.2f", value)
	}
	return fmt.Sprintf("%.3g", value)
}
