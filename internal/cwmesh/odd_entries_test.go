package cwmesh

import (
	"encoding/binary"
	"runtime"
	"testing"

	"carobward.example/carobward/internal/cwwire"
)

// TestPackedClaim guards against entries of a peer that claim to need gigabytes once decompressed.
func TestPackedClaim(t *testing.T) {
	const largest = 64 << 20

	for name, size := range map[string]uint64{"just too large": largest + 1, "4 GB": 1<<32 - 1, "more than can be": 1 << 40} {
		t.Run(name, func(t *testing.T) {
			packed := append(binary.AppendUvarint(nil, size), 0, 'a')

			var before, after runtime.MemStats

			runtime.ReadMemStats(&before)

			_, err := decodeChanges(&cwwire.ChangesReply{Packed: packed}, 0)

			runtime.ReadMemStats(&after)

			if n := after.TotalAlloc - before.TotalAlloc; err == nil || n > largest {
				t.Errorf("error %v, %d bytes allocated", err, n)
			}
		})
	}
}
