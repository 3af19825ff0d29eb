package config

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// reportUnknown reports the arguments and blocks that were never read, in this block and in those within it.
func (b *Block) reportUnknown() {
	for name, argument := range b.body.Attributes {
		if !b.known[name] {
			b.report(argument.SrcRange, name+" is not a known argument", b.suggestion(name))
		}
	}
	for _, nested := range b.body.Blocks {
		if !b.known[nested.Type] {
			b.report(nested.TypeRange, nested.Type+" is not a known block", b.suggestion(nested.Type))
		}
	}
	for _, blocks := range b.nested {
		for _, nested := range blocks {
			nested.reportUnknown()
		}
	}
}

// maxTypos is how many letters a name may differ from a known one for that to be suggested.
const maxTypos = 3

// suggestion returns the fix for a name that is not known: the closest known one, or all of them.
func (b *Block) suggestion(name string) string {
	known := slices.Sorted(maps.Keys(b.known))
	closest := ""
	fewest := maxTypos + 1
	for _, candidate := range known {
		if distance := editDistance(name, candidate); distance < fewest {
			closest = candidate
			fewest = distance
		}
	}
	if closest == "" {
		return "known are " + strings.Join(known, ", ")
	}
	return fmt.Sprintf("did you mean %s?", closest)
}

// editDistance returns the Levenshtein distance: the number of bytes to insert, delete or replace.
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
