package carobward

import "strings"

// Field is one header field.
type Field struct {
	Name  string
	Value string
}

// Header is a list of header fields in their order.
type Header []Field

// Get returns the first value of a field, or "". Names are compared without
// regard to case.
func (h Header) Get(name string) string {
	for i := range h {
		if strings.EqualFold(h[i].Name, name) {
			return h[i].Value
		}
	}

	return ""
}

// The header fields of the callers' and the servers' protocol.
const (
	// HeaderID carries the request's id. The reply carries the same.
	HeaderID = "X-Request-Id"
	// HeaderTimeout carries the time left, in milliseconds.
	HeaderTimeout = "Carobward-Timeout"
	// HeaderVerdict carries a Verdict.
	HeaderVerdict = "Carobward-Verdict"
	// HeaderAttempt is not-run on a reply whose verdict is unknown only for
	// the sake of earlier requests with the same ticket.
	HeaderAttempt = "Carobward-Attempt"
	// HeaderRetryMillis says in milliseconds what Retry-After rounds up.
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
	// HeaderAsk asks a server for a report with its reply; its value is
	// AskReport.
	HeaderAsk = "Carobward-Report"
	// HeaderRetryAfter carries seconds, RFC 9110, 10.2.3.
	HeaderRetryAfter = "Retry-After"
)

// AskReport is the value of HeaderAsk.
const AskReport = "1"
