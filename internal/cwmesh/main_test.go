package cwmesh

import (
	"os"
	"runtime/debug"
	"testing"
)

// gcPercent lets the heap grow by more between collections: simulated fleets allocate much and hold
// little.
const gcPercent = 300

func TestMain(m *testing.M) {
	debug.SetGCPercent(gcPercent)
	os.Exit(m.Run())
}
