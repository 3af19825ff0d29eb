package config

import "github.com/hashicorp/hcl/v2/hclsyntax"

// Inherit adds from another file what this one lacks: arguments, and blocks of types that it does not have at all. A
// block without a label, which there is one of, inherits from its counterpart in turn. Call it before reading.
func (b *Block) Inherit(from *Block) { inherit(b.body, from.body) }

func inherit(body, from *hclsyntax.Body) {
	inheritAttributes(body, from)
	own := map[string]*hclsyntax.Block{}
	for _, block := range body.Blocks {
		own[block.Type] = block
	}
	for _, block := range from.Blocks {
		switch counterpart := own[block.Type]; {
		case counterpart == nil:
			body.Blocks = append(body.Blocks, block)
		case len(counterpart.Labels) == 0 && len(block.Labels) == 0:
			inherit(counterpart.Body, block.Body)
		}
	}
}

func inheritAttributes(body, from *hclsyntax.Body) {
	if body.Attributes == nil {
		body.Attributes = hclsyntax.Attributes{}
	}
	for name, a := range from.Attributes {
		if body.Attributes[name] == nil {
			body.Attributes[name] = a
		}
	}
}
