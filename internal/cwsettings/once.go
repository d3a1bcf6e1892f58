package cwsettings

import (
	"time"

	"carobward.example/carobward"
)

// Once limits the stored outcomes of requests that must not repeat.
type Once struct {
	// Horizon is how long an outcome is kept, counted from when the caller
	// got its ticket. A request with an older ticket is answered with the
	// verdict unknown and never run.
	Horizon carobward.Duration `json:"horizon"`
	// Records is the maximum number of stored outcomes. When it is reached,
	// new requests are refused with the verdict not-run.
	Records int `json:"records"`
	// Bytes is the maximum memory of the stored outcomes, including the
	// replies.
	Bytes carobward.ByteCount `json:"bytes"`
}

// The default values of Once.
const (
	defaultHorizon   = 5 * time.Minute
	defaultRecords   = 200_000
	defaultOnceBytes = 96 * carobward.Megabyte
)

// minHorizon is the resolution of the clock in tickets.
const minHorizon = time.Second

// The upper limits of Records and Bytes.
const (
	maxOnceRecords = 1 << 24
	maxOnceBytes   = 1 << 14 * carobward.Megabyte
)

func defaultOnce() Once {
	return Once{Horizon: carobward.Duration(defaultHorizon), Records: defaultRecords, Bytes: defaultOnceBytes}
}

func (o *Once) validate(keep carobward.Duration, fail reportFunc) {
	if o.Horizon.Std() < minHorizon || o.Horizon <= keep {
		fail("once.horizon", `want at least %s and more than "keep", since callers use a ticket for that long, got %s`,
			minHorizon, o.Horizon.Std())
	}

	fail.checkRange("once.records", int64(o.Records), 1, maxOnceRecords)
	fail.checkRange("once.bytes", int64(o.Bytes), int64(carobward.Megabyte), int64(maxOnceBytes))
}
