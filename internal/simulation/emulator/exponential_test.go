package emulator

import (
	"math"
	"math/big"
	"math/rand/v2"
	"runtime"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/cpu"
)

// exponentialSamples is the number of arguments per range that are compared.
const exponentialSamples = 20_000

// forEachExponentialArgument calls check with arguments over the whole range of results, and over that of lifetimes.
func forEachExponentialArgument(check func(x float64)) {
	rng := rand.New(rand.NewPCG(1, 2))
	for range exponentialSamples {
		check(minExponentialArgument + rng.Float64()*(maxExponentialArgument-minExponentialArgument))
		check(rng.NormFloat64()*lifetimeSigma - lifetimeSigma*lifetimeSigma/2)
		check(math.Copysign(math.Exp2(-60*rng.Float64()), rng.Float64()-0.5))
	}
}

// preciseExponential returns e^x with an error far below an ulp.
func preciseExponential(x float64) *big.Float {
	const precision, halvings, terms = 200, 20, 20
	reduced := new(big.Float).SetPrec(precision).SetFloat64(x)
	reduced.SetMantExp(reduced, -halvings)
	sum := big.NewFloat(1).SetPrec(precision)
	term := big.NewFloat(1).SetPrec(precision)
	for i := range terms {
		term.Mul(term, reduced)
		term.Quo(term, big.NewFloat(float64(i+1)).SetPrec(precision))
		sum.Add(sum, term)
	}
	for range halvings {
		sum.Mul(sum, sum)
	}
	return sum
}

// errorInULPs returns the difference of a result from the precise one, in units of the result's last place.
func errorInULPs(result float64, precise *big.Float) float64 {
	ulp := math.Nextafter(result, math.Inf(1)) - result
	difference, _ := new(big.Float).Sub(precise, big.NewFloat(result)).Float64()
	return math.Abs(difference) / ulp
}

// Guards against wrong lifetimes in simulated runs.
func TestExponential_CloseToThePreciseValue(t *testing.T) {
	forEachExponentialArgument(func(x float64) {
		require.Lessf(t, errorInULPs(exponential(x), preciseExponential(x)), 2.0, "of %v", x)
	})
}

func TestExponential_LimitsAndSpecialValues(t *testing.T) {
	for _, x := range []float64{0, math.Inf(1), math.Inf(-1), 710, -746, math.Nextafter(maxExponentialArgument, 1000)} {
		assert.Equalf(t, math.Float64bits(math.Exp(x)), math.Float64bits(exponential(x)), "of %v", x)
	}
	assert.True(t, math.IsNaN(exponential(math.NaN())))
	assert.Positive(t, exponential(-745))
}

// Guards against digests of simulated runs that differ between kinds of machines: those stored were written on amd64.
func TestExponential_OnAMD64WithFMA_AsTheLibrary(t *testing.T) {
	if runtime.GOARCH != "amd64" || !cpu.X86.HasAVX || !cpu.X86.HasFMA {
		t.Log("not compared: the library uses another method on this machine")
		return
	}
	forEachExponentialArgument(func(x float64) {
		if result := math.Exp(x); result >= math.SmallestNonzeroFloat64*(1<<52) { // others are rounded by Ldexp
			require.Equalf(t, math.Float64bits(result), math.Float64bits(exponential(x)), "of %v", x)
		}
	})
}
