package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// flattenJSON returns the values of a JSON object by path. A list of plain values becomes one value, joined by commas.
// Each element of a list of objects is flattened under its index, and the list's length is added under "count".
func flattenJSON(text []byte) (map[string]string, error) {
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.UseNumber() // a float64 cannot hold every integer above 2^53
	var root map[string]any
	if err := decoder.Decode(&root); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	values := map[string]string{}
	flatten(values, "", root)
	return values, nil
}

// flatten adds a JSON value and all nested values to values, under a path.
func flatten(values map[string]string, path string, v any) {
	switch v := v.(type) {
	case map[string]any:
		for name, member := range v {
			flatten(values, strings.TrimPrefix(path+"."+name, "."), member)
		}
	case []any:
		flattenList(values, path, v)
	default:
		values[path] = fmt.Sprint(v)
	}
}

// flattenList adds a JSON list to values, under a path.
func flattenList(values map[string]string, path string, list []any) {
	if slices.ContainsFunc(list, isObject) {
		values[path+".count"] = strconv.Itoa(len(list))
		for i, element := range list {
			flatten(values, fmt.Sprintf("%s.%d", path, i), element)
		}
		return
	}
	plain := make([]string, len(list))
	for i, element := range list {
		plain[i] = fmt.Sprint(element)
	}
	values[path] = strings.Join(plain, listSeparator)
}

func isObject(v any) bool {
	_, ok := v.(map[string]any)
	return ok
}

// splitPairs parses lines of the form path=value and returns the values by path. Other lines are ignored.
func splitPairs(text string) map[string]string {
	values := map[string]string{}
	for line := range strings.Lines(text) {
		if path, value, ok := strings.Cut(strings.TrimSpace(line), "="); ok {
			values[path] = value
		}
	}
	return values
}
