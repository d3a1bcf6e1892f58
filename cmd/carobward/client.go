package main

import (
	"encoding/json"
	"os"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"carobward.example/carobward/internal/cwconfig"
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
		return errors.Annotatef(err, "entry VM %s", f.VM)
	}

	if resp.StatusCode() != fasthttp.StatusOK {
		return refusal(resp)
	}

	return json.Unmarshal(resp.Body(), out)
}

func refusal(resp *fasthttp.Response) error {
	var r cwoperator.Refused
	if err := json.Unmarshal(resp.Body(), &r); err != nil || r.Error == "" {
		return errors.Errorf("status %d: %s", resp.StatusCode(), resp.Body())
	}

	if r.Unknown {
		return errors.Wrap(errors.New(r.Error), errUnknown)
	}

	return errors.Annotate(errRefused, r.Error)
}

func (f *clientFlags) config() (*cwconfig.Config, error) {
	c := &cwconfig.Config{}

	return c, f.call(fasthttp.MethodGet, "/config", nil, c)
}
