package cwlink

import (
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"carobward.example/carobward"
)

// Own is the product's own protocol with servers, docs/server-protocol.md.
type Own struct{}

// Fields adds the call's id, its time left and the question for a report.
func (Own) Fields(c *carobward.Call, left time.Duration, add func(name, value string)) {
	add(carobward.HeaderID, string(c.ID))
	add(carobward.HeaderTimeout, strconv.FormatInt(max(left.Milliseconds(), 1), 10))

	if c.Ask {
		add(carobward.HeaderAsk, carobward.AskReport)
	}
}

// Unframed tells that a reply must show its own end.
func (Own) Unframed() bool { return false }

// Extra tells that a reply to another call spoils the connection.
func (Own) Extra() bool { return false }

// Read checks that the reply is to this call and reads what the server says
// of itself. The call's id must be there once.
func (Own) Read(c *carobward.Call, reply *carobward.Reply, now time.Time) error {
	ids, verdicts := 0, 0
	shed := true

	for i := range reply.Header {
		f := &reply.Header[i]

		switch {
		case strings.EqualFold(f.Name, carobward.HeaderID):
			if ids++; f.Value != string(c.ID) {
				return ErrID
			}
		case strings.EqualFold(f.Name, carobward.HeaderVerdict):
			verdicts++
			shed = shed && carobward.ParseVerdict(f.Value) == carobward.NotRun
		case strings.EqualFold(f.Name, carobward.HeaderReport):
			reply.Report = ParseReport(f.Value, now)
		}
	}

	if ids != 1 {
		return ErrID
	}

	// The word counts only where status and header agree.
	refused := reply.Status == fasthttp.StatusServiceUnavailable || reply.Status == fasthttp.StatusTooManyRequests
	reply.Shed = refused && verdicts > 0 && shed

	return nil
}
