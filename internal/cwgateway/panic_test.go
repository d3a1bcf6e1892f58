package cwgateway_test

import (
	"net/http"
	"testing"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwgateway"
)

// panickingDialect is a callers' dialect that panics on one header field.
type panickingDialect struct{ carobward.CallerDialect }

func (d panickingDialect) Strips(name string, keyed bool) bool {
	if name == "X-Fault" {
		panic("test panic")
	}

	return d.CallerDialect.Strips(name, keyed)
}

// TestPanic verifies that a request that makes an entry VM panic affects only its own caller:
// the process goes on, and the answer does not claim that the request did not run.
func TestPanic(t *testing.T) {
	f := newFleet(t)
	f.upstream(t, "records", "i-1")
	f.configure(safeRoute("records"))

	v := f.start(t, "vm-1", func(o *cwgateway.Options) { o.Adapter.Caller = panickingDialect{o.Adapter.Caller} })
	v.waitReady(t)

	req, err := http.NewRequest(http.MethodGet, "http://"+string(v.options.Self.Callers)+readPath, nil)
	if err != nil {
		t.Fatal(err)
	}

	req.Host = host
	req.Header.Set("Request-Id", "one")
	req.Header.Set("X-Fault", "1")

	if got := do(req); got.status != http.StatusBadGateway || got.header.Get("Retry-After") != "" {
		t.Errorf("request that panics: %+v", got)
	}

	if got := v.send(http.MethodGet, readPath, "two", ""); got.status != http.StatusOK {
		t.Errorf("request after the panic: %+v", got)
	}
}
