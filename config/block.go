package config

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/hclsyntax"
)

// Block is a block of a file, or the file's top level. Each reading method returns one argument, or a default if it is
// absent or invalid, and records a problem if it is invalid. Finish adds problems for arguments and blocks that no
// method has read, and returns all problems.
type Block struct {
	Name string // the block's label, "" for none

	body       *hclsyntax.Body
	file       string
	line       int
	recognized map[string]bool     // names of arguments and block types that were read or skipped
	nested     map[string][]*Block // nested blocks that were read, by type
	problems   *FileError          // problems of the whole file, shared by all its blocks
}

func newBlock(body *hclsyntax.Body, file string, line int, problems *FileError) *Block {
	return &Block{
		body:       body,
		file:       file,
		line:       line,
		recognized: map[string]bool{},
		nested:     map[string][]*Block{},
		problems:   problems,
	}
}

// File returns the name of the file that contains the block.
func (b *Block) File() string { return b.file }

// Skip marks all arguments and nested blocks as recognized, so that Finish does not report them. It is for blocks that
// other code reads.
func (b *Block) Skip() {
	for name := range b.body.Attributes {
		b.recognized[name] = true
	}
	for _, nested := range b.body.Blocks {
		b.recognized[nested.Type] = true
	}
}

// AddProblem records a problem with an argument, at the argument's line, or at the block's if the argument is absent.
// The fix says what to write instead.
func (b *Block) AddProblem(name, problem, fix string) {
	if argument := b.body.Attributes[name]; argument != nil {
		b.report(argument.SrcRange, problem, fix)
		return
	}
	b.add(b.file, b.line, problem, fix)
}

// report records a problem at a source position.
func (b *Block) report(position hcl.Range, problem, fix string) {
	b.add(position.Filename, position.Start.Line, problem, fix)
}

func (b *Block) add(file string, line int, problem, fix string) {
	*b.problems = append(*b.problems, LineError{
		File:    file,
		Line:    line,
		Problem: problem,
		Fix:     fix,
	})
}

// Blocks returns the nested blocks of a type in file order.
func (b *Block) Blocks(blockType string) []*Block {
	if blocks, read := b.nested[blockType]; read {
		return blocks
	}
	b.recognized[blockType] = true
	var blocks []*Block
	for _, nested := range b.body.Blocks {
		if nested.Type == blockType {
			blocks = append(blocks, b.nestedBlock(nested))
		}
	}
	b.nested[blockType] = blocks
	return blocks
}

// nestedBlock converts a parsed block. Its first label becomes the name; further labels are a problem.
func (b *Block) nestedBlock(parsed *hclsyntax.Block) *Block {
	position := parsed.TypeRange
	nested := newBlock(parsed.Body, position.Filename, position.Start.Line, b.problems)
	if len(parsed.Labels) > 0 {
		nested.Name = parsed.Labels[0]
	}
	if len(parsed.Labels) > 1 {
		nested.AddProblem("", parsed.Type+" has more than one name", "keep one")
	}
	return nested
}

// Block returns the nested block of a type that may occur only once, or an empty block if it is absent.
func (b *Block) Block(blockType string) *Block {
	blocks := b.Blocks(blockType)
	if len(blocks) > 1 {
		blocks[1].AddProblem("", "a second "+blockType+" block", "keep one")
	}
	if len(blocks) > 0 {
		return blocks[0]
	}
	empty := newBlock(&hclsyntax.Body{}, b.file, b.line, b.problems)
	b.nested[blockType] = []*Block{empty}
	return empty
}

// Named returns the nested blocks of a type, each of which must have a unique name.
func (b *Block) Named(blockType string) []*Block {
	lines := map[string]int{} // first line of a block by its name
	blocks := b.Blocks(blockType)
	for _, nested := range blocks {
		line, duplicate := lines[nested.Name]
		switch {
		case nested.Name == "":
			nested.AddProblem("", "a "+blockType+" without a name", fmt.Sprintf(`write %s "NAME" { … }`, blockType))
		case duplicate:
			problem := fmt.Sprintf("%s %q is already defined in line %d", blockType, nested.Name, line)
			nested.AddProblem("", problem, "give it another name")
		default:
			lines[nested.Name] = nested.line
		}
	}
	return blocks
}

// Finish returns the problems of the file as a FileError, sorted by line, or nil if there are none. Arguments and
// blocks that were neither read nor skipped are problems too.
func (b *Block) Finish() error {
	b.reportUnknown()
	problems := *b.problems
	if len(problems) == 0 {
		return nil
	}
	slices.SortStableFunc(problems, func(x, y LineError) int { return cmp.Compare(x.Line, y.Line) })
	return problems
}
