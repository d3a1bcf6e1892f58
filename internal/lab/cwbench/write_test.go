package cwbench

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestPlotsAndTablesHoldEachVariant(t *testing.T) {
	s := short()
	list := results(t, s, Baselines()[:2], 1)

	for _, name := range []string{"tail.svg", "goodput.png"} {
		file := filepath.Join(t.TempDir(), name)

		plot := Plot
		if strings.HasPrefix(name, "goodput") {
			plot = PlotSeries
		}

		if err := plot(file, s.Name, list); err != nil {
			t.Fatal(err)
		}

		raw, err := os.ReadFile(file)
		if err != nil || len(raw) < 1000 {
			t.Errorf("%s: %d bytes, %v", name, len(raw), err)
		}
	}

	var b bytes.Buffer
	if err := WriteTable(&b, list); err != nil {
		t.Fatal(err)
	}

	for _, r := range list {
		if !strings.Contains(b.String(), r.Variant) {
			t.Errorf("table has no line for %s:\n%s", r.Variant, &b)
		}
	}
}
