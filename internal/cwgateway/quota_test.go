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

// TestQuota sends requests of one team to several entry VMs. Together they let through no more
// than its quota and refuse the others with a Retry-After. Requests of another team are served.
func TestQuota(t *testing.T) {
	const (
		vms      = 3
		burst    = 12
		requests = 60
	)

	f := newFleet(t)
	u := f.upstream(t, "records", "i-1")
	f.configureTeams([]cwstand.MetadataTeam{
		{Name: "club", Keys: []string{clubKey}, Rate: 0.01, Burst: burst}, {Name: "pilots", Keys: []string{pilotKey}},
	}, safeRoute("records"))

	var all []*vm

	for i := range vms {
		v := f.start(t, fmt.Sprint("vm-", i), func(o *cwgateway.Options) {
			o.Quota = cwquota.Bounds{}
			o.Regions = map[carobward.Domain]carobward.Region{"a": "r"}
		})
		v.waitReady(t)
		all = append(all, v)
	}

	cwtest.Wait(t, "a token", func() bool { return all[0].sendWithFields(readPath, "first", bearer(clubKey)).status == http.StatusOK })

	statuses := map[int]int{}

	for i := range requests {
		got := all[i%vms].sendWithFields(readPath, fmt.Sprint("one-", i), bearer(clubKey))
		statuses[got.status]++

		if got.status == http.StatusTooManyRequests && got.header.Get("Retry-After") == "" {
			t.Errorf("a refusal has no Retry-After: header %v", got.header)
		}
	}

	if n := len(u.Runs()); n > burst || statuses[http.StatusTooManyRequests] < requests-burst {
		t.Errorf("%d runs, statuses %v", n, statuses)
	}

	if got := all[1].sendWithFields(readPath, "free", bearer(pilotKey)); got.status != http.StatusOK {
		t.Errorf("request of a team without a quota: %+v", got)
	}
}
