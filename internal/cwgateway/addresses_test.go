package cwgateway

import (
	"fmt"
	"testing"

	"carobward.example/carobward"
)

// TestSampleAddresses verifies that each entry VM of a large failure domain is given to about
// as many callers as any other.
func TestSampleAddresses(t *testing.T) {
	const (
		vms     = 106
		callers = 2000
		average = callers * maxAddresses / vms
	)

	named := map[carobward.Address]int{}

	for range callers {
		var list []carobward.Address
		for i := range vms {
			list = append(list, carobward.Address(fmt.Sprintf("10.0.0.%d:80", i)))
		}

		got := sampleAddresses(list)
		if len(got) != maxAddresses {
			t.Fatalf("the sample has %d addresses", len(got))
		}

		for _, a := range got {
			named[a]++
		}
	}

	for i := range vms {
		a := carobward.Address(fmt.Sprintf("10.0.0.%d:80", i))
		if n := named[a]; n < average*8/10 || n > average*12/10 {
			t.Errorf("%s is given to %d of %d callers, the average is %d", a, n, callers, average)
		}
	}
}
