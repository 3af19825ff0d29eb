package config

import (
	"errors"
	"strings"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/hclsyntax"
)

// Parse parses src, the content of a file; file is its name in errors. The error is a FileError if the syntax is
// invalid.
func Parse(file string, src []byte) (*Block, error) {
	parsed, diagnostics := hclsyntax.ParseConfig(src, file, hcl.InitialPos)
	problems := syntaxErrors(file, diagnostics)
	if len(problems) > 0 {
		return nil, problems
	}
	body, ok := parsed.Body.(*hclsyntax.Body)
	if !ok {
		return nil, errors.New(file + ": not in HCL's native syntax")
	}
	return newBlock(body, file, 1, &problems), nil
}

// syntaxErrors converts the HCL parser's diagnostics. The line is 1 if a diagnostic has no position.
func syntaxErrors(file string, diagnostics hcl.Diagnostics) FileError {
	var problems FileError
	for _, diagnostic := range diagnostics {
		line := 1
		if diagnostic.Subject != nil {
			line = diagnostic.Subject.Start.Line
		}
		problems = append(problems, LineError{
			File:    file,
			Line:    line,
			Problem: asClause(diagnostic.Summary),
			Fix:     asClause(diagnostic.Detail),
		})
	}
	return problems
}

// asClause lowers the first letter of a sentence and removes its full stop, so that it can be part of a message.
func asClause(sentence string) string {
	sentence = strings.TrimSuffix(sentence, ".")
	if sentence == "" {
		return sentence
	}
	return strings.ToLower(sentence[:1]) + sentence[1:]
}
