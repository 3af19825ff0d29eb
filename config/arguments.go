package config

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/zclconf/go-cty/cty"
	"github.com/zclconf/go-cty/cty/convert"

	"grebeglade/placement"
)

// Has reports whether the argument is given.
func (b *Block) Has(name string) bool { return b.body.Attributes[name] != nil }

// value returns an argument converted to a type, and false if it is absent or wrong. Wanted describes the type in a fix.
func (b *Block) value(name string, as cty.Type, wanted string) (cty.Value, bool) {
	b.known[name] = true
	a := b.body.Attributes[name]
	if a == nil {
		return cty.NilVal, false
	}
	v, diagnostics := a.Expr.Value(nil)
	if diagnostics.HasErrors() {
		b.AddProblem(name, name+" cannot be evaluated: "+asClause(diagnostics[0].Summary), "write "+wanted)
		return cty.NilVal, false
	}
	converted, err := convert.Convert(v, as)
	if err != nil || converted.IsNull() || !converted.IsWhollyKnown() {
		b.AddProblem(name, fmt.Sprintf("%s is not %s", name, wanted), "write "+wanted)
		return cty.NilVal, false
	}
	return converted, true
}

// String reads a string.
func (b *Block) String(name, otherwise string) string {
	v, ok := b.value(name, cty.String, `a text in quotes`)
	if !ok {
		return otherwise
	}
	return v.AsString()
}

// Strings reads a list of strings.
func (b *Block) Strings(name string, otherwise []string) []string {
	v, ok := b.value(name, cty.List(cty.String), `a list such as ["a", "b"]`)
	if !ok {
		return otherwise
	}
	var texts []string
	for _, e := range v.AsValueSlice() {
		texts = append(texts, e.AsString())
	}
	return texts
}

// OneOf reads a string that must be one of the choices.
func (b *Block) OneOf(name, otherwise string, choices ...string) string {
	s := b.String(name, otherwise)
	if !slices.Contains(choices, s) {
		b.AddProblem(name, fmt.Sprintf("%s is %q", name, s), fmt.Sprintf("write one of %q", choices))
		return otherwise
	}
	return s
}

// Float reads a number from least to most.
func (b *Block) Float(name string, otherwise, least, most float64) float64 {
	v, ok := b.value(name, cty.Number, "a number")
	if !ok {
		return otherwise
	}
	n, _ := v.AsBigFloat().Float64()
	if n < least || n > most {
		b.AddProblem(name, fmt.Sprintf("%s is %v", name, n), fmt.Sprintf("write a number from %v to %v", least, most))
		return otherwise
	}
	return n
}

// Int reads an integer from least to most.
func (b *Block) Int(name string, otherwise, least, most int) int {
	n := b.Float(name, float64(otherwise), float64(least), float64(most))
	if n != float64(int(n)) {
		b.AddProblem(name, fmt.Sprintf("%s is %v", name, n), "write a whole number")
		return otherwise
	}
	return int(n)
}

// Bool reads true or false.
func (b *Block) Bool(name string, otherwise bool) bool {
	v, ok := b.value(name, cty.Bool, "true or false")
	if !ok {
		return otherwise
	}
	return v.True()
}

// Duration reads a duration with its unit, such as "250ms".
func (b *Block) Duration(name string, otherwise placement.Millis) placement.Millis {
	v, ok := b.value(name, cty.DynamicPseudoType, `a time with its unit, such as "250ms"`)
	if !ok {
		return otherwise
	}
	if v.Type() != cty.String {
		number := textOr(v, "250")
		b.AddProblem(name, name+" has no unit", fmt.Sprintf(`write it in quotes with one, such as "%sms" or "%ss"`, number, number))
		return otherwise
	}
	d, err := time.ParseDuration(v.AsString())
	if err != nil || d < 0 {
		b.AddProblem(name, fmt.Sprintf("%s is %q", name, v.AsString()), `write a time with its unit, such as "250ms" or "1.5s"`)
		return otherwise
	}
	return placement.Millis(float64(d) / float64(time.Millisecond))
}

// textOr returns a value as text, or otherwise if it has none.
func textOr(v cty.Value, otherwise string) string {
	if s, err := convert.Convert(v, cty.String); err == nil && !s.IsNull() && s.IsKnown() {
		return s.AsString()
	}
	return otherwise
}

// sizeUnits has "B" last, since the others end in it too.
var sizeUnits = []struct {
	suffix string
	bytes  float64
}{{"KiB", 1 << 10}, {"MiB", 1 << 20}, {"GiB", 1 << 30}, {"B", 1}}

// maxByteSize is the largest size that a float64 holds exactly.
const maxByteSize = 1 << 53

// ByteSize reads a number of bytes with its unit, such as "4MiB".
func (b *Block) ByteSize(name string, otherwise int64) int64 {
	text := b.String(name, "")
	if text == "" {
		return otherwise
	}
	size, ok := parseByteSize(text)
	if !ok {
		b.AddProblem(name, fmt.Sprintf("%s is %q", name, text), `write a size with its unit, such as "512KiB" or "4MiB"`)
		return otherwise
	}
	return size
}

func parseByteSize(text string) (size int64, ok bool) {
	for _, u := range sizeUnits {
		digits, found := strings.CutSuffix(text, u.suffix)
		if !found {
			continue
		}
		n, err := strconv.ParseFloat(strings.TrimSpace(digits), 64)
		if err == nil && n > 0 && n*u.bytes < maxByteSize {
			return int64(n * u.bytes), true
		}
	}
	return 0, false
}

// FloatPairs reads a list of pairs of numbers above 0.
func (b *Block) FloatPairs(name string, otherwise [][2]float64) [][2]float64 {
	v, ok := b.value(name, cty.List(cty.List(cty.Number)), "a list of pairs such as [[0.5, 1], [1, 2]]")
	if !ok {
		return otherwise
	}
	var pairs [][2]float64
	for _, e := range v.AsValueSlice() {
		pair, ok := positivePair(e)
		if !ok {
			b.AddProblem(name, name+" has an element that is no pair of numbers above 0", "write pairs such as [[0.5, 1], [1, 2]]")
			return otherwise
		}
		pairs = append(pairs, pair)
	}
	return pairs
}

func positivePair(list cty.Value) (pair [2]float64, ok bool) {
	if list.LengthInt() != len(pair) {
		return pair, false
	}
	for i, n := range list.AsValueSlice() {
		pair[i], _ = n.AsBigFloat().Float64()
	}
	return pair, pair[0] > 0 && pair[1] > 0
}
