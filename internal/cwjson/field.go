package cwjson

import (
	"reflect"
	"sort"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

// fields returns the field indexes of a struct by JSON key.
func fields(t reflect.Type) map[string]int {
	known := map[string]int{}

	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		if name != "" && name != "-" {
			known[name] = i
		}
	}

	return known
}

// Keys returns the sorted paths of all keys of a struct type. The path of a key of a
// list's element has "[]" after the list, such as "parts[].key".
func Keys(t reflect.Type) []string {
	var all []string

	switch t.Kind() {
	case reflect.Pointer:
		return Keys(t.Elem())
	case reflect.Slice:
		for _, k := range Keys(t.Elem()) {
			all = append(all, "[]."+k)
		}
	case reflect.Struct:
		for name, i := range fields(t) {
			all = append(all, name)

			for _, k := range Keys(t.Field(i).Type) {
				all = append(all, strings.Replace(name+"."+k, ".[]", "[]", 1))
			}
		}
	}

	sort.Strings(all)

	return all
}

// unknown returns the text of an unknown key's problem. It suggests a similar key or
// lists all keys.
func unknown(name string, known map[string]int) string {
	var names []string
	for k := range known {
		names = append(names, k)
	}

	sort.Strings(names)

	if k := nearest(name, names); k != "" {
		return "unknown key, did you mean " + strconv.Quote(k) + "?"
	}

	return "unknown key, want one of " + strings.Join(names, ", ")
}

func expected(k reflect.Kind) string {
	switch k {
	case reflect.String:
		return "want text in quotes"
	case reflect.Bool:
		return "want true or false"
	case reflect.Float64:
		return "want a number"
	case reflect.Int, reflect.Int64, reflect.Uint64:
		return "want a whole number"
	default:
		return "want a single value"
	}
}

func kind(v *hujson.Value) string {
	switch l := v.Value.(type) {
	case *hujson.Object:
		return "keys in { }"
	case *hujson.Array:
		return "a list in [ ]"
	case hujson.Literal:
		return string(l)
	default:
		return "nothing"
	}
}
