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

	"carobward.example/carobward/internal/cwoperator"
)

const clientTimeout = 15 * time.Second

// clientFlags tell how to reach an entry VM's operators' listener.
type clientFlags struct {
	VM  string `long:"vm" env:"CAROBWARD_VM" required:"yes" description:"Operators' address of any entry VM, such as 10.0.0.5:7004."`
	Key string `long:"key" env:"CAROBWARD_KEY" description:"File with the operators' key."`
}

// call makes one request and reads the answer into out. It returns the
// refusal that the entry VM gave, if any.
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

	if err := fasthttp.DoTimeout(req, resp, clientTimeout); err != nil {
		return noAnswer(errors.Annotatef(err, "entry VM %s", f.VM))
	}

	if resp.StatusCode() != fasthttp.StatusOK {
		return refusal(resp)
	}

	return json.Unmarshal(resp.Body(), out)
}

// noAnswer gives a request that may have run its kind. One that did not get a
// connection has not.
func noAnswer(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return err
	}

	return errors.WithType(err, errNoAnswer)
}

// refusalError is what an entry VM answered in place of a result.
type refusalError struct {
	cwoperator.Refused
}

// Error returns what the entry VM said.
func (r *refusalError) Error() string { return r.Refused.Error }

// Is makes the error one of the kinds that have an exit code.
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

// The bounds of asking again an entry VM that does not know the configuration
// yet.
const (
	readyMost  = 15 * time.Second
	readyPause = 250 * time.Millisecond
)

// view returns the configuration in force on the entry VM, and the last
// changes if asked for. An entry VM that has just started is waited for.
func (f *clientFlags) view(recent bool) (*cwoperator.View, error) {
	v := &cwoperator.View{}

	for end := time.Now().Add(readyMost); ; time.Sleep(readyPause) {
		err := f.call(fasthttp.MethodGet, "/config?recent="+strconv.FormatBool(recent), nil, v)
		if !refusedFor(err, cwoperator.CodeNotReady) || time.Now().After(end) {
			return v, err
		}
	}
}

// refusedFor tells whether an error is a refusal with one of the codes.
func refusedFor(err error, codes ...cwoperator.Code) bool {
	var r *refusalError

	return errors.As(err, &r) && slices.Contains(codes, r.Code)
}
