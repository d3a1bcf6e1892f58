package cwoperator_test

import (
	"context"
	"encoding/json"
	"expvar"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/go-logr/logr"
	"github.com/gofiber/fiber/v2"
	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwconfig"
	"carobward.example/carobward/internal/cwoperator"
	"carobward.example/carobward/internal/cwpeer"
	"carobward.example/carobward/internal/lab/cwstore"
)

// noPeers is the Caller of an entry VM without peers.
type noPeers struct{}

func (noPeers) Call(context.Context, carobward.Address, string, proto.Message, proto.Message) error {
	return carobward.ErrStoreDown
}

// newAPI returns the API of a single entry VM with a store. If ready is set, the
// entry VM has its configuration.
func newAPI(t *testing.T, store *cwstore.Store, ready bool) *fiber.App {
	t.Helper()

	holder := cwconfig.NewHolder()
	peers := cwpeer.NewTable(carobward.Peer{ID: "vm-1", Domain: "Ifrane"})
	syncer := cwconfig.NewSyncer(store, holder, peers, noPeers{}, &expvar.Map{}, carobward.SystemClock{}, logr.Discard())

	if ready && !syncer.Join(context.Background(), true) {
		t.Fatal("the entry VM is not ready")
	}

	return cwoperator.New("k", holder, cwconfig.NewWriter(store, holder), peers, syncer, http.NotFoundHandler()).Handler()
}

const change = `{"id":"a","author":"ana","base":0,"measure":{"calls":1,"bytes":1024}}`

// TestRefusals checks the status and code of each refusal, and that none of them
// reports that the change may have been accepted.
func TestRefusals(t *testing.T) {
	outage := func(bool, carobward.Key) cwstore.Fault { return cwstore.Down }

	for name, test := range map[string]struct {
		method, path, body, key string
		fault                   func(bool, carobward.Key) cwstore.Fault
		notReady                bool
		status                  int
		code                    cwoperator.Code
	}{
		"accepted":               {"POST", "/config", change, "k", nil, false, 200, ""},
		"no key":                 {"GET", "/config", "", "", nil, false, 401, cwoperator.CodeKey},
		"wrong key":              {"GET", "/status", "", "K", nil, false, 401, cwoperator.CodeKey},
		"malformed":              {"POST", "/config", `{"id":`, "k", nil, false, 400, cwoperator.CodeRequest},
		"unknown JSON key":       {"POST", "/config", `{"id":"a","weight":3}`, "k", nil, false, 400, cwoperator.CodeRequest},
		"no id":                  {"POST", "/config", `{"measure":{}}`, "k", nil, false, 400, cwoperator.CodeRequest},
		"empty change":           {"POST", "/config", `{"id":"a"}`, "k", nil, false, 400, cwoperator.CodeRequest},
		"invalid target name":    {"POST", "/config", `{"id":"a","put":[{"name":"Fee"}]}`, "k", nil, false, 422, cwoperator.CodeInvalid},
		"base in the future":     {"POST", "/config", strings.Replace(change, `"base":0`, `"base":9`, 1), "k", nil, false, 422, cwoperator.CodeInvalid},
		"unknown path":           {"GET", "/weights", "", "k", nil, false, 404, cwoperator.CodeRequest},
		"read while not ready":   {"GET", "/config", "", "k", nil, true, 503, cwoperator.CodeNotReady},
		"change while not ready": {"POST", "/config", change, "k", nil, true, 503, cwoperator.CodeNotReady},
		"no restore needed":      {"POST", "/restore", `{"id":"r"}`, "k", nil, false, 409, cwoperator.CodeCurrent},
		"store down":             {"POST", "/config", change, "k", outage, false, 503, cwoperator.CodeDown},
	} {
		t.Run(name, func(t *testing.T) {
			store := cwstore.New()
			app := newAPI(t, store, !test.notReady)
			store.Fault = test.fault

			req := httptest.NewRequest(test.method, test.path, strings.NewReader(test.body))
			if test.key != "" {
				req.Header.Set(fiber.HeaderAuthorization, "Bearer "+test.key)
			}

			resp, err := app.Test(req, -1)
			if err != nil {
				t.Fatal(err)
			}

			defer func() { _ = resp.Body.Close() }()

			var r cwoperator.Refused
			if err := json.NewDecoder(resp.Body).Decode(&r); err != nil {
				t.Fatal(err)
			}

			got := cwoperator.Refused{Code: r.Code, Unknown: r.Unknown}
			if diff := cmp.Diff(cwoperator.Refused{Code: test.code}, got); diff != "" || resp.StatusCode != test.status {
				t.Errorf("got status %d, want %d: %s %s", resp.StatusCode, test.status, diff, r.Error)
			}
		})
	}
}

// TestStatusOfSingleVM verifies that an entry VM without peers reports its own
// state.
func TestStatusOfSingleVM(t *testing.T) {
	req := httptest.NewRequest(http.MethodGet, "/status", nil)
	req.Header.Set(fiber.HeaderAuthorization, "Bearer k")

	resp, err := newAPI(t, cwstore.New(), true).Test(req, -1)
	if err != nil {
		t.Fatal(err)
	}

	defer func() { _ = resp.Body.Close() }()

	var s cwoperator.Status
	if err := json.NewDecoder(resp.Body).Decode(&s); err != nil {
		t.Fatal(err)
	}

	if len(s.VMs) != 1 || !s.VMs[0].Has(0) || len(s.Without(0)) != 0 || len(s.Without(1)) != 1 {
		t.Errorf("unexpected status %+v", s)
	}
}
