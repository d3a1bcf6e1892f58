package cwgateway

import (
	"fmt"
	"testing"

	"carobward.example/carobward"
)

// TestDrawn wants each entry VM of a large failure domain to be named to callers
// about as often as any other.
func TestDrawn(t *testing.T) {
	const (
		vms     = 106
		callers = 2000
		even    = callers * addressesMost / vms
	)

	named := map[carobward.Address]int{}

	for range callers {
		var list []carobward.Address
		for i := range vms {
			list = append(list, carobward.Address(fmt.Sprintf("10.0.0.%d:80", i)))
		}

		got := drawn(list)
		if len(got) != addressesMost {
			t.Fatalf("%d addresses", len(got))
		}

		for _, a := range got {
			named[a]++
		}
	}

	for i := range vms {
		a := carobward.Address(fmt.Sprintf("10.0.0.%d:80", i))
		if n := named[a]; n < even*8/10 || n > even*12/10 {
			t.Errorf("%s is named to %d of %d callers, %d are even", a, n, callers, even)
		}
	}
}
