package config

import (
	"fmt"
	"slices"

	"github.com/zclconf/go-cty/cty"
	"github.com/zclconf/go-cty/cty/convert"
)

// Has reports whether the argument is set in the file.
func (b *Block) Has(name string) bool { return b.body.Attributes[name] != nil }

// value returns an argument converted to valueType, and false if it is absent or cannot be converted. The text expected
// describes the type in error messages.
func (b *Block) value(name string, valueType cty.Type, expected string) (cty.Value, bool) {
	b.recognized[name] = true
	argument := b.body.Attributes[name]
	if argument == nil {
		return cty.NilVal, false
	}
	v, diagnostics := argument.Expr.Value(nil)
	if diagnostics.HasErrors() {
		b.AddProblem(name, name+" cannot be evaluated: "+asClause(diagnostics[0].Summary), "write "+expected)
		return cty.NilVal, false
	}
	converted, err := convert.Convert(v, valueType)
	if err != nil || converted.IsNull() || !converted.IsWhollyKnown() {
		b.AddProblem(name, fmt.Sprintf("%s is not %s", name, expected), "write "+expected)
		return cty.NilVal, false
	}
	return converted, true
}

// String returns a string argument, or fallback if it is absent or not a string.
func (b *Block) String(name, fallback string) string {
	v, ok := b.value(name, cty.String, `a string in quotes`)
	if !ok {
		return fallback
	}
	return v.AsString()
}

// Strings returns a list of strings, or fallback if the argument is absent or has another type.
func (b *Block) Strings(name string, fallback []string) []string {
	v, ok := b.value(name, cty.List(cty.String), `a list such as ["a", "b"]`)
	if !ok {
		return fallback
	}
	var texts []string
	for _, element := range v.AsValueSlice() {
		texts = append(texts, element.AsString())
	}
	return texts
}

// OneOf returns a string argument that must be one of choices, or fallback if it is absent or has another value. The
// fallback must be one of choices too.
func (b *Block) OneOf(name, fallback string, choices ...string) string {
	choice := b.String(name, fallback)
	if !slices.Contains(choices, choice) {
		b.AddProblem(name, fmt.Sprintf("%s is %q", name, choice), fmt.Sprintf("write one of %q", choices))
		return fallback
	}
	return choice
}

// Float returns a number between minimum and maximum, both inclusive, or fallback if it is absent, not a number or out
// of range.
func (b *Block) Float(name string, fallback, minimum, maximum float64) float64 {
	v, ok := b.value(name, cty.Number, "a number")
	if !ok {
		return fallback
	}
	n, _ := v.AsBigFloat().Float64()
	if n < minimum || n > maximum {
		b.AddProblem(name, fmt.Sprintf("%s is %v", name, n), fmt.Sprintf("write a number from %v to %v", minimum, maximum))
		return fallback
	}
	return n
}

// Int returns an integer between minimum and maximum, both inclusive, or fallback if it is absent, not an integer or
// out of range.
func (b *Block) Int(name string, fallback, minimum, maximum int) int {
	n := b.Float(name, float64(fallback), float64(minimum), float64(maximum))
	if n != float64(int(n)) {
		b.AddProblem(name, fmt.Sprintf("%s is %v", name, n), "write a whole number")
		return fallback
	}
	return int(n)
}

// Bool returns a boolean argument, or fallback if it is absent or not a boolean.
func (b *Block) Bool(name string, fallback bool) bool {
	v, ok := b.value(name, cty.Bool, "true or false")
	if !ok {
		return fallback
	}
	return v.True()
}

// FloatPairs returns a list of pairs of positive numbers, or fallback if the argument is absent or malformed.
func (b *Block) FloatPairs(name string, fallback [][2]float64) [][2]float64 {
	const example = "pairs such as [[0.5, 1], [1, 2]]"
	v, ok := b.value(name, cty.List(cty.List(cty.Number)), "a list of "+example)
	if !ok {
		return fallback
	}
	var pairs [][2]float64
	for _, element := range v.AsValueSlice() {
		pair, ok := positivePair(element)
		if !ok {
			b.AddProblem(name, name+" has an element that is not a pair of positive numbers", "write "+example)
			return fallback
		}
		pairs = append(pairs, pair)
	}
	return pairs
}

// positivePair returns the two elements of a list, and false unless it has exactly two and both are positive.
func positivePair(list cty.Value) (pair [2]float64, ok bool) {
	if list.LengthInt() != len(pair) {
		return pair, false
	}
	for i, n := range list.AsValueSlice() {
		pair[i], _ = n.AsBigFloat().Float64()
	}
	return pair, pair[0] > 0 && pair[1] > 0
}
