package experiment

import (
	"fmt"
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

const (
	confidence   = 0.95           // confidence level of intervals
	significance = 1 - confidence // highest p-value at which a difference is significant
	power        = 0.8            // probability with which Estimate.SmallestDetectable is detected
)

// Estimate is a mean with its 95% confidence interval by Student's t distribution.
type Estimate struct {
	Mean float64 `json:"mean"`
	Low  float64 `json:"low"`
	High float64 `json:"high"`
	N    int     `json:"n"` // number of values

	// SmallestDetectable is the smallest true mean that N values distinguish from 0 with a power of 80%.
	SmallestDetectable float64 `json:"smallest_seen"`

	P     float64 `json:"p"`     // p-value: probability of a mean at least as far from 0 if the true mean is 0
	Alike bool    `json:"alike"` // all values are equal
}

// newEstimate returns the estimate of values. Fewer than two values have no interval: Low and High are infinite. The
// mean of no values is NaN.
func newEstimate(values []float64) Estimate {
	if len(values) == 0 {
		return estimateWithoutInterval(math.NaN(), 0)
	}
	mean, deviation := stat.MeanStdDev(values, nil)
	switch {
	case len(values) == 1:
		return estimateWithoutInterval(mean, 1)
	case slices.Min(values) == slices.Max(values):
		return estimateOfEqualValues(mean, len(values))
	}
	return studentEstimate(mean, deviation, len(values))
}

// studentEstimate returns the estimate of values that are not all equal, by Student's t distribution.
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

// estimateOfEqualValues returns the estimate of two or more equal values.
func estimateOfEqualValues(mean float64, count int) Estimate {
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

// formatFigure formats a number with three or four significant digits, and without decimals from 1000 on. NaN, the mean
// of no values, is "-"; an infinite bound is "any".
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
