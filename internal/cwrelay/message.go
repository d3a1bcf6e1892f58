// Package cwrelay passes requests from an entry VM that reaches no server of a service to one
// that does. A request goes from one entry VM to another at most once, over HTTP on a listener
// for peers alone: closing the connection cancels it, and long replies are streamed.
//
// What the other entry VM has to know beside the request itself goes in one header field, and
// what it says of the reply in another.
package cwrelay

import (
	"encoding/base64"
	"strings"
	"time"

	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwwire"
)

// Header is the header field of requests and replies between entry VMs. Neither callers nor
// servers may set it.
const Header = "Carobward-Relay"

// errMessage is returned for a message between entry VMs that can't be read.
const errMessage = errors.ConstError("relay: the header field of a peer is missing or malformed")

// Request is what goes with a request that is passed on.
type Request struct {
	// VM is the entry VM that passes it on, Version that of its configuration.
	VM      carobward.VMID
	Version carobward.Version
	// Check is set if it only asks whether requests for the service are taken. Only VM,
	// Version and Service are used then.
	Check   bool
	Service carobward.Service
	ID      carobward.RequestID
	// IP is the caller's IP number, Team its team or "". Priority is the request's.
	IP       string
	Team     carobward.TeamName
	Priority int
	// Left is how long a server may work on it. Due is until when the answer is in time; it is
	// negative if it is late already.
	Left, Due time.Duration
	// Wait is how long the answer is awaited, at least Left. It is longer if the entry VM that passes
	// the request on is stopping: the answer of a server that uses all of its time has to come back.
	Wait time.Duration
	// Sends is how often the request has been sent to servers, PossiblyRun whether it may have
	// run there.
	Sends       int
	PossiblyRun bool
	// Returned is set if the caller is probably retrying after a refusal, Admitted if the
	// request has passed the admission control.
	Returned, Admitted bool
}

// Result is what goes with the reply to a request.
type Result struct {
	ID carobward.RequestID
	// Verdict is carobward.Ran if the reply is a server's. Otherwise Cause says why there is
	// none, and RetryAfter when the caller may retry.
	Verdict    carobward.Verdict
	Cause      string
	RetryAfter time.Duration
	// Server is the server to which the request was sent last, Sends how often it has been
	// sent, by both entry VMs.
	Server carobward.Instance
	Sends  int
}

// CheckResult is the answer to a check.
type CheckResult struct {
	// Taken is set if requests for the service are taken.
	Taken bool
	// Servers is the number of servers of the service that may get a request, InFlight the
	// number of requests in progress at the entry VM.
	Servers, InFlight int
}

// Encode returns the value of the header field, or "" if the message can't be encoded.
func (r *Request) Encode() string {
	return encode(&cwwire.Relay{
		Vm: string(r.VM), Check: r.Check, Service: string(r.Service), Version: uint64(r.Version), Id: []byte(r.ID), Caller: r.IP,
		Team: string(r.Team), Priority: int32(r.Priority), Left: millis(r.Left), Due: r.Due.Milliseconds(),
		Sends: uint32(r.Sends), Run: r.PossiblyRun, Returned: r.Returned, Admitted: r.Admitted, Wait: millis(r.Wait),
	})
}

// DecodeRequest decodes the value of the header field of a request.
func DecodeRequest(text string) (*Request, error) {
	m := &cwwire.Relay{}
	if err := decode(text, m); err != nil {
		return nil, err
	}

	if m.GetVm() == "" || m.GetService() == "" || !m.GetCheck() && len(m.GetId()) == 0 {
		return nil, errMessage
	}

	left := duration(int64(m.GetLeft()))

	return &Request{
		VM: carobward.VMID(m.GetVm()), Version: carobward.Version(m.GetVersion()), Check: m.GetCheck(), Service: carobward.Service(m.GetService()),
		ID: carobward.RequestID(m.GetId()), IP: m.GetCaller(), Team: carobward.TeamName(m.GetTeam()), Priority: int(m.GetPriority()),
		Left: left, Wait: max(left, duration(int64(m.GetWait()))), Due: duration(m.GetDue()), Sends: int(m.GetSends()),
		PossiblyRun: m.GetRun(), Returned: m.GetReturned(), Admitted: m.GetAdmitted(),
	}, nil
}

// Encode returns the value of the header field.
func (r *Result) Encode() string {
	return encode(&cwwire.Relayed{
		Id: []byte(r.ID), Verdict: uint32(r.Verdict), Cause: strings.ToValidUTF8(r.Cause, "?"), Retry: millis(r.RetryAfter), Server: string(r.Server), Sends: uint32(r.Sends),
	})
}

// DecodeResult decodes the value of the header field of a reply.
func DecodeResult(text string) (*Result, error) {
	m := &cwwire.Relayed{}
	if err := decode(text, m); err != nil {
		return nil, err
	}

	r := &Result{
		ID: carobward.RequestID(m.GetId()), Cause: m.GetCause(), RetryAfter: duration(int64(m.GetRetry())),
		Server: carobward.Instance(m.GetServer()), Sends: int(m.GetSends()),
	}

	// Any other number claims nothing.
	if v := carobward.Verdict(m.GetVerdict()); v == carobward.NotRun || v == carobward.Ran {
		r.Verdict = v
	}

	return r, nil
}

// Encode returns the value of the header field.
func (r *CheckResult) Encode() string {
	return encode(&cwwire.Relayed{Taken: r.Taken, Servers: uint32(r.Servers), Flight: uint32(r.InFlight)})
}

// decodeCheckResult decodes the value of the header field of the reply to a check.
func decodeCheckResult(text string) (*CheckResult, error) {
	m := &cwwire.Relayed{}

	if text == "" { // All fields are zero.
		return &CheckResult{}, nil
	}

	if err := decode(text, m); err != nil {
		return nil, err
	}

	return &CheckResult{Taken: m.GetTaken(), Servers: int(m.GetServers()), InFlight: int(m.GetFlight())}, nil
}

func encode(m proto.Message) string {
	// Marshalling fails only if a name is not UTF-8. Peers refuse the empty text.
	raw, err := proto.Marshal(m)
	if err != nil {
		return ""
	}

	return base64.StdEncoding.EncodeToString(raw)
}

func decode(text string, m proto.Message) error {
	raw, err := base64.StdEncoding.DecodeString(strings.TrimSpace(text))
	if err != nil || len(raw) == 0 {
		return errMessage
	}

	return errors.Annotate(proto.Unmarshal(raw, m), "relay")
}

// maxMillis is the largest duration in a message, in milliseconds: longer than any caller
// waits.
const maxMillis = int64(time.Hour / time.Millisecond)

func millis(d time.Duration) uint32 { return uint32(max(0, min(maxMillis, d.Milliseconds()))) }

func duration(ms int64) time.Duration {
	return time.Duration(max(-maxMillis, min(maxMillis, ms))) * time.Millisecond
}
