package replay_test

import (
	"fmt"
	"go/ast"
	"go/importer"
	"go/parser"
	"go/token"
	"go/types"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"grebeglade/internal/replay"
)

// stubImporter imports the packages that a printed test uses. It replaces the test libraries by stubs, since their
// sources take long to type-check.
type stubImporter struct {
	fset    *token.FileSet
	sources types.Importer
}

func newStubImporter() *stubImporter {
	fset := token.NewFileSet()
	return &stubImporter{fset, importer.ForCompiler(fset, "source", nil)}
}

// Import implements types.Importer.
func (p *stubImporter) Import(path string) (*types.Package, error) {
	switch path {
	case "testing":
		return p.check(path, "package testing\ntype T struct{}")
	case "github.com/stretchr/testify/assert":
		return p.check(path, "package assert\n"+
			"func Equal(t, expected, actual any, msgAndArgs ...any) bool { return true }")
	}
	return p.sources.Import(path)
}

// check type-checks the source of a package.
func (p *stubImporter) check(path, source string) (*types.Package, error) {
	file, err := parser.ParseFile(p.fset, path+".go", source, parser.SkipObjectResolution)
	if err != nil {
		return nil, err
	}
	configuration := types.Config{Importer: p}
	return configuration.Check(path, p.fset, []*ast.File{file}, nil)
}

func TestReproduction_PrintedTestCompiles(t *testing.T) {
	files := playTraced(t, "rough")["allocator-1"]
	stubs := newStubImporter()
	for _, workload := range []uint32{1, 60, 120} {
		t.Run(fmt.Sprint(workload), func(t *testing.T) {
			reproduction, err := replay.ReproduceFiles(files, workload)
			require.NoError(t, err)
			var printed strings.Builder
			require.NoError(t, reproduction.Print(&printed))
			imports := []string{"testing", "github.com/stretchr/testify/assert", "grebeglade/placement"}
			if strings.Contains(printed.String(), "math.") {
				imports = append(imports, "math")
			}
			quoted := strings.Join(imports, "\"\n\"")
			source := fmt.Sprintf("package extracted\nimport (\n\"%s\"\n)\n%s", quoted, printed.String())
			_, err = stubs.check("extracted", source)
			require.NoError(t, err, source)
		})
	}
}
