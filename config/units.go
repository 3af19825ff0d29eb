package config

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/zclconf/go-cty/cty"
	"github.com/zclconf/go-cty/cty/convert"

	"grebeglade/placement"
)

// Duration returns a duration in milliseconds. The argument is a string with a unit, such as "250ms"; fallback is
// returned if it is absent, malformed or negative.
func (b *Block) Duration(name string, fallback placement.Millis) placement.Millis {
	value, ok := b.value(name, cty.DynamicPseudoType, `a time with its unit, such as "250ms"`)
	if !ok {
		return fallback
	}
	if value.Type() != cty.String {
		number := textOr(value, "250")
		fix := fmt.Sprintf(`write it in quotes with one, such as "%sms" or "%ss"`, number, number)
		b.AddProblem(name, name+" has no unit", fix)
		return fallback
	}
	d, err := time.ParseDuration(value.AsString())
	if err != nil || d < 0 {
		const fix = `write a time with its unit, such as "250ms" or "1.5s"`
		b.AddProblem(name, fmt.Sprintf("%s is %q", name, value.AsString()), fix)
		return fallback
	}
	return placement.Millis(float64(d) / float64(time.Millisecond))
}

// textOr converts a value to text, and returns fallback if that is not possible.
func textOr(v cty.Value, fallback string) string {
	if s, err := convert.Convert(v, cty.String); err == nil && !s.IsNull() && s.IsKnown() {
		return s.AsString()
	}
	return fallback
}

// sizeUnits are tried in order. "B" must be last, since it is a suffix of the others.
var sizeUnits = []struct {
	suffix string
	bytes  float64
}{
	{"KiB", 1 << 10},
	{"MiB", 1 << 20},
	{"GiB", 1 << 30},
	{"B", 1},
}

// maxByteSize is the limit below which a float64 holds every whole number of bytes exactly.
const maxByteSize = 1 << 53

// ByteSize returns a size in bytes. The argument is a string with a unit, such as "4MiB"; fallback is returned if it is
// absent, empty, malformed, not positive or 2^53 bytes or more.
func (b *Block) ByteSize(name string, fallback int64) int64 {
	text := b.String(name, "")
	if text == "" {
		return fallback
	}
	size, ok := parseByteSize(text)
	if !ok {
		const fix = `write a size with its unit, such as "512KiB" or "4MiB"`
		b.AddProblem(name, fmt.Sprintf("%s is %q", name, text), fix)
		return fallback
	}
	return size
}

// parseByteSize converts a size with its unit to bytes. It returns false if the size is malformed, not positive or at
// least maxByteSize.
func parseByteSize(text string) (size int64, ok bool) {
	for _, unit := range sizeUnits {
		digits, found := strings.CutSuffix(text, unit.suffix)
		if !found {
			continue
		}
		n, err := strconv.ParseFloat(strings.TrimSpace(digits), 64)
		if err == nil && n > 0 && n*unit.bytes < maxByteSize {
			return int64(n * unit.bytes), true
		}
	}
	return 0, false
}
