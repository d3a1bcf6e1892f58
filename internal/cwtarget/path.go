package cwtarget

import (
	"strings"

	"github.com/juju/errors"
)

// The errors of a request whose path or method is refused, since servers
// read it in different ways: one reading could belong to another target.
const (
	ErrForm     = errors.ConstError("the request target must be a path that starts with /")
	ErrSegment  = errors.ConstError(`the path has an empty, "." or ".." segment`)
	ErrByte     = errors.ConstError(`the path has a byte that must be percent-encoded, or a "\" or ";"`)
	ErrEncoding = errors.ConstError("the path has a percent-encoding that is broken, doubled, or of a slash, backslash, semicolon or control byte")
	ErrDeep     = errors.ConstError("the path has too many segments")
	ErrCase     = errors.ConstError("the path differs from a target's only in capitals")
	ErrMethod   = errors.ConstError("the method must be a token in capitals")
	ErrHost     = errors.ConstError("the Host field must be a host name or an IP number")
)

// segmentsMost bounds the segments of a path.
const segmentsMost = 64

// pathOf cuts the query off a request target.
func pathOf(uri string) string {
	path, _, _ := strings.Cut(uri, "?")

	return path
}

// nextSegment splits off the first segment of a path that starts with a
// slash and decodes it.
func nextSegment(path string) (segment, rest string, err error) {
	path = path[1:]
	if i := strings.IndexByte(path, '/'); i >= 0 {
		path, rest = path[:i], path[i:]
	}

	segment, err = decode(path)

	switch {
	case err != nil:
		return "", "", err
	case segment == "" && rest != "", segment == ".", segment == "..":
		return "", "", ErrSegment
	default:
		return segment, rest, nil
	}
}

// decode resolves the percent-encoding of a segment, RFC 3986, 2.1. What
// servers read in different ways is refused.
func decode(segment string) (string, error) {
	plain := true

	for i := range len(segment) {
		c := segment[i]
		if !pathByte[c] {
			return "", ErrByte
		}

		plain = plain && c != '%'
	}

	if plain {
		return segment, nil
	}

	b := make([]byte, 0, len(segment))

	for i := 0; i < len(segment); i++ {
		c := segment[i]
		if c == '%' {
			var ok bool
			if c, ok = encoded(segment[i:]); !ok || bad(c) {
				return "", ErrEncoding
			}

			i += len("FF")
		}

		b = append(b, c)
	}

	return string(b), doubled(b)
}

// doubled refuses a decoded text that could be decoded once more.
func doubled(b []byte) error {
	text := string(b)

	for i := strings.IndexByte(text, '%'); i >= 0; i = strings.IndexByte(text, '%') {
		text = text[i:]
		if _, ok := encoded(text); ok {
			return ErrEncoding
		}

		text = text[1:]
	}

	return nil
}

// encoded reads the byte that a text starting with % encodes.
func encoded(text string) (byte, bool) {
	if len(text) < len("%FF") {
		return 0, false
	}

	high, low := hexValue[text[1]], hexValue[text[2]]

	return (high-1)<<4 | (low - 1), high != 0 && low != 0
}

// bad tells that some servers give a decoded byte a meaning of its own.
func bad(c byte) bool {
	const del = 0x7f

	return c < ' ' || c == del || c == '/' || c == '\\' || c == ';'
}

// pathByte has the bytes of a segment, RFC 3986, 3.3, but for the semicolon:
// some servers cut a segment there. tokenByte has those of a token. hexValue
// has the value of each hexadecimal digit, plus one.
var (
	pathByte  = byteSet("-._~!$&'()*+,=:@%")
	tokenByte = byteSet("!#$%&'*+-.^_`|~")
	hexValue  = digitValues("0123456789abcdef", "0123456789ABCDEF")
)

// byteSet returns the letters, the digits and the given bytes.
func byteSet(others string) [256]bool {
	const alphanumeric = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789"

	var set [256]bool
	for _, c := range []byte(alphanumeric + others) {
		set[c] = true
	}

	return set
}

func digitValues(spellings ...string) [256]byte {
	var values [256]byte

	for _, s := range spellings {
		for i := range len(s) {
			values[s[i]] = byte(i) + 1
		}
	}

	return values
}

// fold returns a segment in small letters, ASCII only.
func fold(segment string) string {
	for i := range len(segment) {
		if c := segment[i]; c >= 'A' && c <= 'Z' {
			return lower(segment)
		}
	}

	return segment
}

func lower(text string) string {
	return strings.Map(func(r rune) rune {
		if r >= 'A' && r <= 'Z' {
			return r + 'a' - 'A'
		}

		return r
	}, text)
}

// hostOf returns a Host field's value without its port and in small letters,
// so that spelling doesn't change the target.
func hostOf(field string) string {
	if i := strings.LastIndexByte(field, ':'); i >= 0 && !strings.HasSuffix(field, "]") {
		field = field[:i]
	}

	return fold(strings.TrimSuffix(field, "."))
}

// isHost tells whether a Host field has nothing but the bytes of a host name
// or an IP number and a port. It may be empty.
func isHost(field string) bool {
	for i := range len(field) {
		if c := field[i]; !tokenByte[c] && strings.IndexByte(":[]", c) < 0 || strings.IndexByte("!#$%&'*+^`|~", c) >= 0 {
			return false
		}
	}

	return true
}

// isMethod tells whether a method is a token, RFC 9110, 5.6.2, without small
// letters: methods are told apart by capitals, but not every server does.
func isMethod(method string) bool {
	for i := range len(method) {
		if c := method[i]; !tokenByte[c] || c >= 'a' && c <= 'z' {
			return false
		}
	}

	return method != ""
}
