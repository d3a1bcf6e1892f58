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

func defaultOnce() Once {
	return Once{Horizon: carobward.Duration(defaultHorizon), Records: defaultRecords, Bytes: defaultOutcome}
}

func (o *Once) validate(keep carobward.Duration, fail failer) {
	if o.Horizon.Std() < horizonLeast || o.Horizon <= keep {
		fail(`settings: "once.horizon": want at least %s and more than "keep", since callers use a ticket for that long, got %s`,
			horizonLeast, o.Horizon.Std())
	}

	if o.Records <= 0 {
		fail(`settings: "once.records": want more than zero`)
	}

	if o.Bytes < carobward.Megabyte {
		fail(`settings: "once.bytes": want at least "1MB"`)
	}
}
