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

// reader decodes values by path and keeps the first error, so that the caller checks once, at the end. After an error
// its methods return zero values or what they could decode.
type reader struct {
	values map[string]string
	err    error
}

// fail records a KeyError, unless an earlier error is recorded.
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

// optionalText returns "" for a value that is missing.
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

// millis reads a number of nanoseconds.
func (r *reader) millis(path string) placement.Millis {
	return placement.Millis(r.number(path) / nanosPerMilli)
}

// optionalMillis is millis, with 0 for a value that is missing.
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

// optionalList is list, with nil for a value that is missing.
func (r *reader) optionalList(path string) []string {
	if r.optionalText(path) == "" {
		return nil
	}
	return r.list(path)
}

// element returns the element at index i of a list, "" if the list is too short.
func (r *reader) element(path string, i int) string {
	list := r.list(path)
	if i >= len(list) {
		r.fail(path, fmt.Sprintf("has %d values, not %d or more", len(list), i+1), "give one for each")
		return ""
	}
	return list[i]
}

// numberAt reads the number at index i of a list, 0 if the list is too short.
func (r *reader) numberAt(path string, i int) float64 {
	v := r.element(path, i)
	if r.err != nil {
		return 0
	}
	return r.parseNumber(path, v)
}

// choice returns what a value stands for, which must be one of the given names.
func choice[T any](r *reader, path string, names map[string]T) T {
	return parseChoice(r, path, r.text(path), names)
}

// parseChoice returns what the value v at a path stands for, which must be one of the given names.
func parseChoice[T any](r *reader, path, v string, names map[string]T) T {
	converted, ok := names[v]
	if !ok {
		known := slices.Sorted(maps.Keys(names))
		r.fail(path, fmt.Sprintf("is %q, which is not known", v), fmt.Sprintf("give one of %q", known))
	}
	return converted
}
