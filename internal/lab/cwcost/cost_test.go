package cwcost

import (
	"os"
	"testing"

	"carobward.example/carobward/internal/cwtest"
)

// TestSum reads the cost of this process once, and twice in a sum.
func TestSum(t *testing.T) {
	me := os.Getpid()

	cwtest.Wait(t, "the processor time to grow", func() bool {
		one, err := Of(me)
		if err != nil {
			t.Fatal(err)
		}

		two, err := Sum([]int{me, me})

		return err == nil && one.Processor > 0 && one.Resident > 0 && two.Processor >= 2*one.Processor && two.Resident > one.Resident
	})

	if _, err := Of(0); err == nil {
		t.Error("no error for process 0")
	}
}
