package cwentry

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/valyala/fasthttp"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwowner"
)

// TestRefusedWithTicket checks that a request with a ticket that is refused
// before its work starts gets the verdict not-run only if the ticket was closed:
// the request may be the retry of one that ran.
func TestRefusedWithTicket(t *testing.T) {
	const fee = "POST /fees HTTP/1.1\r\nHost: h\r\nCarobward-Ticket: %s\r\n"

	for name, request := range map[string]string{
		"timeout":    fee + "Carobward-Timeout: soon\r\nContent-Length: 0\r\n\r\n",
		"request id": fee + "X-Request-Id: a b\r\nContent-Length: 0\r\n\r\n",
		"body":       fee + "Content-Length: 65\r\n\r\n" + strings.Repeat("x", 65),
		"target":     strings.Replace(fee, "/fees", "/elsewhere", 1) + "Content-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			f := &fakeServers{answer: echo}
			to := serve(t, options(), f)

			ask := func(ticket string) (string, string) {
				resp := dial(t, to).write(fmt.Sprintf(request, ticket)).read(false)

				return string(resp.Header.Peek(carobward.HeaderVerdict)), string(resp.Header.Peek(carobward.HeaderTicket))
			}

			resp := dial(t, to).write("POST /fees HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n").read(false)
			used := string(resp.Header.Peek(carobward.HeaderTicket))

			if verdict, next := ask(used); verdict != "unknown" || next != used {
				t.Errorf("a ticket that ran: verdict %s, next ticket %q", verdict, next)
			}

			if verdict, _ := ask("another"); verdict != "unknown" {
				t.Errorf("a ticket of another entry VM: verdict %s, want unknown", verdict)
			}

			prefix, _, _ := strings.Cut(used, ".")

			verdict, next := ask(prefix + ".7")
			if verdict != "not-run" || next == "" || next == prefix+".7" {
				t.Errorf("an unused ticket: verdict %s, next ticket %q", verdict, next)
			}

			late := fmt.Sprintf(fee, prefix+".7") + "Content-Length: 0\r\n\r\n"
			resp = dial(t, to).write(late).read(false)

			if got := string(resp.Header.Peek(carobward.HeaderVerdict)); got != "not-run" || len(f.received()) != 1 {
				t.Errorf("a delayed duplicate: verdict %s, %d calls; want not-run and 1 call", got, len(f.received()))
			}
		})
	}
}

// TestOnceIsSentAgainOnlyIfNotRun checks how often a request that must run at
// most once is sent to servers.
func TestOnceIsSentAgainOnlyIfNotRun(t *testing.T) {
	for name, test := range map[string]struct {
		uri     string
		verdict carobward.Verdict
		want    int
	}{
		"once, unknown": {"/fees", carobward.Unknown, 1},
		"once, not run": {"/fees", carobward.NotRun, maxAttempts},
	} {
		t.Run(name, func(t *testing.T) {
			f := &fakeServers{answer: func(context.Context, *carobward.Call) (*carobward.Reply, error) {
				return nil, carobward.NewFailure(test.verdict, fasthttp.StatusBadGateway, 0, ErrNoServer)
			}}

			fw := newForwarder(f, 1)
			fw.servers.Update([]carobward.VM{
				{Address: "127.0.0.1:1", Service: "records"}, {Address: "127.0.0.1:2", Service: "records"},
				{Address: "127.0.0.1:3", Service: "records"}, {Address: "127.0.0.1:4", Service: "records"},
			})

			call := &carobward.Call{Method: "POST", Host: "h", URI: test.uri, Deadline: time.Now().Add(time.Minute)}

			_, err := fw.RunOnce(context.Background(), "me", call)
			if v := carobward.VerdictOf(err); v != test.verdict {
				t.Errorf("wrong verdict of the error %v", err)
			}

			if diff := cmp.Diff(test.want, len(f.received())); diff != "" {
				t.Error(diff)
			}

			for _, c := range f.received() {
				if !c.Fresh {
					t.Error("the call does not ask for a fresh connection; an idle one may already be closed")
				}
			}
		})
	}
}

// TestRelayedWork checks the verdicts of requests that another entry VM relays.
func TestRelayedWork(t *testing.T) {
	var runner cwowner.Runner = newForwarder(&fakeServers{answer: echo}, 1)

	for name, test := range map[string]struct {
		call carobward.Call
		want carobward.Verdict
	}{
		"fee":       {carobward.Call{Method: "POST", Host: "h", URI: "/fees?x=1"}, carobward.Ran},
		"no target": {carobward.Call{Method: "POST", Host: "h", URI: "/elsewhere"}, carobward.NotRun},
		"body":      {carobward.Call{Method: "POST", Host: "h", URI: "/fees", Body: carobward.Body{make([]byte, 65)}}, carobward.NotRun},
	} {
		t.Run(name, func(t *testing.T) {
			test.call.Deadline = time.Now().Add(time.Hour)

			got := carobward.Ran

			_, err := runner.RunOnce(context.Background(), "me", &test.call)
			if err != nil {
				got = carobward.VerdictOf(err)
			}

			if got != test.want {
				t.Errorf("wrong verdict %s, error %v", got, err)
			}
		})
	}
}
