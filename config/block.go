package config

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/hclsyntax"
)

// Block is a block of a file, or the whole file. Its methods read one argument each, return a default if it is absent
// or wrong, and collect what is wrong. Finish reports that, and everything that was never read.
type Block struct {
	Name string // its label, or ""

	body   *hclsyntax.Body
	file   string
	line   int
	known  map[string]bool     // arguments and types of blocks that were read
	nested map[string][]*Block // by type
	found  *FileError          // what is wrong with the whole file
}

func newBlock(body *hclsyntax.Body, file string, line int, found *FileError) *Block {
	return &Block{
		body:   body,
		file:   file,
		line:   line,
		known:  map[string]bool{},
		nested: map[string][]*Block{},
		found:  found,
	}
}

// File returns the name of the file that the block is in.
func (b *Block) File() string { return b.file }

// Skip marks everything in the block as known: another reader is responsible for it.
func (b *Block) Skip() {
	for name := range b.body.Attributes {
		b.known[name] = true
	}
	for _, nested := range b.body.Blocks {
		b.known[nested.Type] = true
	}
}

// AddProblem records that something is wrong with an argument, or with the block if it has no such argument.
func (b *Block) AddProblem(name, problem, fix string) {
	if argument := b.body.Attributes[name]; argument != nil {
		b.report(argument.SrcRange, problem, fix)
		return
	}
	b.add(b.file, b.line, problem, fix)
}

// report records that something is wrong at a place in the file.
func (b *Block) report(place hcl.Range, problem, fix string) {
	b.add(place.Filename, place.Start.Line, problem, fix)
}

func (b *Block) add(file string, line int, problem, fix string) {
	*b.found = append(*b.found, LineError{
		File:    file,
		Line:    line,
		Problem: problem,
		Fix:     fix,
	})
}

// Blocks returns the nested blocks of a type in the order of the file.
func (b *Block) Blocks(kind string) []*Block {
	if found, read := b.nested[kind]; read {
		return found
	}
	b.known[kind] = true
	var found []*Block
	for _, nested := range b.body.Blocks {
		if nested.Type == kind {
			found = append(found, b.nestedBlock(nested))
		}
	}
	b.nested[kind] = found
	return found
}

// nestedBlock returns a nested block, whose name is its first label.
func (b *Block) nestedBlock(parsed *hclsyntax.Block) *Block {
	place := parsed.TypeRange
	nested := newBlock(parsed.Body, place.Filename, place.Start.Line, b.found)
	if len(parsed.Labels) > 0 {
		nested.Name = parsed.Labels[0]
	}
	if len(parsed.Labels) > 1 {
		nested.AddProblem("", parsed.Type+" has more than one name", "keep one")
	}
	return nested
}

// Block returns the nested block of a type that may occur once, an empty one if it is absent.
func (b *Block) Block(kind string) *Block {
	found := b.Blocks(kind)
	if len(found) > 1 {
		found[1].AddProblem("", "a second "+kind+" block", "keep one")
	}
	if len(found) > 0 {
		return found[0]
	}
	empty := newBlock(&hclsyntax.Body{}, b.file, b.line, b.found)
	b.nested[kind] = []*Block{empty}
	return empty
}

// Named returns the nested blocks of a type whose names must be given and unique.
func (b *Block) Named(kind string) []*Block {
	lines := map[string]int{} // by name
	found := b.Blocks(kind)
	for _, nested := range found {
		line, duplicate := lines[nested.Name]
		switch {
		case nested.Name == "":
			nested.AddProblem("", "a "+kind+" without a name", fmt.Sprintf(`write %s "NAME" { … }`, kind))
		case duplicate:
			problem := fmt.Sprintf("%s %q is already defined in line %d", kind, nested.Name, line)
			nested.AddProblem("", problem, "give it another name")
		default:
			lines[nested.Name] = nested.line
		}
	}
	return found
}

// Finish returns what is wrong with the file as a FileError, nil if nothing is. Arguments and blocks that were never
// read are wrong.
func (b *Block) Finish() error {
	b.reportUnknown()
	found := *b.found
	if len(found) == 0 {
		return nil
	}
	slices.SortStableFunc(found, func(x, y LineError) int { return cmp.Compare(x.Line, y.Line) })
	return found
}
