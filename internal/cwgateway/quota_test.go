package cwgateway_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

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

// TestQuotaStatus verifies that an operator sees which team is beyond its quota, and what was
// granted and refused by class: the requests of the urgent route get the first class.
func TestQuotaStatus(t *testing.T) {
	f := newFleet(t)
	f.upstream(t, "records", "i-1")

	urgent, other := safeRoute("records"), safeRoute("records")
	urgent["priority"], other["priority"] = 1, 2
	other["prefix"] = "/other/"
	f.configureTeams([]cwstand.MetadataTeam{{Name: "club", Keys: []string{clubKey}, Rate: 0.01, Burst: 1}}, urgent, other)

	v := f.start(t, "vm-1", func(o *cwgateway.Options) {
		o.Quota = cwquota.Bounds{}
		o.Regions = map[carobward.Domain]carobward.Region{"a": "r"}
	})
	v.waitReady(t)

	cwtest.Wait(t, "a token", func() bool { return v.sendWithFields(readPath, "first", bearer(clubKey)).status == http.StatusOK })

	for i := range 3 {
		v.sendWithFields("/other/", fmt.Sprint("one-", i), bearer(clubKey))
	}

	var got struct {
		Quota struct {
			Beyond  []string
			Granted []int
			Refused []int
		}
	}

	if err := json.Unmarshal([]byte(get(v.options.Metrics, "/status").body), &got); err != nil {
		t.Fatal(err)
	}

	if diff := cmp.Diff([]string{"club"}, got.Quota.Beyond); diff != "" {
		t.Error(diff)
	}

	if granted, refused := got.Quota.Granted[0], got.Quota.Refused[1]; granted != 1 || refused != 3 {
		t.Errorf("%d tokens for the first class, %d refusals of the second", granted, refused)
	}

	if body := get(v.options.Metrics, "/").body; !strings.Contains(body, `"refused1": 3`) {
		t.Errorf("the metrics lack the refusals: %.300s", body)
	}
}
