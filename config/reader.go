// Package config reads grebeglade's settings: HCL with times and sizes that carry their units.
//
// What is wrong comes back as Problems, each with its file, line and the fix; a file is read to its end, so
// that one look shows them all. Times are milliseconds with fractions once read.
package config

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/hclsyntax"
	"github.com/zclconf/go-cty/cty"
	"github.com/zclconf/go-cty/cty/convert"

	"grebeglade/placement"
)

// Problem is one thing that is wrong with a file.
type Problem struct {
	File string
	Line int
	What string
	Fix  string
}

func (p Problem) Error() string {
	s := fmt.Sprintf("%s:%d: %s", p.File, p.Line, p.What)
	if p.Fix != "" {
		s += "; " + p.Fix
	}
	return s
}

// Problems are all that is wrong with a file.
type Problems []Problem

func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i := range p {
		lines[i] = p[i].Error()
	}
	return strings.Join(lines, "\n")
}

// Block is a block of a file, or the whole file. Its methods read one argument each and note what is wrong;
// Done reports what was there and never read.
type Block struct {
	Name   string // its label, or ""
	body   *hclsyntax.Body
	known  map[string]bool
	file   string
	line   int
	all    *Problems
	nested map[string][]*Block
}

// Parse reads a file's text.
func Parse(file string, src []byte) (*Block, error) {
	parsed, diags := hclsyntax.ParseConfig(src, file, hcl.InitialPos)
	var all Problems
	for _, d := range diags {
		line := 1
		if d.Subject != nil {
			line = d.Subject.Start.Line
		}
		all = append(all, Problem{file, line, lower(d.Summary), lower(d.Detail)})
	}
	if len(all) > 0 {
		return nil, all
	}
	body, ok := parsed.Body.(*hclsyntax.Body)
	if !ok {
		return nil, errors.New(file + ": not in HCL's own syntax")
	}
	return &Block{body: body, known: map[string]bool{}, file: file, line: 1, all: &all}, nil
}

// lower begins a sentence of the parser's in our way.
func lower(s string) string {
	s = strings.TrimSuffix(s, ".")
	if s == "" {
		return s
	}
	return strings.ToLower(s[:1]) + s[1:]
}

// Inherit takes from another file what this one does not say: arguments, and blocks of kinds that are not here. A
// block without a name, which there is one of, takes from its like in turn.
func (b *Block) Inherit(from *Block) { inherit(b.body, from.body) }

func inherit(body, from *hclsyntax.Body) {
	for name, a := range from.Attributes {
		if body.Attributes[name] == nil {
			if body.Attributes == nil {
				body.Attributes = hclsyntax.Attributes{}
			}
			body.Attributes[name] = a
		}
	}
	own := map[string]*hclsyntax.Block{}
	for _, block := range body.Blocks {
		own[block.Type] = block
	}
	for _, block := range from.Blocks {
		switch mine := own[block.Type]; {
		case mine == nil:
			body.Blocks = append(body.Blocks, block)
		case len(mine.Labels) == 0 && len(block.Labels) == 0:
			inherit(mine.Body, block.Body)
		}
	}
}

// AddProblem notes that something is wrong with an argument, or with the block where it has no such argument.
func (b *Block) AddProblem(name, what, fix string) {
	file, line := b.file, b.line
	if a := b.body.Attributes[name]; a != nil {
		file, line = a.SrcRange.Filename, a.SrcRange.Start.Line
	}
	*b.all = append(*b.all, Problem{file, line, what, fix})
}

// File is the file that the block stands in.
func (b *Block) File() string { return b.file }

// Skip leaves what the block says to another reader.
func (b *Block) Skip() {
	for name := range b.body.Attributes {
		b.known[name] = true
	}
	for _, n := range b.body.Blocks {
		b.known[n.Type] = true
	}
}

// Has tells whether the argument is given.
func (b *Block) Has(name string) bool { return b.body.Attributes[name] != nil }

// value returns an argument's value as that type, or false where it is not given or wrong.
func (b *Block) value(name string, as cty.Type, wanted string) (cty.Value, bool) {
	b.known[name] = true
	a := b.body.Attributes[name]
	if a == nil {
		return cty.NilVal, false
	}
	v, diags := a.Expr.Value(nil)
	if diags.HasErrors() {
		b.AddProblem(name, name+" cannot be worked out: "+lower(diags[0].Summary), "write "+wanted)
		return cty.NilVal, false
	}
	got, err := convert.Convert(v, as)
	if err != nil || got.IsNull() || !got.IsWhollyKnown() {
		b.AddProblem(name, fmt.Sprintf("%s is not %s", name, wanted), "write "+wanted)
		return cty.NilVal, false
	}
	return got, true
}

// String reads a string.
func (b *Block) String(name, otherwise string) string {
	v, ok := b.value(name, cty.String, `a text in quotes`)
	if !ok {
		return otherwise
	}
	return v.AsString()
}

// OneOf reads one of a few words.
func (b *Block) OneOf(name, otherwise string, words ...string) string {
	w := b.String(name, otherwise)
	if !slices.Contains(words, w) {
		b.AddProblem(name, fmt.Sprintf("%s is %q", name, w), fmt.Sprintf("write one of %q", words))
		return otherwise
	}
	return w
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

// Int reads a whole number from least to most.
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

// Duration reads a length of time with its unit, such as "250ms".
func (b *Block) Duration(name string, otherwise placement.Millis) placement.Millis {
	v, ok := b.value(name, cty.DynamicPseudoType, `a time with its unit, such as "250ms"`)
	if !ok {
		return otherwise
	}
	if v.Type() != cty.String {
		b.AddProblem(name, name+" has no unit", fmt.Sprintf(`write it in quotes with one, such as "%sms" or "%ss"`, show(v), show(v)))
		return otherwise
	}
	d, err := time.ParseDuration(v.AsString())
	if err != nil || d < 0 {
		b.AddProblem(name, fmt.Sprintf("%s is %q", name, v.AsString()), `write a time with its unit, such as "250ms" or "1.5s"`)
		return otherwise
	}
	return placement.Millis(float64(d) / 1e6)
}

func show(v cty.Value) string {
	if s, err := convert.Convert(v, cty.String); err == nil && !s.IsNull() && s.IsKnown() {
		return s.AsString()
	}
	return "250"
}

var sizeUnits = []struct {
	suffix string
	bytes  float64
}{{"KiB", 1 << 10}, {"MiB", 1 << 20}, {"GiB", 1 << 30}, {"B", 1}}

// ByteSize reads an amount of bytes with its unit, such as "4MiB".
func (b *Block) ByteSize(name string, otherwise int64) int64 {
	text := b.String(name, "")
	if text == "" {
		return otherwise
	}
	for _, u := range sizeUnits {
		if digits, ok := strings.CutSuffix(text, u.suffix); ok {
			if n, err := strconv.ParseFloat(strings.TrimSpace(digits), 64); err == nil && n > 0 && n*u.bytes < 1<<53 {
				return int64(n * u.bytes)
			}
		}
	}
	b.AddProblem(name, fmt.Sprintf("%s is %q", name, text), `write a size with its unit, such as "512KiB" or "4MiB"`)
	return otherwise
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

// FloatPairs reads a list of pairs of numbers above 0.
func (b *Block) FloatPairs(name string, otherwise [][2]float64) [][2]float64 {
	v, ok := b.value(name, cty.List(cty.List(cty.Number)), "a list of pairs such as [[0.5, 1], [1, 2]]")
	if !ok {
		return otherwise
	}
	var pairs [][2]float64
	for _, e := range v.AsValueSlice() {
		var pair [2]float64
		for i, n := range e.AsValueSlice() {
			if i < 2 {
				pair[i], _ = n.AsBigFloat().Float64()
			}
		}
		if e.LengthInt() != 2 || !(pair[0] > 0 && pair[1] > 0) {
			b.AddProblem(name, name+" holds what is no pair of numbers above 0", "write pairs such as [[0.5, 1], [1, 2]]")
			return otherwise
		}
		pairs = append(pairs, pair)
	}
	return pairs
}

// Blocks returns the nested blocks of a kind, in the order in which they stand.
func (b *Block) Blocks(kind string) []*Block {
	if found, read := b.nested[kind]; read {
		return found
	}
	b.known[kind] = true
	var found []*Block
	for _, n := range b.body.Blocks {
		if n.Type != kind {
			continue
		}
		c := &Block{
			body: n.Body, known: map[string]bool{}, file: n.TypeRange.Filename, line: n.TypeRange.Start.Line, all: b.all,
		}
		if len(n.Labels) > 0 {
			c.Name = n.Labels[0]
		}
		if len(n.Labels) > 1 {
			c.AddProblem("", kind+" has more than one name", "leave one")
		}
		found = append(found, c)
	}
	if b.nested == nil {
		b.nested = map[string][]*Block{}
	}
	b.nested[kind] = found
	return found
}

// Block returns the one nested block of a kind, an empty one where there is none.
func (b *Block) Block(kind string) *Block {
	all := b.Blocks(kind)
	if len(all) > 1 {
		all[1].AddProblem("", "a second "+kind+" block", "leave one")
	}
	if len(all) > 0 {
		return all[0]
	}
	none := &Block{body: &hclsyntax.Body{}, known: map[string]bool{}, file: b.file, line: b.line, all: b.all}
	b.nested[kind] = []*Block{none}
	return none
}

// Named returns the nested blocks of a kind that must have names, each its own.
func (b *Block) Named(kind string) []*Block {
	seen := map[string]int{}
	all := b.Blocks(kind)
	for _, c := range all {
		switch line, twice := seen[c.Name]; {
		case c.Name == "":
			c.AddProblem("", "a "+kind+" without a name", fmt.Sprintf(`write %s "NAME" { … }`, kind))
		case twice:
			c.AddProblem("", fmt.Sprintf("%s %q stands already in line %d", kind, c.Name, line), "give it another name")
		default:
			seen[c.Name] = c.line
		}
	}
	return all
}

// Finish returns all that is wrong in the file, also arguments and blocks that nobody reads.
func (b *Block) Finish() error {
	b.strangers()
	all := *b.all
	slices.SortStableFunc(all, func(x, y Problem) int { return x.Line - y.Line })
	if len(all) > 0 {
		return all
	}
	return nil
}

func (b *Block) strangers() {
	for name, a := range b.body.Attributes {
		if !b.known[name] {
			*b.all = append(*b.all, Problem{a.SrcRange.Filename, a.SrcRange.Start.Line, name + " is not known here", b.nearest(name)})
		}
	}
	for _, n := range b.body.Blocks {
		if !b.known[n.Type] {
			*b.all = append(*b.all, Problem{
				n.TypeRange.Filename, n.TypeRange.Start.Line, "a block " + n.Type + " is not known here", b.nearest(n.Type),
			})
		}
	}
	for _, all := range b.nested {
		for _, n := range all {
			n.strangers()
		}
	}
}

// nearest names the known word that is least far from one that is not known.
func (b *Block) nearest(name string) string {
	best, least := "", 4
	names := make([]string, 0, len(b.known))
	for k := range b.known {
		names = append(names, k)
	}
	slices.Sort(names)
	for _, k := range names {
		if d := distance(name, k); d < least {
			best, least = k, d
		}
	}
	if best == "" {
		return "known are " + strings.Join(names, ", ")
	}
	return fmt.Sprintf("did you mean %s?", best)
}

// distance is the number of letters to add, drop or change between two words.
func distance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		before := row[0]
		row[0] = i + 1
		for j := range len(b) {
			cost := before
			if a[i] != b[j] {
				cost = 1 + min(before, row[j], row[j+1])
			}
			before, row[j+1] = row[j+1], cost
		}
	}
	return row[len(b)]
}
