package config

import "github.com/hashicorp/hcl/v2/hclsyntax"

// Inherit adds from another file what this one lacks: arguments, and blocks of types that it does not have at all. A
// block without a label occurs once, and inherits from its counterpart in turn. Inherit must be called before reading.
func (b *Block) Inherit(from *Block) { inherit(b.body, from.body) }

// inherit adds to a body what it lacks of another.
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

// inheritAttributes adds to a body the arguments that it lacks of another.
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
