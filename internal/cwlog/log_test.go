package cwlog_test

import (
	"bytes"
	"errors"
	"regexp"
	"strings"
	"testing"

	"github.com/go-logr/logr"
	"github.com/google/go-cmp/cmp"

	"carobward.example/carobward/internal/cwlog"
)

var times = regexp.MustCompile(`time=\S+ `)

func TestLog(t *testing.T) {
	tests := map[string]struct {
		level string
		log   func(logr.Logger)
		want  string
	}{
		"named":       {"info", func(l logr.Logger) { l.WithName("entry").Info("Serving.", "vm", "a b") }, "entry: level=INFO msg=Serving. vm=\"a b\"\n"},
		"unnamed":     {"info", func(l logr.Logger) { l.Info("Serving.") }, "carobward: level=INFO msg=Serving.\n"},
		"values":      {"info", func(l logr.Logger) { l.WithValues("vm", 1).WithName("node").Info("Up.") }, "node: level=INFO msg=Up. vm=1\n"},
		"error":       {"error", func(l logr.Logger) { l.WithName("node").Error(errors.New("no"), "Down.") }, "node: level=ERROR msg=Down. err=no\n"},
		"below level": {"error", func(l logr.Logger) { l.Info("Serving.") }, ""},
		"verbose":     {"debug", func(l logr.Logger) { l.WithName("node").V(1).Info("Probe.") }, "node: level=DEBUG msg=Probe.\n"},
		"not verbose": {"info", func(l logr.Logger) { l.V(1).Info("Probe.") }, ""},
		"newline":     {"info", func(l logr.Logger) { l.Info("Up.", "who", "a\nnode: b") }, "carobward: level=INFO msg=Up. who=\"a\\nnode: b\"\n"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var out bytes.Buffer

			tt.log(cwlog.New(&out, tt.level))

			if diff := cmp.Diff(tt.want, times.ReplaceAllString(out.String(), "")); diff != "" {
				t.Errorf("line (-want +got):\n%s", diff)
			}
		})
	}
}

// TestLogWholeLines verifies that lines that are logged concurrently are not interleaved.
func TestLogWholeLines(t *testing.T) {
	const lines = 200

	var out bytes.Buffer

	log := cwlog.New(&out, "info")
	done := make(chan struct{})

	for _, part := range []string{"entry", "config"} {
		go func() {
			for range lines {
				log.WithName(part).Info("Up.", "part", part)
			}

			done <- struct{}{}
		}()
	}

	<-done
	<-done

	whole := regexp.MustCompile(`^(entry: time=\S+ level=INFO msg=Up. part=entry|config: time=\S+ level=INFO msg=Up. part=config)\n$`)

	count := 0
	for l := range strings.Lines(out.String()) {
		count++

		if !whole.MatchString(l) {
			t.Fatalf("interleaved line %q", l)
		}
	}

	if count != 2*lines {
		t.Errorf("got %d lines, want %d", count, 2*lines)
	}
}

// TestLongValue guards against lines as long as what other programs wrote.
func TestLongValue(t *testing.T) {
	type name string

	long := strings.Repeat("x", 1<<20)

	for kind, log := range map[string]func(logr.Logger){
		"text":       func(l logr.Logger) { l.Info("Up.", "key", long) },
		"named type": func(l logr.Logger) { l.Info("Up.", "key", name(long)) },
		"error":      func(l logr.Logger) { l.Error(errors.New(long), "Down.") },
		"a cut rune": func(l logr.Logger) { l.Info("Up.", "key", strings.Repeat("é", 1<<19)) },
	} {
		t.Run(kind, func(t *testing.T) {
			var out bytes.Buffer

			log(cwlog.New(&out, "info"))

			if line := out.String(); len(line) > 20<<10 || !strings.Contains(line, "... (1048576 bytes)") {
				t.Errorf("a line of %d bytes: %.100s", len(line), line)
			}
		})
	}
}
