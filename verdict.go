package carobward

import (
	"time"

	"github.com/juju/errors"
)

// Verdict is what is known about whether a request ran on a server.
type Verdict uint8

// The verdicts. Unknown is the zero value, so that a verdict that was never set claims
// nothing.
const (
	// Unknown means that the request may or may not have run.
	Unknown Verdict = iota
	// NotRun means that the request did not run and never will.
	NotRun
	// Ran means that the request ran once, to completion.
	Ran
)

var verdictNames = [...]string{Unknown: "unknown", NotRun: "not-run", Ran: "ran"}

// String returns the verdict's name in headers and logs.
func (v Verdict) String() string {
	if int(v) < len(verdictNames) {
		return verdictNames[v]
	}

	return verdictNames[Unknown]
}

// ParseVerdict returns the verdict of a name. Any other text is Unknown, which is always
// safe.
func ParseVerdict(name string) Verdict {
	for v, n := range verdictNames {
		if n == name {
			return Verdict(v)
		}
	}

	return Unknown
}

// Failure is the error of a request without a complete reply.
type Failure struct {
	// Verdict is what is known about whether the request ran.
	Verdict Verdict
	// Status is the HTTP status for the caller.
	Status int
	// RetryAfter is the delay after which the caller should retry.
	RetryAfter time.Duration
	// Cause is the underlying error.
	Cause error
	// Attempt is NotRun if this request did not run and never will, although Verdict is
	// Unknown because earlier requests with its ticket may have run.
	Attempt Verdict
}

// NewFailure returns a failure with the given verdict, HTTP status and cause.
func NewFailure(v Verdict, status int, retry time.Duration, cause error) *Failure {
	return &Failure{Verdict: v, Status: status, RetryAfter: retry, Cause: cause}
}

// Error returns the verdict and the cause.
func (f *Failure) Error() string { return f.Verdict.String() + ": " + f.Cause.Error() }

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Cause }

// VerdictOf returns the verdict that an error carries, or Unknown if it carries none.
func VerdictOf(err error) Verdict {
	var f *Failure
	if errors.As(err, &f) {
		return f.Verdict
	}

	return Unknown
}
