// Package jsonsplit splits JSON arrays and objects into their values without decoding them. A
// value may be nested to any depth, and may hold numbers, literals and escapes that are not
// JSON; encoding/json rejects the whole text instead.
package jsonsplit

import (
	"bytes"

	"github.com/rotisserie/eris"
)

// Elements returns the elements of an array.
func Elements(data []byte) ([][]byte, error) {
	var elements [][]byte
	err := split(data, '[', ']', func(_, value []byte) { elements = append(elements, value) })
	return elements, err
}

// Member returns the value of the last member of an object with the given name, or nil if
// there is none or data is not an object. It does not find names that are written with escapes.
func Member(data []byte, name string) []byte { return Members(data, name)[0] }

// Members is Member for several names, in their order.
func Members(data []byte, names ...string) [][]byte {
	found := make([][]byte, len(names))
	err := split(data, '{', '}', func(key, value []byte) {
		for i, name := range names {
			if string(key) == name {
				found[i] = value
			}
		}
	})
	if err != nil {
		clear(found)
	}
	return found
}

// split calls add with each value between the brackets, and with its key in an object.
func split(data []byte, opening, closing byte, add func(key, value []byte)) error {
	data = bytes.TrimSpace(data)
	if len(data) < 2 || data[0] != opening || data[len(data)-1] != closing {
		return eris.Errorf("%.20q is not enclosed in %c and %c", data, opening, closing)
	}
	size := len(data)
	rest := bytes.TrimSpace(data[1 : size-1])
	for len(rest) > 0 {
		var key []byte
		if opening == '{' {
			end := valueEnd(rest)
			if end < 2 || rest[0] != '"' {
				return eris.Errorf("%d bytes before the end: no key", len(rest)+1)
			}
			key, rest = rest[1:end-1], bytes.TrimSpace(rest[end:])
			if len(rest) == 0 || rest[0] != ':' {
				return eris.Errorf("%d bytes before the end: no colon after key %.40q", len(rest)+1, key)
			}
			rest = bytes.TrimSpace(rest[1:])
		}
		end := valueEnd(rest)
		if end == 0 {
			return eris.Errorf("%d bytes before the end: no complete value", len(rest)+1)
		}
		add(key, rest[:end])
		rest = bytes.TrimSpace(rest[end:])
		switch {
		case len(rest) == 0:
		case rest[0] != ',':
			return eris.Errorf("%d bytes before the end: no comma between two values", len(rest)+1)
		default:
			if rest = bytes.TrimSpace(rest[1:]); len(rest) == 0 {
				return eris.New("no value after the last comma")
			}
		}
	}
	return nil
}

// valueEnd returns the length of the value that data begins with, or zero if it is not complete.
func valueEnd(data []byte) int {
	depth := 0
	for i := 0; i < len(data); i++ {
		switch data[i] {
		case '"':
			length := stringEnd(data[i:])
			if length == 0 {
				return 0
			}
			if i += length - 1; depth == 0 {
				return i + 1
			}
		case '{', '[':
			depth++
		case '}', ']':
			depth--
			if depth < 0 {
				return i
			}
			if depth == 0 {
				return i + 1
			}
		case ',', ':', ' ', '\t', '\r', '\n':
			if depth == 0 {
				return i
			}
		}
	}
	if depth > 0 {
		return 0
	}
	return len(data)
}

// stringEnd returns the length of the string that data begins with, or zero if it has no end.
func stringEnd(data []byte) int {
	for i := 1; i < len(data); i++ {
		switch data[i] {
		case '\\':
			i++
		case '"':
			return i + 1
		}
	}
	return 0
}
