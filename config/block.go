package config

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/hclsyntax"
)

// Block is a block of a file, or the whole file. Its methods read one argument each, return the default if it is absent
// or wrong, and collect what is wrong. Finish reports that, and whatever was never read.
type Block struct {
	Name     string // its label, or ""
	body     *hclsyntax.Body
	known    map[string]bool // arguments and types of blocks that were read
	file     string
	line     int
	problems *Problems // of the whole file
	nested   map[string][]*Block
}

// Parse parses a file's text. The error is Problems if the syntax is wrong.
func Parse(file string, src []byte) (*Block, error) {
	parsed, diagnostics := hclsyntax.ParseConfig(src, file, hcl.InitialPos)
	problems := syntaxProblems(file, diagnostics)
	if len(problems) > 0 {
		return nil, problems
	}
	body, ok := parsed.Body.(*hclsyntax.Body)
	if !ok {
		return nil, errors.New(file + ": not in HCL's native syntax")
	}
	return newBlock(body, file, 1, &problems), nil
}

func newBlock(body *hclsyntax.Body, file string, line int, problems *Problems) *Block {
	return &Block{
		body: body, known: map[string]bool{}, file: file, line: line, problems: problems, nested: map[string][]*Block{},
	}
}

func syntaxProblems(file string, diagnostics hcl.Diagnostics) Problems {
	var problems Problems
	for _, d := range diagnostics {
		line := 1
		if d.Subject != nil {
			line = d.Subject.Start.Line
		}
		problems = append(problems, Problem{File: file, Line: line, What: asClause(d.Summary), Fix: asClause(d.Detail)})
	}
	return problems
}

// asClause makes a sentence of the HCL parser part of a message: without a capital and a full stop.
func asClause(s string) string {
	s = strings.TrimSuffix(s, ".")
	if s == "" {
		return s
	}
	return strings.ToLower(s[:1]) + s[1:]
}

// File returns the name of the file that the block is in.
func (b *Block) File() string { return b.file }

// Skip marks everything in the block as known: another reader is responsible for it.
func (b *Block) Skip() {
	for name := range b.body.Attributes {
		b.known[name] = true
	}
	for _, n := range b.body.Blocks {
		b.known[n.Type] = true
	}
}

// AddProblem records that something is wrong with an argument, or with the block if it has no such argument.
func (b *Block) AddProblem(name, what, fix string) {
	file, line := b.file, b.line
	if a := b.body.Attributes[name]; a != nil {
		file, line = a.SrcRange.Filename, a.SrcRange.Start.Line
	}
	b.report(file, line, what, fix)
}

func (b *Block) report(file string, line int, what, fix string) {
	*b.problems = append(*b.problems, Problem{File: file, Line: line, What: what, Fix: fix})
}

// Blocks returns the nested blocks of a type in the order of the file.
func (b *Block) Blocks(kind string) []*Block {
	if found, read := b.nested[kind]; read {
		return found
	}
	b.known[kind] = true
	var found []*Block
	for _, n := range b.body.Blocks {
		if n.Type == kind {
			found = append(found, b.nestedBlock(n))
		}
	}
	b.nested[kind] = found
	return found
}

func (b *Block) nestedBlock(n *hclsyntax.Block) *Block {
	nested := newBlock(n.Body, n.TypeRange.Filename, n.TypeRange.Start.Line, b.problems)
	if len(n.Labels) > 0 {
		nested.Name = n.Labels[0]
	}
	if len(n.Labels) > 1 {
		nested.AddProblem("", n.Type+" has more than one name", "leave one")
	}
	return nested
}

// Block returns the nested block of a type that may be there once, an empty one if it is absent.
func (b *Block) Block(kind string) *Block {
	found := b.Blocks(kind)
	if len(found) > 1 {
		found[1].AddProblem("", "a second "+kind+" block", "leave one")
	}
	if len(found) > 0 {
		return found[0]
	}
	empty := newBlock(&hclsyntax.Body{}, b.file, b.line, b.problems)
	b.nested[kind] = []*Block{empty}
	return empty
}

// Named returns the nested blocks of a type whose names must be given and unique.
func (b *Block) Named(kind string) []*Block {
	lines := map[string]int{}
	found := b.Blocks(kind)
	for _, n := range found {
		switch line, duplicate := lines[n.Name]; {
		case n.Name == "":
			n.AddProblem("", "a "+kind+" without a name", fmt.Sprintf(`write %s "NAME" { … }`, kind))
		case duplicate:
			n.AddProblem("", fmt.Sprintf("%s %q is already defined in line %d", kind, n.Name, line), "give it another name")
		default:
			lines[n.Name] = n.line
		}
	}
	return found
}

// Finish returns what is wrong in the file as Problems, nil if nothing is. Arguments and blocks that nobody has read
// are wrong.
func (b *Block) Finish() error {
	b.reportUnknown()
	problems := *b.problems
	if len(problems) == 0 {
		return nil
	}
	slices.SortStableFunc(problems, func(x, y Problem) int { return x.Line - y.Line })
	return problems
}

func (b *Block) reportUnknown() {
	for name, a := range b.body.Attributes {
		if !b.known[name] {
			b.report(a.SrcRange.Filename, a.SrcRange.Start.Line, name+" is not a known argument", b.suggestion(name))
		}
	}
	for _, n := range b.body.Blocks {
		if !b.known[n.Type] {
			what := n.Type + " is not a known block"
			b.report(n.TypeRange.Filename, n.TypeRange.Start.Line, what, b.suggestion(n.Type))
		}
	}
	for _, blocks := range b.nested {
		for _, n := range blocks {
			n.reportUnknown()
		}
	}
}
