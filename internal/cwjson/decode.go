// Package cwjson is a strict decoder for the files that operators write: JSON with
// comments and trailing commas. It rejects mistakes that encoding/json accepts: an
// unknown or duplicate key, a key in different case, null, and a second value after
// the first. It reports all problems of a file at once, each with its place.
package cwjson

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strconv"
	"strings"
	"unicode/utf8"

	"github.com/tailscale/hujson"

	"carobward.example/carobward"
)

// MaxSize is the maximum size of a file in bytes, the limit of the platform's store for
// one value.
const MaxSize = carobward.Megabyte

// maxDepth is the maximum nesting depth of values.
const maxDepth = 64

// Decode decodes raw into the struct that into points to. Fields without a key in the
// file keep their values. The name is the file name in places. The error is of type
// Problems.
func Decode(name string, raw []byte, into any) (*Places, error) {
	places := &Places{name: name, raw: raw, offsets: map[string]int{}}

	if p := rejectReason(raw); p != "" {
		return places, Problems{{Place: name, Text: p}}
	}

	// The parser requires a line end after a comment on the last line.
	value, err := hujson.Parse(append(raw[:len(raw):len(raw)], '\n'))
	if err != nil {
		return places, Problems{{Place: name, Text: strings.TrimPrefix(err.Error(), "hujson: ")}}
	}

	d := &decoder{places: places}
	d.value("", &value, reflect.ValueOf(into).Elem())

	return places, d.problems.Err()
}

// rejectReason returns why a file is rejected without parsing, or "".
func rejectReason(raw []byte) string {
	if len(raw) > int(MaxSize) {
		return fmt.Sprintf("want at most %d bytes, got %d", MaxSize, len(raw))
	}

	if !utf8.Valid(raw) {
		return "want UTF-8"
	}

	// Brackets in strings and comments are counted as well. Valid files stay far
	// below the limit.
	depth, deepest := 0, 0

	for _, c := range raw {
		switch c {
		case '{', '[':
			depth++
			deepest = max(deepest, depth)
		case '}', ']':
			depth--
		}
	}

	if deepest > maxDepth {
		return fmt.Sprintf("want at most %d brackets open at once, got %d", maxDepth, deepest)
	}

	return ""
}

type decoder struct {
	places   *Places
	problems Problems
}

func (d *decoder) fail(at int, key, format string, args ...any) {
	d.problems = append(d.problems, Problem{Place: d.places.place(at), Key: key, Text: fmt.Sprintf(format, args...)})
}

// value decodes one value into a settable variable.
func (d *decoder) value(key string, v *hujson.Value, into reflect.Value) {
	d.places.offsets[key] = v.StartOffset

	if l, ok := v.Value.(hujson.Literal); ok && l.Kind() == 'n' {
		d.fail(v.StartOffset, key, "want a value, got null; leave the key out for its default")

		return
	}

	if into.Kind() == reflect.Pointer {
		into.Set(reflect.New(into.Type().Elem()))
		into = into.Elem()
	}

	_, custom := into.Addr().Interface().(json.Unmarshaler)

	switch {
	case custom:
		d.leaf(key, v, into)
	case into.Kind() == reflect.Struct:
		d.object(key, v, into)
	case into.Kind() == reflect.Slice:
		d.array(key, v, into)
	default:
		d.leaf(key, v, into)
	}
}

// leaf decodes a value without nested keys.
func (d *decoder) leaf(key string, v *hujson.Value, into reflect.Value) {
	raw := strings.TrimSpace(string(d.places.raw[v.StartOffset:v.EndOffset]))

	if _, ok := v.Value.(hujson.Literal); !ok {
		d.fail(v.StartOffset, key, "%s, got %s", expected(into.Kind()), kind(v))

		return
	}

	err := json.Unmarshal([]byte(raw), into.Addr().Interface())
	if err == nil {
		return
	}

	if _, ok := into.Addr().Interface().(json.Unmarshaler); ok {
		d.fail(v.StartOffset, key, "%s", err)
	} else {
		d.fail(v.StartOffset, key, "%s, got %s", expected(into.Kind()), raw)
	}
}

func (d *decoder) array(key string, v *hujson.Value, into reflect.Value) {
	a, ok := v.Value.(*hujson.Array)
	if !ok {
		d.fail(v.StartOffset, key, "want a list in [ ], got %s", kind(v))

		return
	}

	into.Set(reflect.MakeSlice(into.Type(), len(a.Elements), len(a.Elements)))

	for i := range a.Elements {
		d.value(key+"["+strconv.Itoa(i)+"]", &a.Elements[i], into.Index(i))
	}
}

func (d *decoder) object(key string, v *hujson.Value, into reflect.Value) {
	o, ok := v.Value.(*hujson.Object)
	if !ok {
		d.fail(v.StartOffset, key, "want keys in { }, got %s", kind(v))

		return
	}

	known, seen := fields(into.Type()), map[string]bool{}

	for i := range o.Members {
		m := &o.Members[i]
		name := m.Name.Value.(hujson.Literal).String()
		path := join(key, name)
		index, ok := known[name]

		switch {
		case !ok:
			d.fail(m.Name.StartOffset, path, "%s", unknown(name, known))
		case seen[name]:
			d.fail(m.Name.StartOffset, path, "want each key once, this is its second time")
		default:
			d.value(path, &m.Value, into.Field(index))
		}

		seen[name] = true
	}
}

func join(key, name string) string {
	if key == "" {
		return name
	}

	return key + "." + name
}
