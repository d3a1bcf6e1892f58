package cwstand

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"carobward.example/carobward"
)

// OddEntry is an entry that another writer left among those of the servers and that names no usable
// server.
type OddEntry struct {
	Key   string
	Value []byte
}

// Sizes of odd values.
const (
	// decoderDepth is the nesting depth up to which encoding/json decodes a value.
	decoderDepth = 10_000
	oddDigits    = 400_000
	oddText      = 200_000
	oddMegabyte  = 1 << 20
)

// nested returns lists that are nested so deeply.
func nested(depth int) string { return strings.Repeat("[", depth) + strings.Repeat("]", depth) }

// nestedObjects returns objects that are nested so deeply.
func nestedObjects(depth int) string {
	return strings.Repeat(`{"a":`, depth) + "1" + strings.Repeat("}", depth)
}

// oddFields are texts in JSON in place of the value of each field, by name.
func oddFields() map[string]map[string]string {
	long, digits := strings.Repeat("x", oddText), strings.Repeat("9", oddDigits)
	numbers := map[string]string{
		"beyond any range": "1e999999", "negative": "-1", "of many digits": digits, "negative, of many digits": "-" + digits,
		"of many decimals": "0." + digits + "e1", "not a number": `"NaN"`, "infinite": `"Infinity"`, "beyond 64 bits": "18446744073709551616",
		"nested": nested(decoderDepth - 10), "nested too deeply": nested(decoderDepth + 1), "objects": nestedObjects(decoderDepth - 10), "a long text": `"` + long + `"`,
	}
	texts := map[string]string{
		"empty": `""`, "long": `"` + long + `"`, "NUL": `"a\u0000b"`, "bad UTF-8": "\"\xff\xfe\"", "half a pair": `"\ud800"`, "a line end": `"a\r\nb: c"`,
		"nested": nested(decoderDepth - 10), "nested too deeply": nested(decoderDepth + 1), "a number": digits,
	}
	addresses := map[string]string{
		"port 0": `"127.0.0.1:0"`, "port too large": `"127.0.0.1:65536"`, "negative port": `"127.0.0.1:-1"`, "empty port": `"127.0.0.1:"`,
		"no port": `"127.0.0.1"`, "a name": `"server.example:80"`, "any address": `"0.0.0.0:80"`, "a group": `"224.0.0.1:80"`,
		"port of many digits": `"127.0.0.1:` + digits + `"`,
	}
	maps.Copy(addresses, texts)

	all := map[string]map[string]string{
		"address": addresses, "service": texts, "zone": texts, "state": texts, "warmup_left": numbers, "slots": maps.Clone(numbers),
		"seq": maps.Clone(numbers), "born": maps.Clone(numbers),
	}
	all["slots"]["0"] = "0"
	all["seq"]["the greatest"] = "18446744073709551615"
	all["seq"]["the greatest signed"] = "9223372036854775807"
	all["born"]["the greatest"] = "9223372036854775807"
	all["born"]["beyond its range"] = "9223372036854775808"

	return all
}

// oddWhole are values in place of a whole entry.
func oddWhole(entry []byte) map[string]string {
	return map[string]string{
		"empty": "", "NUL": "\x00", "bad UTF-8": "\xff\xfe\xfd", "null": "null", "a number": strings.Repeat("9", oddDigits),
		"nested": nested(decoderDepth - 10), "nested too deeply": nested(decoderDepth + 1), "nested, a megabyte": nested(oddMegabyte / 2),
		"open": strings.Repeat("[", oddMegabyte), "objects": nestedObjects(decoderDepth - 10), "too many objects": nestedObjects(10 * decoderDepth),
		"a text of a megabyte": `"` + strings.Repeat("x", oddMegabyte) + `"`, "an entry and a megabyte": string(entry) + strings.Repeat(" ", oddMegabyte),
		"an unknown field, too deep": strings.Replace(string(entry), "{", `{"other":`+nested(decoderDepth+1)+",", 1),
		"an unknown, long field":     strings.Replace(string(entry), "{", `{"other":"`+strings.Repeat("x", oddText)+`",`, 1),
	}
}

// oddKeys are instances that no server can have, by name.
func oddKeys() map[string]string {
	return map[string]string{
		"empty": "", "long": strings.Repeat("k", oddText), "NUL": "a\x00b", "bad UTF-8": "a\xff\xfe", "a line end": "a\r\nb: c", "a space": "a b",
	}
}

// OddEntries returns odd entries by name. Apart from what is odd, each is that of a server of a
// service at an address.
func OddEntries(service carobward.Service, address carobward.Address, domain carobward.Domain) map[string]OddEntry {
	entry := ServerEntryWithStart(ServerEntry(service, address, domain, "ready"), 1_700_000_000_000)
	all := map[string]OddEntry{}
	add := func(name, value string) {
		all[name] = OddEntry{Key: fmt.Sprintf("servers/odd-%03d", len(all)), Value: []byte(value)}
	}

	whole, fields, keys := oddWhole(entry), oddFields(), oddKeys()

	for _, name := range slices.Sorted(maps.Keys(whole)) {
		add("the whole: "+name, whole[name])
	}

	for _, field := range slices.Sorted(maps.Keys(fields)) {
		for _, name := range slices.Sorted(maps.Keys(fields[field])) {
			add(field+": "+name, replaceField(entry, field, fields[field][name]))
		}
	}

	for name, instance := range keys {
		all["the key: "+name] = OddEntry{Key: "servers/" + instance, Value: entry}
	}

	return all
}

// replaceField returns an entry with another text, which need not be valid, as the value of a field.
func replaceField(entry []byte, field, text string) string {
	all := map[string]any{}
	if err := json.Unmarshal(entry, &all); err != nil {
		return ""
	}

	const mark = "the value"

	for _, part := range []any{all, all["info"], all["status"]} {
		if table, ok := part.(map[string]any); ok && table[field] != nil {
			table[field] = mark
		}
	}

	raw, err := json.Marshal(all)
	if err != nil {
		return ""
	}

	return strings.Replace(string(raw), `"`+mark+`"`, text, 1)
}

// OddConfigs returns values that are no usable configuration, by name, made from a usable one.
func OddConfigs(config []byte) map[string][]byte {
	text, digits := string(config), strings.Repeat("9", oddDigits)
	top := func(field string) []byte { return []byte(strings.Replace(text, "{", "{"+field+",", 1)) }

	return map[string][]byte{
		"empty": {}, "NUL": {0}, "bad UTF-8": []byte("\xff\xfe"), "null": []byte("null"), "nested": []byte(nested(decoderDepth - 10)),
		"nested too deeply": []byte(nested(decoderDepth + 1)), "open": []byte(strings.Repeat("[", oddMegabyte)),
		"a field too deep": top(`"other":` + nested(decoderDepth+1)),
		"many digits":      []byte(strings.ReplaceAll(text, `"max_conns":200`, `"max_conns":`+digits)),
		"beyond any range": []byte(strings.ReplaceAll(text, `"max_conns":200`, `"max_conns":1e999999`)),
		"nested hosts":     []byte(strings.ReplaceAll(text, `"hosts":`, `"hosts":`+nested(decoderDepth-10)+`,"other":`)),
		"long version":     []byte(strings.ReplaceAll(text, `"version":"`, `"version":"`+digits)),
		"long kind":        []byte(strings.ReplaceAll(text, `"kind":"safe"`, `"kind":"`+strings.Repeat("k", oddText)+`"`)),
		"unusable, of the greatest version": []byte(strings.ReplaceAll(strings.ReplaceAll(text, `"kind":"safe"`, `"kind":"other"`),
			`"version":"`, `"version":"ffffffffffffffff","other":"`)),
		"a line end in a path": []byte(strings.ReplaceAll(text, `"/health"`, `"/health HTTP/1.1\r\nA: b"`)),
	}
}

// SmallOddEntries returns the odd entries without most of the large ones, for stores that many entry
// VMs read again and again: one of each size remains.
func SmallOddEntries(service carobward.Service, address carobward.Address, domain carobward.Domain) map[string]OddEntry {
	const small = 64 << 10

	all := OddEntries(service, address, domain)
	large := []string{"the whole: a text of a megabyte", "seq: of many digits", "state: long"}

	maps.DeleteFunc(all, func(name string, e OddEntry) bool { return len(e.Value) > small && !slices.Contains(large, name) })

	return all
}
