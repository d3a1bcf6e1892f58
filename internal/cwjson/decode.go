// Package cwjson reads the files that operators write: JSON with comments,
// read strictly. Where encoding/json lets a slip pass (an unknown or doubled
// key, a key in other capitals, null, a second value behind the first), this
// package says so, with the place in the file, and goes on, so that all
// problems are told at once.
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

// Most is the largest file in bytes. The platform's store holds no larger
// value.
const Most = carobward.Megabyte

// depthMost bounds how deep values may nest.
const depthMost = 64

// Decode reads raw into the struct that into points to. What the file leaves
// out keeps its value. The name goes into places. The error is Problems.
func Decode(name string, raw []byte, into any) (*Places, error) {
	places := &Places{name: name, raw: raw, offsets: map[string]int{}}

	if p := unfit(raw); p != "" {
		return places, Problems{{Place: name, Text: p}}
	}

	// The parser wants a line end behind a comment in the last line.
	value, err := hujson.Parse(append(raw[:len(raw):len(raw)], '\n'))
	if err != nil {
		return places, Problems{{Place: name, Text: strings.TrimPrefix(err.Error(), "hujson: ")}}
	}

	d := &decoder{places: places}
	d.value("", &value, reflect.ValueOf(into).Elem())

	return places, d.problems.Err()
}

// unfit says why a text is not even parsed.
func unfit(raw []byte) string {
	if len(raw) > int(Most) {
		return fmt.Sprintf("want at most %d bytes, got %d", Most, len(raw))
	}

	if !utf8.Valid(raw) {
		return "want UTF-8"
	}

	// Brackets in texts and comments count as well: a file of this kind
	// has nowhere near as many.
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

	if deepest > depthMost {
		return fmt.Sprintf("want at most %d brackets open at once, got %d", depthMost, deepest)
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

// value reads one value into a settable variable.
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

// leaf reads a value that has no keys below it.
func (d *decoder) leaf(key string, v *hujson.Value, into reflect.Value) {
	raw := strings.TrimSpace(string(d.places.raw[v.StartOffset:v.EndOffset]))

	if _, ok := v.Value.(hujson.Literal); !ok {
		d.fail(v.StartOffset, key, "%s, got %s", wanted(into.Kind()), kind(v))

		return
	}

	err := json.Unmarshal([]byte(raw), into.Addr().Interface())
	if err == nil {
		return
	}

	if _, ok := into.Addr().Interface().(json.Unmarshaler); ok {
		d.fail(v.StartOffset, key, "%s", err)
	} else {
		d.fail(v.StartOffset, key, "%s, got %s", wanted(into.Kind()), raw)
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
