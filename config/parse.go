package config

import (
	"errors"
	"strings"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/hclsyntax"
)

// Parse parses a file's text. The error is a FileError if the syntax is wrong.
func Parse(file string, src []byte) (*Block, error) {
	parsed, diagnostics := hclsyntax.ParseConfig(src, file, hcl.InitialPos)
	found := syntaxErrors(file, diagnostics)
	if len(found) > 0 {
		return nil, found
	}
	body, ok := parsed.Body.(*hclsyntax.Body)
	if !ok {
		return nil, errors.New(file + ": not in HCL's native syntax")
	}
	return newBlock(body, file, 1, &found), nil
}

// syntaxErrors returns what the HCL parser found wrong.
func syntaxErrors(file string, diagnostics hcl.Diagnostics) FileError {
	var found FileError
	for _, diagnostic := range diagnostics {
		line := 1
		if diagnostic.Subject != nil {
			line = diagnostic.Subject.Start.Line
		}
		found = append(found, LineError{
			File:    file,
			Line:    line,
			Problem: asClause(diagnostic.Summary),
			Fix:     asClause(diagnostic.Detail),
		})
	}
	return found
}

// asClause makes a sentence of the HCL parser part of a message: without a capital and a full stop.
func asClause(sentence string) string {
	sentence = strings.TrimSuffix(sentence, ".")
	if sentence == "" {
		return sentence
	}
	return strings.ToLower(sentence[:1]) + sentence[1:]
}
