package cwframe

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/valyala/fasthttp"

	"carobward.example/carobward"
)

// TestCopy verifies that copied fields stay the same when the library's buffers
// change.
func TestCopy(t *testing.T) {
	var h fasthttp.RequestHeader

	h.Set("A", "1")
	h.Set("B", "2")
	h.Add("C", "")

	got := Copy(h.All(), func(name []byte) bool { return string(name) != "B" })

	h.Set("A", "9")
	h.Set("C", "9")

	other := Copy(h.All(), KeepAll)

	if diff := cmp.Diff(carobward.Header{{Name: "A", Value: "1"}, {Name: "C"}}, got); diff != "" {
		t.Error(diff)
	}

	if len(other) != 3 || len(Copy(h.All(), func([]byte) bool { return false })) != 0 {
		t.Errorf("want all three fields with KeepAll and none without, got %v with KeepAll", other)
	}
}
