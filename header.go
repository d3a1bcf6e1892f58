package carobward

import "strings"

// Field is a header field.
type Field struct {
	Name  string
	Value string
}

// Header is a list of header fields in order.
type Header []Field

// Get returns the first value of a field, or "". Names are compared case-insensitively.
func (h Header) Get(name string) string {
	for i := range h {
		if strings.EqualFold(h[i].Name, name) {
			return h[i].Value
		}
	}

	return ""
}

// The header fields between callers, entry VMs and servers.
const (
	// HeaderID carries the request's id. The reply repeats it.
	HeaderID = "X-Request-Id"
	// HeaderTimeout carries the remaining time in milliseconds.
	HeaderTimeout = "Carobward-Timeout"
	// HeaderVerdict carries a Verdict.
	HeaderVerdict = "Carobward-Verdict"
	// HeaderAttempt is not-run on a reply whose request did not run, if its verdict is
	// unknown only because earlier requests with the same ticket may have run.
	HeaderAttempt = "Carobward-Attempt"
	// HeaderRetryMillis carries the delay of Retry-After in milliseconds; Retry-After
	// rounds it up to seconds.
	HeaderRetryMillis = "Carobward-Retry-Ms"
	// HeaderVM names the entry VM that answered.
	HeaderVM = "Carobward-Vm"
	// HeaderServer names the server that answered.
	HeaderServer = "Carobward-Server"
	// HeaderTicket carries the ticket of a request that runs at most once.
	HeaderTicket = "Carobward-Ticket"
	// HeaderReport carries a server's load in the ORCA text format, see
	// https://github.com/cncf/xds/blob/main/xds/data/orca/v3/orca_load_report.proto
	HeaderReport = "Endpoint-Load-Metrics"
	// HeaderAsk asks a server to send a load report with its reply. Its value is AskReport.
	HeaderAsk = "Carobward-Report"
	// HeaderRetryAfter carries a delay in seconds, RFC 9110, 10.2.3.
	HeaderRetryAfter = "Retry-After"
)

// AskReport is the value of HeaderAsk.
const AskReport = "1"
