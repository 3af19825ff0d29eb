package compatibility_test

import (
	"fmt"
	"os"
	"reflect"
	"strings"
	"testing"

	"grebeglade/internal/benchmark"
	"grebeglade/internal/loadgen"
	"grebeglade/internal/replay"
	"grebeglade/internal/simulation"
	"grebeglade/internal/simulation/search"
	"grebeglade/trace"

	"github.com/stretchr/testify/require"
)

// listKeys writes a line with the path and the kind of each value in a type's JSON document, except for lists and
// objects, and a line with the options of each tag that has any.
func listKeys(text *strings.Builder, path string, typ reflect.Type) {
	switch typ.Kind() {
	case reflect.Pointer:
		listKeys(text, path, typ.Elem())
	case reflect.Slice, reflect.Array:
		listKeys(text, path+"[]", typ.Elem())
	case reflect.Map:
		listKeys(text, path+"{}", typ.Elem())
	case reflect.Struct:
		for i := range typ.NumField() {
			listFieldKeys(text, path, typ.Field(i))
		}
	default: // a value without keys
		fmt.Fprintf(text, "%s %s\n", path, typ.Kind())
	}
}

// listFieldKeys writes the keys of a struct field by the naming rules of encoding/json.
func listFieldKeys(text *strings.Builder, path string, field reflect.StructField) {
	name, options, _ := strings.Cut(field.Tag.Get("json"), ",")
	switch {
	case name == "-" || !field.IsExported() && !field.Anonymous:
		return
	case field.Anonymous && name == "":
		listKeys(text, path, field.Type)
		return
	case name == "":
		name = field.Name
	}
	if options != "" {
		fmt.Fprintf(text, "%s.%s %s\n", path, name, options)
	}
	listKeys(text, path+"."+name, field.Type)
}

// TestJSONDocuments_KeysAsStored covers keys that are omitted in some runs, and commands whose values are wall times.
func TestJSONDocuments_KeysAsStored(t *testing.T) {
	for name, document := range map[string]any{
		"bench-rates":   benchmark.Rates{},
		"bench-memory":  benchmark.Memory{},
		"bench-state":   benchmark.StateResult{},
		"bench-trace":   benchmark.TraceCost{},
		"lab-load":      loadgen.Result{},
		"lab-play":      simulation.Result{},
		"lab-hunt":      search.Report{},
		"trace-summary": trace.Summary{},
		"trace-verify":  trace.Check{},
		"trace-merge":   trace.MergeReport{},
		"trace-replay":  replay.Report{},
	} {
		t.Run(name, func(t *testing.T) {
			var text strings.Builder
			listKeys(&text, "", reflect.TypeOf(document))
			compareWithStored(t, "keys/"+name+".txt", text.String())
		})
	}
}

// listDocumentKeys adds a line for each key of a JSON document: its path and the JSON kind of its value.
func listDocumentKeys(keys map[string]bool, path string, value any) {
	switch typed := value.(type) {
	case map[string]any:
		for name, member := range typed {
			listDocumentKeys(keys, path+"."+name, member)
		}
	case []any:
		for _, element := range typed {
			listDocumentKeys(keys, path+"[]", element)
		}
	case string:
		keys[path+" string"] = true
	case bool:
		keys[path+" bool"] = true
	case nil:
		keys[path+" null"] = true
	default:
		keys[path+" number"] = true
	}
}

// The document of config check has a MarshalJSON method, so its keys are taken from a document that contains all of
// them instead of from its type. The stored file lists the Go kind of each value; integers and floats are both numbers
// in JSON.
func TestConfigCheckJSON_KeysAsStored(t *testing.T) {
	stored, err := os.ReadFile("testdata/keys/config-check.txt")
	require.NoError(t, err)
	want := map[string]bool{}
	for line := range strings.Lines(string(stored)) {
		path, kind, _ := strings.Cut(strings.TrimSpace(line), " ")
		if kind != "string" && kind != "bool" {
			kind = "number"
		}
		want[path+" "+kind] = true
	}
	got := map[string]bool{}
	out := mustRun(t, "config", "check", "--json", "../../config/testdata/allocator.hcl")
	listDocumentKeys(got, "", parseDocument(t, out))
	require.Equal(t, want, got)
}

func TestBenchJSON_ContainsRatesAndMemory(t *testing.T) {
	out := mustRun(t,
		"bench", "--for", "2ms", "--nodes", "4", "--held", "10", "--residents", "1", "--sockets=false", "--json")
	document, ok := parseDocument(t, out).(map[string]any)
	require.True(t, ok)
	require.Len(t, document, 2)
	require.Contains(t, document, "rates")
	require.Contains(t, document, "memory")
}

func TestLabHuntJSON_AsStored(t *testing.T) {
	out := mustRun(t, "lab", "hunt", "--days", "2", "--nodes", "6", "--allocators", "2", "--seed", "1", "--json")
	compareWithStored(t, "json/lab-hunt.json", stableJSON(t, out, "seconds"))
}
