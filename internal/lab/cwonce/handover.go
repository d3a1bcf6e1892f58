package cwonce

import (
	"context"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwticket"
)

// answerSize is the body size of each outcome that HandOver hands over, in
// bytes.
const answerSize = 256

// HandOver returns how long one owner takes to hand over a number of outcomes
// to another, with bodies of 256 bytes and without a network.
func HandOver(outcomes int) (time.Duration, error) {
	f, err := New(2, UnlimitedOptions())
	if err != nil {
		return 0, err
	}

	o := f.At(0).Owner
	call := &carobward.Call{Method: fasthttp.MethodPost, URI: feeURI, Deadline: time.Now().Add(time.Hour)}
	answer := &cwticket.Outcome{Reply: &carobward.Reply{Status: fasthttp.StatusOK, Body: make([]byte, answerSize)}}
	work := func(context.Context) (*cwticket.Outcome, error) { return answer, nil }

	for range outcomes {
		if _, _, err := o.Do(context.Background(), "", "", call, work); err != nil {
			return 0, errors.Annotate(err, "fee")
		}
	}

	start := time.Now()

	if err := o.HandOver(context.Background()); err != nil {
		return 0, errors.Annotate(err, "fee")
	}

	took := time.Since(start)

	return took, f.Stop()
}
