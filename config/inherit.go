package config

import "github.com/hashicorp/hcl/v2/hclsyntax"

// Inherit copies from another block the arguments that this one lacks, and the nested blocks whose type is absent here.
// If both have an unlabelled block of the same type, that block inherits in the same way. Inherit must be called before
// any argument or nested block is read.
func (b *Block) Inherit(from *Block) { inherit(b.body, from.body) }

// inherit copies missing arguments and blocks into body, as Inherit describes.
func inherit(body, from *hclsyntax.Body) {
	inheritAttributes(body, from)
	own := map[string]*hclsyntax.Block{}
	for _, block := range body.Blocks {
		own[block.Type] = block
	}
	for _, block := range from.Blocks {
		counterpart := own[block.Type]
		switch {
		case counterpart == nil:
			body.Blocks = append(body.Blocks, block)
		case len(counterpart.Labels) == 0 && len(block.Labels) == 0:
			inherit(counterpart.Body, block.Body)
		}
	}
}

// inheritAttributes copies into body the arguments of from that body lacks.
func inheritAttributes(body, from *hclsyntax.Body) {
	if body.Attributes == nil {
		body.Attributes = hclsyntax.Attributes{}
	}
	for name, argument := range from.Attributes {
		if body.Attributes[name] == nil {
			body.Attributes[name] = argument
		}
	}
}
