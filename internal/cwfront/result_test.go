package cwfront

import (
	"context"
	"os"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/juju/errors"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwbackend"
	"carobward.example/carobward/internal/cwlink"
)

// told is what a caller is told: the status, the verdict, and whether there is a time to
// retry.
type told struct {
	Status  int
	Verdict string
	Retry   bool
}

// TestResolveResult checks what the caller is told about the result of a send: only a
// request that surely did not run is reported as not run, and then with a time to retry.
func TestResolveResult(t *testing.T) {
	failure := func(v carobward.Verdict, err error) error { return carobward.NewFailure(v, 502, 0, err) }
	reply := func(status int, shed bool) *carobward.Reply { return &carobward.Reply{Status: status, Shed: shed} }
	refusal := func(status, running int) *carobward.Reply {
		return &carobward.Reply{Status: status, Shed: true, Report: carobward.Report{At: time.Now(), Running: running, Slots: 3}}
	}

	for name, c := range map[string]struct {
		reply         *carobward.Reply
		err           error
		want          told
		serverOutcome cwbackend.Outcome
	}{
		"an answer":                   {reply(200, false), nil, told{200, "ran", false}, cwbackend.Answered},
		"a server's failure":          {reply(500, false), nil, told{500, "ran", false}, cwbackend.Failed},
		"the server's own timeout":    {reply(504, false), nil, told{504, "ran", false}, cwbackend.Failed},
		"refused":                     {reply(503, true), nil, told{503, "not-run", true}, cwbackend.Refused},
		"refused with 429":            {reply(429, true), nil, told{503, "not-run", true}, cwbackend.Refused},
		"another instance":            {reply(421, true), nil, told{503, "not-run", true}, cwbackend.Refused},
		"refused by a full server":    {refusal(503, 3), nil, told{503, "not-run", true}, cwbackend.Refused},
		"refused by one with room":    {refusal(503, 1), nil, told{503, "not-run", true}, cwbackend.RefusedWithRoom},
		"another instance, with room": {refusal(421, 1), nil, told{503, "not-run", true}, cwbackend.Refused},
		"503 without a notice":        {reply(503, false), nil, told{502, "unknown", false}, cwbackend.Failed},
		"429 without a notice":        {reply(429, false), nil, told{502, "unknown", false}, cwbackend.Answered},
		"408 without a notice":        {reply(408, false), nil, told{502, "unknown", false}, cwbackend.Answered},
		"a connection that breaks":    {nil, failure(carobward.Unknown, errors.New("reset")), told{502, "unknown", false}, cwbackend.Broken},
		"no memory for the answer":    {nil, failure(carobward.Unknown, cwlink.ErrNoMemory), told{502, "unknown", false}, cwbackend.Abandoned},
		"no answer in time":           {nil, failure(carobward.Unknown, os.ErrDeadlineExceeded), told{504, "unknown", false}, cwbackend.Silent},
		"no connection":               {nil, failure(carobward.NotRun, errors.New("refused")), told{503, "not-run", true}, cwbackend.Broken},
		"no connection in time":       {nil, failure(carobward.NotRun, os.ErrDeadlineExceeded), told{503, "not-run", true}, cwbackend.Silent},
	} {
		t.Run(name, func(t *testing.T) {
			r, s := &request{reply: c.reply, err: c.err}, &send{reply: c.reply, err: c.err}
			retried := &request{reply: c.reply, err: c.err, possiblyRun: true}

			if got := s.outcome(context.Background()); got != c.serverOutcome {
				t.Errorf("outcome %s, want %s", got, c.serverOutcome)
			}

			r.resolveResult()

			// After a send that may have run, no request is reported as not run.
			retried.resolveResult()

			if v := retried.verdict(); v == carobward.NotRun || c.want.Verdict != "not-run" && v.String() != c.want.Verdict {
				t.Errorf("verdict %s after an earlier send that may have run", v)
			}

			got := told{Verdict: r.verdict().String()}
			if r.err != nil {
				f := asFailure(r.err)
				got.Status, got.Retry = f.Status, f.RetryAfter > 0
			} else {
				got.Status = r.reply.Status
			}

			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}
