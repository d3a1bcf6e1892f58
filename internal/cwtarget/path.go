package cwtarget

import (
	"strings"

	"github.com/juju/errors"
)

// The errors for a request whose path, method or host is rejected. Servers
// interpret such values differently, and one interpretation could match
// another target.
const (
	ErrNotPath         = errors.ConstError("the request target must be a path that starts with /")
	ErrSegment         = errors.ConstError(`the path has an empty, "." or ".." segment`)
	ErrByte            = errors.ConstError(`the path has a byte that must be percent-encoded, or a "\" or ";"`)
	ErrEncoding        = errors.ConstError("the path has a percent-encoding that is broken, doubled, or of a slash, backslash, semicolon or control byte")
	ErrTooManySegments = errors.ConstError("the path has too many segments")
	ErrCase            = errors.ConstError("the path differs from a target's only in capitals")
	ErrMethod          = errors.ConstError("the method must be a token in capitals")
	ErrHost            = errors.ConstError("the Host field must be a host name or an IP number")
)

// maxSegments is the maximum number of segments in a path.
const maxSegments = 64

// pathOf returns a request target without its query.
func pathOf(uri string) string {
	path, _, _ := strings.Cut(uri, "?")

	return path
}

// nextSegment removes the first segment from a path that starts with a slash.
// It returns the segment, decoded, and the rest of the path.
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

// decode resolves the percent-encoding of a segment (RFC 3986, section 2.1).
// It rejects what servers decode in different ways.
func decode(segment string) (string, error) {
	unencoded := true

	for i := range len(segment) {
		c := segment[i]
		if !pathByte[c] {
			return "", ErrByte
		}

		unencoded = unencoded && c != '%'
	}

	if unencoded {
		return segment, nil
	}

	b := make([]byte, 0, len(segment))

	for i := 0; i < len(segment); i++ {
		c := segment[i]
		if c == '%' {
			var ok bool
			if c, ok = decodeByte(segment[i:]); !ok || isAmbiguous(c) {
				return "", ErrEncoding
			}

			i += len("FF")
		}

		b = append(b, c)
	}

	return string(b), checkDoubleEncoding(b)
}

// checkDoubleEncoding rejects decoded text that still contains a
// percent-encoding.
func checkDoubleEncoding(b []byte) error {
	text := string(b)

	for i := strings.IndexByte(text, '%'); i >= 0; i = strings.IndexByte(text, '%') {
		text = text[i:]
		if _, ok := decodeByte(text); ok {
			return ErrEncoding
		}

		text = text[1:]
	}

	return nil
}

// decodeByte decodes the percent-encoded byte at the start of text. It
// returns false if the percent sign is not followed by two hexadecimal
// digits.
func decodeByte(text string) (byte, bool) {
	if len(text) < len("%FF") {
		return 0, false
	}

	high, low := hexValue[text[1]], hexValue[text[2]]

	return (high-1)<<4 | (low - 1), high != 0 && low != 0
}

// isAmbiguous reports whether some servers treat a decoded byte as a
// delimiter or a control character.
func isAmbiguous(c byte) bool {
	const del = 0x7f

	return c < ' ' || c == del || c == '/' || c == '\\' || c == ';'
}

// pathByte is the set of bytes allowed in a segment (RFC 3986, section 3.3)
// without the semicolon, at which some servers truncate the segment. tokenByte
// is the set of bytes allowed in a token. hexValue maps each hexadecimal digit
// to its value plus one, and every other byte to zero.
var (
	pathByte  = byteSet("-._~!$&'()*+,=:@%")
	tokenByte = byteSet("!#$%&'*+-.^_`|~")
	hexValue  = digitValues("0123456789abcdef", "0123456789ABCDEF")
)

// byteSet returns the set of the ASCII letters, the digits and the given
// bytes.
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

// foldCase returns a segment with its ASCII letters in lower case.
func foldCase(segment string) string {
	for i := range len(segment) {
		if c := segment[i]; c >= 'A' && c <= 'Z' {
			return toLower(segment)
		}
	}

	return segment
}

func toLower(text string) string {
	return strings.Map(func(r rune) rune {
		if r >= 'A' && r <= 'Z' {
			return r + 'a' - 'A'
		}

		return r
	}, text)
}

// hostOf returns the value of a Host field in lower case, without the port
// and the trailing dot, so that the spelling does not affect which target
// matches.
func hostOf(field string) string {
	if i := strings.LastIndexByte(field, ':'); i >= 0 && !strings.HasSuffix(field, "]") {
		field = field[:i]
	}

	return foldCase(strings.TrimSuffix(field, "."))
}

// isHost reports whether a Host field consists only of bytes that occur in a
// host name, an IP address or a port. An empty field is valid.
func isHost(field string) bool {
	for i := range len(field) {
		if c := field[i]; !tokenByte[c] && strings.IndexByte(":[]", c) < 0 || strings.IndexByte("!#$%&'*+^`|~", c) >= 0 {
			return false
		}
	}

	return true
}

// isMethod reports whether a method is a token (RFC 9110, section 5.6.2)
// without lower-case letters: methods are case-sensitive, but not every
// server respects that.
func isMethod(method string) bool {
	for i := range len(method) {
		if c := method[i]; !tokenByte[c] || c >= 'a' && c <= 'z' {
			return false
		}
	}

	return method != ""
}
