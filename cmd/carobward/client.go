package main

import (
	"encoding/json"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"carobward.example/carobward/internal/cwframe"
	"carobward.example/carobward/internal/cwoperator"
)

const clientTimeout = 15 * time.Second

// clientFlags are the flags for access to the operators' listener of an entry
// VM.
type clientFlags struct {
	VM  string `long:"vm" env:"CAROBWARD_VM" required:"yes" description:"Operators' address of any entry VM, such as 10.0.0.5:7004."`
	Key string `long:"key" env:"CAROBWARD_KEY" description:"File with the operators' key."`
}

// call sends a request and decodes the reply into out. If the entry VM
// refuses the request, the error is a *refusalError.
func (f *clientFlags) call(method, path string, in, out any) error {
	req := fasthttp.AcquireRequest()
	resp := fasthttp.AcquireResponse()

	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)

	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + f.VM + path)

	if f.Key != "" {
		raw, err := os.ReadFile(f.Key)
		if err != nil {
			return errors.Annotate(err, "key")
		}

		req.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+strings.TrimSpace(string(raw)))
	}

	if in != nil {
		raw, err := json.Marshal(in)
		if err != nil {
			return err
		}

		req.SetBody(raw)
	}

	client := &fasthttp.Client{Dial: cwframe.Dialer(clientTimeout)}
	if err := client.DoTimeout(req, resp, clientTimeout); err != nil {
		return noAnswer(errors.Annotatef(err, "entry VM %s", f.VM))
	}

	if resp.StatusCode() != fasthttp.StatusOK {
		return refusal(resp)
	}

	return json.Unmarshal(resp.Body(), out)
}

// noAnswer adds errNoAnswer to the error of a request that may have run. A
// request whose connection could not be opened has not run.
func noAnswer(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return err
	}

	return errors.WithType(err, errNoAnswer)
}

// refusalError is an error that the entry VM replied with.
type refusalError struct {
	cwoperator.Refused
}

// Error returns the message of the entry VM.
func (r *refusalError) Error() string { return r.Refused.Error }

// Is matches the error with errUnknown or errRefused, which have their own
// exit codes.
func (r *refusalError) Is(kind error) bool {
	if r.Unknown {
		return kind == errUnknown
	}

	return kind == errRefused
}

func refusal(resp *fasthttp.Response) error {
	r := &refusalError{}
	if err := json.Unmarshal(resp.Body(), &r.Refused); err != nil || r.Refused.Error == "" {
		return errors.Errorf("status %d: %s", resp.StatusCode(), resp.Body())
	}

	return r
}

// The time limit and the interval of the requests to an entry VM that has not
// received the configuration yet.
const (
	readyTimeout  = 15 * time.Second
	readyInterval = 250 * time.Millisecond
)

// view returns the effective configuration of the entry VM and, if recent is
// set, the last changes. It waits for an entry VM that has just started.
func (f *clientFlags) view(recent bool) (*cwoperator.View, error) {
	v := &cwoperator.View{}

	for end := time.Now().Add(readyTimeout); ; time.Sleep(readyInterval) {
		err := f.call(fasthttp.MethodGet, "/config?recent="+strconv.FormatBool(recent), nil, v)
		if !refusedFor(err, cwoperator.CodeNotReady) || time.Now().After(end) {
			return v, err
		}
	}
}

// refusedFor reports whether an error is a refusal with one of the codes.
func refusedFor(err error, codes ...cwoperator.Code) bool {
	var r *refusalError

	return errors.As(err, &r) && slices.Contains(codes, r.Code)
}
