package cwowner

import (
	"time"

	"github.com/juju/errors"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwticket"
	"carobward.example/carobward/internal/cwwire"
)

// FieldsToWire encodes header fields.
func FieldsToWire(h carobward.Header) []*cwwire.Field {
	all := make([]*cwwire.Field, 0, len(h))
	for _, f := range h {
		all = append(all, &cwwire.Field{Name: f.Name, Value: f.Value})
	}

	return all
}

// FieldsFromWire decodes header fields.
func FieldsFromWire(w []*cwwire.Field) carobward.Header {
	h := make(carobward.Header, 0, len(w))
	for _, f := range w {
		h = append(h, carobward.Field{Name: f.GetName(), Value: f.GetValue()})
	}

	return h
}

func outcomeToWire(o *cwticket.Outcome) *cwwire.Outcome {
	if o == nil {
		return nil
	}

	return &cwwire.Outcome{
		Status: int32(o.Reply.Status),
		Header: FieldsToWire(o.Reply.Header),
		Body:   o.Reply.Body,
		Server: string(o.Server),
	}
}

func outcomeFromWire(w *cwwire.Outcome) *cwticket.Outcome {
	if w == nil {
		return nil
	}

	return &cwticket.Outcome{
		Reply: &carobward.Reply{
			Status: int(w.GetStatus()),
			Header: FieldsFromWire(w.GetHeader()),
			Body:   w.GetBody(),
		},
		Server: carobward.Address(w.GetServer()),
	}
}

// answerToWire sets the reply to an outcome or a failure.
func answerToWire(out *cwwire.OnceAnswer, answer *cwticket.Outcome, err error) {
	if err == nil {
		out.Outcome = outcomeToWire(answer)

		return
	}

	f := failureOf(err)
	out.Failure = &cwwire.Failure{
		Verdict: f.Verdict.String(),
		Status:  int32(f.Status),
		Retry:   int64(f.RetryAfter),
		Cause:   f.Cause.Error(),
		Attempt: f.Attempt.String(),
	}
}

func answerFromWire(w *cwwire.OnceAnswer) (*cwticket.Outcome, error) {
	if o := w.GetOutcome(); o != nil {
		return outcomeFromWire(o), nil
	}

	f := w.GetFailure()
	if f == nil {
		return nil, unknownFailure(ErrUnresponsive, carobward.Unknown)
	}

	v := carobward.ParseVerdict(f.GetVerdict())
	x := carobward.NewFailure(v, int(f.GetStatus()), time.Duration(f.GetRetry()), errors.New(f.GetCause()))
	x.Attempt = carobward.ParseVerdict(f.GetAttempt())

	return nil, x
}

func callToWire(t cwticket.Ticket, id carobward.RequestID, c *carobward.Call, now time.Time) *cwwire.OnceCall {
	return &cwwire.OnceCall{
		Ticket: t.String(),
		Id:     string(id),
		Method: c.Method,
		Uri:    c.URI,
		Host:   c.Host,
		Header: FieldsToWire(c.Header),
		Body:   c.Body.Bytes(),
		Left:   int64(c.Deadline.Sub(now)),
	}
}

func callFromWire(w *cwwire.OnceCall, now time.Time) *carobward.Call {
	return &carobward.Call{
		Method:   w.GetMethod(),
		URI:      w.GetUri(),
		Host:     w.GetHost(),
		Header:   FieldsFromWire(w.GetHeader()),
		Body:     carobward.BodyOf(w.GetBody()),
		Deadline: now.Add(time.Duration(w.GetLeft())),
		Fresh:    true,
	}
}

func ticketsToWire(all []cwticket.Entry) []*cwwire.Ticket {
	tickets := make([]*cwwire.Ticket, 0, len(all))

	for i := range all {
		e := &all[i]
		tickets = append(tickets, &cwwire.Ticket{
			Issued:  e.Key.Issued,
			Nonce:   e.Key.Nonce,
			Number:  e.Key.Number,
			Kind:    uint32(e.Kind),
			Digest:  e.Digest[:],
			Outcome: outcomeToWire(e.Outcome),
		})
	}

	return tickets
}

func ticketsFromWire(w []*cwwire.Ticket) []cwticket.Entry {
	all := make([]cwticket.Entry, 0, len(w))

	for _, t := range w {
		e := cwticket.Entry{
			Key:     cwticket.Key{Issued: t.GetIssued(), Nonce: t.GetNonce(), Number: t.GetNumber()},
			Kind:    cwticket.Kind(t.GetKind()),
			Outcome: outcomeFromWire(t.GetOutcome()),
		}
		copy(e.Digest[:], t.GetDigest())

		all = append(all, e)
	}

	return all
}
