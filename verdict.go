package carobward

import (
	"time"

	"github.com/juju/errors"
)

// Verdict says whether a request may have run on a server.
type Verdict uint8

// The verdicts. Unknown is the zero value, so that a forgotten verdict never
// claims more than is known.
const (
	// Unknown means that the request may or may not have run.
	Unknown Verdict = iota
	// NotRun means that the request did not run and never will.
	NotRun
	// Ran means that the request ran once, to its end.
	Ran
)

var verdictNames = [...]string{Unknown: "unknown", NotRun: "not-run", Ran: "ran"}

// String returns the name that the verdict has in headers and logs.
func (v Verdict) String() string {
	if int(v) < len(verdictNames) {
		return verdictNames[v]
	}

	return verdictNames[Unknown]
}

// ParseVerdict reads a verdict by its name. Any other text is Unknown, which
// is always safe.
func ParseVerdict(name string) Verdict {
	for v, n := range verdictNames {
		if n == name {
			return Verdict(v)
		}
	}

	return Unknown
}

// Failure is the error of a request that got no whole reply.
type Failure struct {
	// Verdict says whether the request may have run.
	Verdict Verdict
	// Status is the HTTP status for the caller.
	Status int
	// RetryAfter is the time after which the caller should come back.
	RetryAfter time.Duration
	// Cause says what happened.
	Cause error
	// Attempt is NotRun where this one request did not run and never will,
	// though Verdict is Unknown since earlier ones with its ticket may have.
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

// VerdictOf returns the verdict that an error carries. An error without one
// is Unknown.
func VerdictOf(err error) Verdict {
	var f *Failure
	if errors.As(err, &f) {
		return f.Verdict
	}

	return Unknown
}
