package settings

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"grebeglade/placement"
)

const (
	listSeparator = ","
	nanosPerMilli = 1e6
)

// reader decodes values by path and keeps the first error, so that the caller can check for errors once, at the end.
// The results of its methods are only valid if err is nil.
type reader struct {
	values map[string]string
	err    error
}

// fail records a KeyError, unless an error is already recorded.
func (r *reader) fail(path, problem, fix string) {
	if r.err == nil {
		r.err = &KeyError{
			Key:     path,
			Problem: problem,
			Fix:     fix,
		}
	}
}

func (r *reader) has(path string) bool {
	_, ok := r.values[path]
	return ok
}

func (r *reader) text(path string) string {
	v, ok := r.values[path]
	if !ok {
		r.fail(path, "is missing", "add it to the settings")
	}
	return v
}

// optionalText returns the value at a path, or "" if it is missing.
func (r *reader) optionalText(path string) string { return r.values[path] }

func (r *reader) number(path string) float64 {
	v := r.text(path)
	if !r.has(path) {
		return 0
	}
	return r.parseNumber(path, v)
}

func (r *reader) parseNumber(path, v string) float64 {
	n, err := strconv.ParseFloat(v, 64)
	if err != nil {
		r.fail(path, fmt.Sprintf("is %q, not a number", v), "give a number")
	}
	return n
}

// millis reads a duration in nanoseconds and converts it to milliseconds.
func (r *reader) millis(path string) placement.Millis {
	return placement.Millis(r.number(path) / nanosPerMilli)
}

// optionalMillis is like millis, but returns 0 if the value is missing.
func (r *reader) optionalMillis(path string) placement.Millis {
	if !r.has(path) {
		return 0
	}
	return r.millis(path)
}

func (r *reader) boolean(path string) bool {
	v := r.text(path)
	b, err := strconv.ParseBool(v)
	if err != nil {
		r.fail(path, fmt.Sprintf("is %q, not true or false", v), "give true or false")
	}
	return b
}

func (r *reader) list(path string) []string {
	v := r.text(path)
	if v == "" {
		return nil
	}
	return strings.Split(v, listSeparator)
}

// optionalList is like list, but returns nil if the value is missing.
func (r *reader) optionalList(path string) []string {
	if r.optionalText(path) == "" {
		return nil
	}
	return r.list(path)
}

// element returns the element at index i of a list. If the list is too short, it records an error and returns "".
func (r *reader) element(path string, i int) string {
	list := r.list(path)
	if i >= len(list) {
		r.fail(path, fmt.Sprintf("has %d values, expected at least %d", len(list), i+1), "give one for each group or kind")
		return ""
	}
	return list[i]
}

// numberAt reads the number at index i of a list. It returns 0 after an error.
func (r *reader) numberAt(path string, i int) float64 {
	v := r.element(path, i)
	if r.err != nil {
		return 0
	}
	return r.parseNumber(path, v)
}

// choice returns the entry of names for the value at a path. A value that is not in names is an error.
func choice[T any](r *reader, path string, names map[string]T) T {
	return parseChoice(r, path, r.text(path), names)
}

// parseChoice returns the entry of names for v. If v is not in names, it records an error for the path.
func parseChoice[T any](r *reader, path, v string, names map[string]T) T {
	converted, ok := names[v]
	if !ok {
		validNames := slices.Sorted(maps.Keys(names))
		r.fail(path, fmt.Sprintf("is %q, which is not a valid name", v), fmt.Sprintf("give one of %q", validNames))
	}
	return converted
}
