package cwdrain

import (
	"fmt"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwserver"
)

// BenchmarkTick measures a tick of one entry VM by the number of marks, when
// nothing changes and no marks are left to send.
func BenchmarkTick(b *testing.B) {
	for _, marks := range []int{0, 30, 300, 3000} {
		b.Run(fmt.Sprint(marks, "marks"), func(b *testing.B) {
			now := time.Now()
			table := NewTable()
			s := New(Options{Table: table, Servers: cwserver.NewTable(), Clock: carobward.SystemClock{}, Log: logr.Discard()})

			for i := range marks {
				table.SetDrain(now, carobward.Address(fmt.Sprintf("10.2.%d.%d:80", i/200, i%200)), true)
			}

			for table.takePending() != nil {
			}

			b.ReportAllocs()

			for b.Loop() {
				s.Apply()
				s.gossip.Plan(now, nil)
				table.digestMessage()
			}
		})
	}
}
