package emulator

import "math"

// Constants of exponential. The two parts of ln 2 add up to it with more digits than a float64 has; the upper part has
// so few digits that its products with small integers are exact.
const (
	ln2Upper = 0.69314718055966295651160180568695068359375
	ln2Lower = 0.28235290563031577122588448175013436025525412068e-12

	maxExponentialArgument = 7.09782712893384e+02 // the result is infinite above it
	minExponentialArgument = -745.2               // the result is zero below it
	reductionFactor        = 1.0 / 16             // the series converges fast for arguments below ln(2)/32
)

// expm1Coefficients are those of the Taylor series of e^x-1, divided by x, from the highest power to the second lowest.
var expm1Coefficients = [...]float64{1.0 / 40320, 1.0 / 5040, 1.0 / 720, 1.0 / 120, 1.0 / 24, 1.0 / 6, 1.0 / 2, 1}

// exponential returns e^x with an error of less than 2 ulp. Its result is the same on all kinds of
// machines, unlike that of math.Exp, which uses assembly for some of them: digests of simulated runs depend on it. The
// method is that of N. Shibata, "Efficient evaluation methods of elementary functions suitable for SIMD computation".
//
// Conversions to float64 keep the compiler from fusing a product with a sum on machines that can.
func exponential(x float64) float64 {
	switch {
	case math.IsNaN(x):
		return x
	case x > maxExponentialArgument:
		return math.Inf(1)
	case x < minExponentialArgument:
		return 0
	}
	exponent := math.RoundToEven(x * math.Log2E)
	reduced := math.FMA(-exponent, ln2Upper, x)
	reduced = math.FMA(-exponent, ln2Lower, reduced)
	reduced *= reductionFactor

	series := expm1Coefficients[0]
	for _, coefficient := range expm1Coefficients[1:] {
		series = math.FMA(series, reduced, coefficient)
	}
	expm1 := float64(reduced * series)
	// e^2y-1 = (e^y-1)(e^y+1), once for each factor of 2 in 1/reductionFactor.
	for range 3 {
		expm1 = float64(expm1 * (expm1 + 2))
	}
	return math.Ldexp(math.FMA(expm1, expm1+2, 1), int(exponent))
}
