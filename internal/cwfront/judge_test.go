package cwfront

import (
	"context"
	"os"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/juju/errors"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwbackend"
)

// end is what a caller is told.
type end struct {
	Status  int
	Verdict string
	Again   bool
}

// TestJudge has the end of a send against what the caller is told: only what
// surely did not run is said not to have run, and then when to come back.
func TestJudge(t *testing.T) {
	failure := func(v carobward.Verdict, err error) error { return carobward.NewFailure(v, 502, 0, err) }
	reply := func(status int, shed bool) *carobward.Reply { return &carobward.Reply{Status: status, Shed: shed} }

	for name, c := range map[string]struct {
		reply *carobward.Reply
		err   error
		want  end
		of    cwbackend.Outcome
	}{
		"an answer":                {reply(200, false), nil, end{200, "ran", false}, cwbackend.Answered},
		"a server's failure":       {reply(500, false), nil, end{500, "ran", false}, cwbackend.Failed},
		"its own timeout":          {reply(504, false), nil, end{504, "ran", false}, cwbackend.Failed},
		"refused":                  {reply(503, true), nil, end{503, "not-run", true}, cwbackend.Refused},
		"refused with 429":         {reply(429, true), nil, end{503, "not-run", true}, cwbackend.Refused},
		"another instance":         {reply(421, true), nil, end{503, "not-run", true}, cwbackend.Refused},
		"503 without the word":     {reply(503, false), nil, end{502, "unknown", false}, cwbackend.Failed},
		"429 without the word":     {reply(429, false), nil, end{502, "unknown", false}, cwbackend.Answered},
		"408 without the word":     {reply(408, false), nil, end{502, "unknown", false}, cwbackend.Answered},
		"a connection that breaks": {nil, failure(carobward.Unknown, errors.New("reset")), end{502, "unknown", false}, cwbackend.Broken},
		"silence":                  {nil, failure(carobward.Unknown, os.ErrDeadlineExceeded), end{504, "unknown", false}, cwbackend.Silent},
		"no connection":            {nil, failure(carobward.NotRun, errors.New("refused")), end{503, "not-run", true}, cwbackend.Broken},
		"no connection in time":    {nil, failure(carobward.NotRun, os.ErrDeadlineExceeded), end{503, "not-run", true}, cwbackend.Silent},
	} {
		t.Run(name, func(t *testing.T) {
			r, one := &request{reply: c.reply, err: c.err}, &sent{reply: c.reply, err: c.err}
			begun := &request{reply: c.reply, err: c.err, begun: true}

			if got := one.outcome(context.Background()); got != c.of {
				t.Errorf("outcome %s, want %s", got, c.of)
			}

			r.judge()

			// After a send that may have run nothing is said not to have run.
			begun.judge()

			if v := begun.verdict(); v == carobward.NotRun || c.want.Verdict != "not-run" && v.String() != c.want.Verdict {
				t.Errorf("verdict %s after an earlier send", v)
			}

			got := end{Verdict: r.verdict().String()}
			if r.err != nil {
				f := asFailure(r.err)
				got.Status, got.Again = f.Status, f.RetryAfter > 0
			} else {
				got.Status = r.reply.Status
			}

			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}
