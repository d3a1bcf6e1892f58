package cwgateway_test

import (
	"net/http"
	"testing"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwgateway"
)

// faulty is a callers' dialect with a fault that one request meets.
type faulty struct{ carobward.CallerDialect }

func (f faulty) Hides(name string, keyed bool) bool {
	if name == "X-Fault" {
		panic("a fault")
	}

	return f.CallerDialect.Hides(name, keyed)
}

// TestFault wants a request that meets a fault of an entry VM to cost nobody but its
// caller: the process goes on, and no answer says that the request did not run.
func TestFault(t *testing.T) {
	f := newFleet(t)
	f.upstream(t, "records", "i-1")
	f.configure(safe("records"))

	v := f.start(t, "vm-1", func(o *cwgateway.Options) { o.Adapter.Caller = faulty{o.Adapter.Caller} })
	v.waitReady(t)

	req, err := http.NewRequest(http.MethodGet, "http://"+string(v.options.Self.Callers)+reading, nil)
	if err != nil {
		t.Fatal(err)
	}

	req.Host = host
	req.Header.Set("Request-Id", "one")
	req.Header.Set("X-Fault", "1")

	if got := do(req); got.status != http.StatusBadGateway || got.header.Get("Retry-After") != "" {
		t.Errorf("%+v", got)
	}

	if got := v.ask(http.MethodGet, reading, "two", ""); got.status != http.StatusOK {
		t.Errorf("after it: %+v", got)
	}
}
