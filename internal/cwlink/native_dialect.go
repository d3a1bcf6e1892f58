package cwlink

import (
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"carobward.example/carobward"
)

// NativeDialect is carobward's own protocol for servers, see
// docs/server-protocol.md.
type NativeDialect struct{}

// Fields adds the call's id, the remaining time and, if the call asks for one, the
// request for a load report.
func (NativeDialect) Fields(c *carobward.Call, left time.Duration, add func(name, value string)) {
	add(carobward.HeaderID, string(c.ID))
	add(carobward.HeaderTimeout, strconv.FormatInt(max(left.Milliseconds(), 1), 10))

	if c.WantReport {
		add(carobward.HeaderAsk, carobward.AskReport)
	}
}

// AllowsUnframed returns false: a reply must have a length or be chunked.
func (NativeDialect) AllowsUnframed() bool { return false }

// AllowsExtraReply returns false: after a reply to another call the connection is not used
// again.
func (NativeDialect) AllowsExtraReply() bool { return false }

// Read checks that the reply belongs to this call and reads the server's load
// report and verdict. The reply must have the call's id exactly once.
func (NativeDialect) Read(c *carobward.Call, reply *carobward.Reply, now time.Time) error {
	ids, verdicts := 0, 0
	shed := true

	for i := range reply.Header {
		f := &reply.Header[i]

		switch {
		case strings.EqualFold(f.Name, carobward.HeaderID):
			if ids++; f.Value != string(c.ID) {
				return ErrWrongID
			}
		case strings.EqualFold(f.Name, carobward.HeaderVerdict):
			verdicts++
			shed = shed && carobward.ParseVerdict(f.Value) == carobward.NotRun
		case strings.EqualFold(f.Name, carobward.HeaderReport):
			reply.Report = ParseReport(f.Value, now)
		}
	}

	if ids != 1 {
		return ErrWrongID
	}

	// The verdict counts only if the status agrees with it.
	refused := reply.Status == fasthttp.StatusServiceUnavailable || reply.Status == fasthttp.StatusTooManyRequests
	reply.Shed = refused && verdicts > 0 && shed

	return nil
}
