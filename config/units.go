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

// Duration reads a duration with its unit, such as "250ms".
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

// textOr returns a value as text, or a fallback if it has none.
func textOr(v cty.Value, fallback string) string {
	if s, err := convert.Convert(v, cty.String); err == nil && !s.IsNull() && s.IsKnown() {
		return s.AsString()
	}
	return fallback
}

// sizeUnits are the units of sizes. "B" is last, since the others end in it too.
var sizeUnits = []struct {
	suffix string
	bytes  float64
}{
	{"KiB", 1 << 10},
	{"MiB", 1 << 20},
	{"GiB", 1 << 30},
	{"B", 1},
}

// maxByteSize is the largest size that a float64 holds exactly.
const maxByteSize = 1 << 53

// ByteSize reads a number of bytes with its unit, such as "4MiB".
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

// parseByteSize returns the bytes of a size with its unit, false if it is malformed, not positive or too large.
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
