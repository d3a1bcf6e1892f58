package cwgateway_test

import (
	"fmt"
	"net/http"
	"testing"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwgateway"
	"carobward.example/carobward/internal/cwquota"
	"carobward.example/carobward/internal/cwstand"
	"carobward.example/carobward/internal/cwtest"
)

// TestQuota sends the requests of one team by way of several entry VMs. Together they let no
// more through than its quota has; the others are refused with when to come back, and another
// team's are served.
func TestQuota(t *testing.T) {
	const (
		vms   = 3
		burst = 12
		asked = 60
	)

	f := newFleet(t)
	u := f.upstream(t, "records", "i-1")
	f.teams([]cwstand.MetadataTeam{
		{Name: "club", Keys: []string{clubKey}, Rate: 0.01, Burst: burst}, {Name: "pilots", Keys: []string{pilotKey}},
	}, safe("records"))

	var all []*vm

	for i := range vms {
		v := f.start(t, fmt.Sprint("vm-", i), func(o *cwgateway.Options) {
			o.Quota = cwquota.Bounds{}
			o.Regions = map[carobward.Domain]carobward.Region{"a": "r"}
		})
		v.waitReady(t)
		all = append(all, v)
	}

	cwtest.Wait(t, "a token", func() bool { return all[0].askAs(reading, "first", bearer(clubKey)).status == http.StatusOK })

	ends := map[int]int{}

	for i := range asked {
		got := all[i%vms].askAs(reading, fmt.Sprint("one-", i), bearer(clubKey))
		ends[got.status]++

		if got.status == http.StatusTooManyRequests && got.header.Get("Retry-After") == "" {
			t.Errorf("%v", got.header)
		}
	}

	if n := len(u.Runs()); n > burst || ends[http.StatusTooManyRequests] < asked-burst {
		t.Errorf("%d runs, ends %v", n, ends)
	}

	if got := all[1].askAs(reading, "free", bearer(pilotKey)); got.status != http.StatusOK {
		t.Errorf("%+v", got)
	}
}
