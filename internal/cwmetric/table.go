package cwmetric

import "strings"

// Metric says what one metric means. In its path a word in capitals stands
// for any name.
type Metric struct {
	Path string
	// Unit is what it counts or measures; a gauge may also fall.
	Unit string
	Doc  string
}

// Table has every metric of an entry VM. docs/operators.md has the same.
var Table = []Metric{
	{"requests/TARGET/VERDICT/CLASS", "requests", "Answers to callers by target (- where none matched), by verdict and by class of the HTTP status."},
	{"requests/TARGET/latency/count", "requests", "Answers whose time was taken, from the whole request to the whole answer."},
	{"requests/TARGET/latency/sum", "milliseconds", "The sum of those times."},
	{"requests/TARGET/latency/below/END", "requests", "Those that took at most END and more than half of it."},
	{"memstats", "", "Go's own figures of memory, runtime.MemStats."},
	{"cmdline", "", "The command line of the process."},
}

// Find returns the metric that a path, its names joined by slashes, belongs
// to.
func Find(path string) (Metric, bool) {
	for _, m := range Table {
		if matches(m.Path, path) {
			return m, true
		}
	}

	return Metric{}, false
}

func matches(pattern, path string) bool {
	for pattern != "" && path != "" {
		var want, got string

		want, pattern, _ = strings.Cut(pattern, "/")
		got, path, _ = strings.Cut(path, "/")

		if want != got && want != strings.ToUpper(want) {
			return false
		}
	}

	return pattern == "" && path == ""
}
