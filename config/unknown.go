package config

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// reportUnknown reports the arguments and blocks that were neither read nor skipped, in this block and in nested ones.
func (b *Block) reportUnknown() {
	for name, argument := range b.body.Attributes {
		if !b.recognized[name] {
			b.report(argument.SrcRange, name+" is not a known argument", b.suggestion(name))
		}
	}
	for _, nested := range b.body.Blocks {
		if !b.recognized[nested.Type] {
			b.report(nested.TypeRange, nested.Type+" is not a known block", b.suggestion(nested.Type))
		}
	}
	for _, blocks := range b.nested {
		for _, nested := range blocks {
			nested.reportUnknown()
		}
	}
}

// maxTypos is the largest edit distance, in bytes, at which a recognized name is suggested for an unknown one.
const maxTypos = 3

// suggestion returns the fix for an unknown name: the closest recognized name, or the list of all.
func (b *Block) suggestion(name string) string {
	names := slices.Sorted(maps.Keys(b.recognized))
	closest := ""
	shortest := maxTypos + 1
	for _, candidate := range names {
		if distance := editDistance(name, candidate); distance < shortest {
			closest = candidate
			shortest = distance
		}
	}
	if closest == "" {
		return "known are " + strings.Join(names, ", ")
	}
	return fmt.Sprintf("did you mean %s?", closest)
}

// editDistance returns the Levenshtein distance of two texts: the fewest bytes to insert, delete or replace.
func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			cost := diagonal
			if a[i] != b[j] {
				cost = 1 + min(diagonal, row[j], row[j+1])
			}
			diagonal = row[j+1]
			row[j+1] = cost
		}
	}
	return row[len(b)]
}
