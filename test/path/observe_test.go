package path

import (
	"encoding/json"
	"strings"
	"syscall"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/valyala/fasthttp"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwmetric"
	"carobward.example/carobward/internal/cwtest"
	"carobward.example/carobward/internal/cwtrace"
)

// The trace IDs of two callers, and the span ID of both.
const (
	lookupTrace = "11111111111111111111111111111111"
	feeTrace    = "22222222222222222222222222222222"
	callerSpan  = "00f067aa0ba902b7"
)

// send sends a request with a trace ID and returns the reply's status and body.
func send(t *testing.T, method, url, trace, ticket string) (int, string) {
	t.Helper()

	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)

	req.Header.SetMethod(method)
	req.SetRequestURI(url)
	req.Header.Set(cwtrace.HeaderParent, "00-"+trace+"-"+callerSpan+"-01")

	if ticket != "" {
		req.Header.Set(carobward.HeaderTicket, ticket)
	}

	if err := fasthttp.DoTimeout(req, resp, cwtest.MaxWait); err != nil {
		t.Fatal(err)
	}

	return resp.StatusCode(), string(resp.Body())
}

// span has the fields of an exported span that the test reads.
type span struct {
	Name        string
	SpanContext struct{ TraceID, SpanID string }
	Parent      struct{ SpanID string }
}

// spans returns the spans of a trace in a process's output, each as the name of its parent
// and its own, such as "request/attempt". It adds their names to names, by span ID.
func spans(output, trace string, names map[string]string) []string {
	var all []span

	for line := range strings.Lines(output) {
		var s span
		if json.Unmarshal([]byte(line), &s) == nil && s.SpanContext.TraceID == trace {
			names[s.SpanContext.SpanID] = s.Name
			all = append(all, s)
		}
	}

	var out []string
	for _, s := range all {
		out = append(out, names[s.Parent.SpanID]+"/"+s.Name)
	}

	return out
}

// paths adds all numbers in a JSON value to into, by their path below prefix.
func paths(prefix string, v any, into map[string]float64) {
	switch x := v.(type) {
	case map[string]any:
		for k, below := range x {
			paths(prefix+"/"+k, below, into)
		}
	case float64:
		into[prefix[1:]] = x
	}
}

// TestObserve sends a lookup, and a fee whose ticket belongs to another entry VM, through
// separate processes, and checks their metrics and spans.
func TestObserve(t *testing.T) {
	f := cwtest.NewFleet(t)
	one := f.StartVM(t, "vm-1", "Ifrane", `"trace": {"to": "stdout", "share": 0},`)
	two := f.StartVM(t, "vm-2", "Azilal", `"trace": {"to": "stdout", "share": 0},`)

	f.StartServer(t, "records")
	f.StartServer(t, "billing")

	if out, code := cwtest.Run(t, f.Carobward, "apply", "--vm", one.Operators, "../../examples/atlas/targets.jsonc"); code != 0 {
		t.Fatalf("apply: exit code %d\n%s", code, out)
	}

	f.WaitRevision(t, 1, 2)

	if status, body := send(t, "GET", "http://"+one.Operators+"/ready", lookupTrace, ""); status != fasthttp.StatusOK {
		t.Errorf("readiness: status %d, %s", status, body)
	}

	_, body := send(t, "GET", "http://"+one.Lookup+"/addresses?caller=a", lookupTrace, "")

	var answer struct{ Ticket string }
	if err := json.Unmarshal([]byte(body), &answer); err != nil {
		t.Fatal(err)
	}

	send(t, "GET", "http://"+one.Callers+"/sheets/today", lookupTrace, "")
	send(t, "GET", "http://"+one.Callers+"/sheets/../fees", lookupTrace, "")

	if status, body := send(t, "POST", "http://"+two.Callers+"/fees", feeTrace, answer.Ticket+".1"); status != fasthttp.StatusOK {
		t.Fatalf("fee: status %d, %s", status, body)
	}

	checkMetrics(t, one)

	for _, v := range f.VMs {
		v.Process.Signal(t, syscall.SIGTERM)
	}

	for _, v := range f.VMs {
		if err := v.Process.Wait(t); err != nil {
			t.Error(err)
		}
	}

	names := map[string]string{callerSpan: "caller"}
	got := [][]string{
		spans(one.Process.Output(), lookupTrace, names),
		spans(two.Process.Output(), feeTrace, names),
		spans(one.Process.Output(), feeTrace, names),
	}
	want := [][]string{
		{"request/attempt", "caller/request", "caller/request"},
		{"request/pass", "caller/request"},
		{"request/attempt", "pass/request"},
	}

	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("spans (-want +got):\n%s", diff)
	}
}

// checkMetrics checks that the requests are counted and that the table of metrics has each
// metric that the entry VM exports.
func checkMetrics(t *testing.T, v *cwtest.EntryVM) {
	t.Helper()

	_, body := send(t, "GET", "http://"+v.Operators+"/debug/vars", lookupTrace, "")

	var vars map[string]any
	if err := json.Unmarshal([]byte(body), &vars); err != nil {
		t.Fatal(err)
	}

	delete(vars, "memstats")
	delete(vars, "cmdline")

	got := map[string]float64{}
	paths("", vars, got)

	for path := range got {
		if _, ok := cwmetric.Find(path); !ok {
			t.Errorf("the table of metrics has no %s", path)
		}
	}

	want := map[string]float64{
		"requests/sheet-lookup/ran/2xx": 1, "requests/sheet-lookup/latency/count": 1,
		"requests/-/not-run/4xx": 1, "node/revision": 1, "node/live": 2,
	}
	for path, n := range want {
		if got[path] != n {
			t.Errorf("%s is %v, want %v", path, got[path], n)
		}
	}
}
