package cwsettings

import (
	"time"

	"carobward.example/carobward"
)

// Once bounds what is kept of work that runs at most once.
type Once struct {
	// Horizon is how long after a caller got its ticket the outcome is kept.
	// An older ticket is refused as unknown, never run.
	Horizon carobward.Duration `json:"horizon"`
	// Records is the most outcomes that are kept. Beyond it new work is
	// refused as not run.
	Records int `json:"records"`
	// Bytes bounds their memory, the answers included.
	Bytes carobward.ByteCount `json:"bytes"`
}

// The default values of Once.
const (
	defaultHorizon = 5 * time.Minute
	defaultRecords = 200_000
	defaultOutcome = 96 * carobward.Megabyte
)

// horizonLeast is the shortest horizon that the tickets' clock can tell from
// nothing.
const horizonLeast = time.Second

// The most that may be kept.
const (
	onceRecordsMost = 1 << 24
	onceBytesMost   = 1 << 14 * carobward.Megabyte
)

func defaultOnce() Once {
	return Once{Horizon: carobward.Duration(defaultHorizon), Records: defaultRecords, Bytes: defaultOutcome}
}

func (o *Once) validate(keep carobward.Duration, fail failer) {
	if o.Horizon.Std() < horizonLeast || o.Horizon <= keep {
		fail("once.horizon", `want at least %s and more than "keep", since callers use a ticket for that long, got %s`,
			horizonLeast, o.Horizon.Std())
	}

	fail.unless("once.records", int64(o.Records), 1, onceRecordsMost)
	fail.unless("once.bytes", int64(o.Bytes), int64(carobward.Megabyte), int64(onceBytesMost))
}
