package codec

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"unicode/utf16"
	"unicode/utf8"
)

// Text that package json would replace by U+FFFD without an error.
var (
	errNotUTF8       = errors.New("not UTF-8")
	errLoneSurrogate = errors.New("escape of half a character")
)

// checkText returns an error if JSON contains text that has no representation: bytes that are not UTF-8, or an escaped
// surrogate without its other half. Package json would change it silently.
func checkText(text []byte) error {
	if !utf8.Valid(text) {
		return fmt.Errorf("%w: %w", ErrMalformed, errNotUTF8)
	}
	for rest := text; ; {
		at := bytes.IndexByte(rest, '\\')
		if at < 0 || at+1 >= len(rest) {
			return nil
		}
		first, length := escapedUnit(rest[at:])
		rest = rest[at+length:]
		if !utf16.IsSurrogate(first) {
			continue
		}
		second, length := escapedUnit(rest)
		if utf16.DecodeRune(first, second) == utf8.RuneError {
			return fmt.Errorf("%w: %w", ErrMalformed, errLoneSurrogate)
		}
		rest = rest[length:]
	}
}

// escapedUnit returns the UTF-16 code unit and the length of an escape in the form \uXXXX at the beginning of text. For
// anything else, it returns 0 and the length of an escape of one character.
func escapedUnit(text []byte) (unit rune, length int) {
	const prefix, digits = `\u`, 4
	if len(text) < len(prefix)+digits || string(text[:len(prefix)]) != prefix {
		return 0, min(len(prefix), len(text))
	}
	length = len(prefix) + digits
	value, err := strconv.ParseUint(string(text[len(prefix):length]), 16, 16)
	if err != nil {
		return 0, len(prefix)
	}
	return rune(value), length
}
