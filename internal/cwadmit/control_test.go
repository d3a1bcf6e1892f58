package cwadmit

import (
	"fmt"
	"testing"
	"time"

	"carobward.example/carobward"
)

var begin = time.Unix(1000, 0)

// known returns the load of a failure domain of ten entry VMs, with that much demand by rank.
func known(completed, full carobward.Rate, demand ...carobward.Rate) []carobward.DomainLoad {
	d := carobward.DomainLoad{Domain: "a", At: begin, VMs: 10}
	copy(d.Demand[:], demand)
	d.Completed, d.Full = completed, full

	return []carobward.DomainLoad{d}
}

// own is the load of one of those entry VMs.
func own(list []carobward.DomainLoad) *carobward.ServiceLoad {
	l := list[0].ServiceLoad
	for i := range l.Demand {
		l.Demand[i] /= 10
	}

	return &l
}

// observed returns a control that has seen a load.
func observed(list []carobward.DomainLoad) *Control {
	c := &Control{}
	c.Observe(list, own(list), begin.Add(-settleTime))
	c.Observe(list, own(list), begin)

	return c
}

// TestAdmit checks which requests are admitted.
func TestAdmit(t *testing.T) {
	short := known(100, 80, 30, 90, 80)

	for name, c := range map[string]struct {
		load    []carobward.DomainLoad
		request Request
		want    bool
	}{
		"nothing known":                    {nil, Request{Rank: 2, Draw: 0.99}, true},
		"room for all":                     {known(100, 10, 30, 40, 30), Request{Rank: 2, Draw: 0.99}, true},
		"servers without a free slot":      {known(200, 150, 30, 90, 80), Request{Rank: 2, Draw: 0.99}, true},
		"a sudden rise, room for it":       {known(100, 10, 60, 80, 60), Request{Rank: 2, Draw: 0.99}, true},
		"short, the most urgent":           {short, Request{Rank: 0, Draw: 0.99}, true},
		"short, partly":                    {short, Request{Rank: 1, Draw: 0.8}, true},
		"short, beyond its part":           {short, Request{Rank: 1, Draw: 0.95}, false},
		"short, nothing left":              {short, Request{Rank: 2, Draw: 0.06}, false},
		"short, shows when there is room":  {short, Request{Rank: 2, Draw: 0.04}, true},
		"short, a rank beyond the last":    {short, Request{Rank: 9, Draw: 0.99}, false},
		"short, came back when told":       {short, Request{Rank: 1, Draw: 0.99, Returned: true, Timely: true}, true},
		"short, came back without room":    {short, Request{Rank: 2, Draw: 0.99, Returned: true, Timely: true}, false},
		"short, came back late":            {short, Request{Rank: 0, Draw: 0.5, Returned: true}, false},
		"slow servers, not late by itself": {short, Request{Rank: 0, Draw: 0.5}, true},
	} {
		t.Run(name, func(t *testing.T) {
			ctl := &Control{}
			if c.load != nil {
				ctl = observed(c.load)
			}

			if got := ctl.Admit(c.request, begin); got != c.want {
				t.Errorf("admitted: %v", got)
			}
		})
	}
}

// TestDraw checks that a caller who comes back at once gets the same number, that one who waits
// gets another, and that the numbers are spread evenly.
func TestDraw(t *testing.T) {
	const earliest = 80 * time.Millisecond

	same, again, sum := 0, 0, 0.0

	const count = 4000

	for i := range count {
		id := carobward.RequestID(fmt.Sprint("request-", i))
		first := Draw(id, earliest, begin)
		sum += first

		if first < 0 || first >= 1 {
			t.Fatalf("got %f", first)
		}

		if Draw(id, earliest, begin.Add(earliest/10)) == first {
			same++
		}

		if Draw(id, earliest, begin.Add(earliest)) == first {
			again++
		}
	}

	if same < count*85/100 || same == count || again > 0 {
		t.Errorf("%d of %d have the same number at once after, %d when told", same, count, again)
	}

	if mean := sum / count; mean < 0.48 || mean > 0.52 {
		t.Errorf("the numbers have a mean of %.3f", mean)
	}
}

// TestOwnRoom checks that an entry VM whose own requests find room refuses none, whatever the
// others tell, and that one without room soon does.
func TestOwnRoom(t *testing.T) {
	c := observed(known(1, 1e6, 0, 0, 1e6))
	request := Request{Rank: 2, Draw: 0.99}

	for i := range roomSamples {
		if c.Admit(request, begin) {
			t.Errorf("admitted after %d requests that found room", i)
		}

		c.Checked(true, begin)
	}

	if !c.Admit(request, begin) || c.Admit(request, begin.Add(roomTime)) {
		t.Error("refused although the last requests found room, or not once that is long ago")
	}

	c.Checked(false, begin)

	if c.Admit(request, begin) {
		t.Error("admitted although the last request found no room")
	}
}

// TestLimit checks that a threshold goes away with the lack of room, and at once if nobody is
// heard.
func TestLimit(t *testing.T) {
	c := observed(known(100, 80, 30, 90, 80))
	room := known(100, 0, 30, 60, 40)

	for i := range 20 {
		c.Observe(room, own(room), begin.Add(time.Duration(i)*observeInterval))
	}

	if c.Short() {
		t.Errorf("the limit is still %.1f after two seconds with room", c.limit)
	}

	c = observed(known(100, 80, 30, 90, 80))
	c.Observe(nil, &carobward.ServiceLoad{}, begin.Add(observeInterval))

	if c.Short() {
		t.Error("a threshold is in force at an entry VM on its own")
	}
}

// TestSettle checks that a new entry VM admits all.
func TestSettle(t *testing.T) {
	c, load := &Control{}, known(100, 80, 30, 90, 80)

	for at := begin; at.Before(begin.Add(settleTime)); at = at.Add(observeInterval) {
		c.Observe(load, own(load), at)

		if !c.Admit(Request{Rank: 2, Draw: 0.99}, at) {
			t.Fatalf("refused %s after the start", at.Sub(begin))
		}
	}
}

// TestRetryAfter checks that refused callers come back one after the other at the pace of the
// room that their rank has, and as late as they wait if that is too late.
func TestRetryAfter(t *testing.T) {
	load := known(100, 80, 30, 90, 80) // 80 a second for rank 1, half of it for returns, a tenth here.
	c := observed(load)
	when := Return{Earliest: 50 * time.Millisecond, Last: 600 * time.Millisecond, Wait: 3 * time.Second}

	var told []time.Duration
	for range 4 {
		told = append(told, c.RetryAfter(Request{Rank: 1}, when, begin))
	}

	for i, want := range []time.Duration{50, 300, 550, 1000} {
		if got := told[i].Milliseconds(); got < int64(want)-1 || got > int64(want)+1 {
			t.Errorf("caller %d is told to come back after %s", i, told[i])
		}
	}

	if got := c.RetryAfter(Request{Rank: 2}, when, begin); got != time.Second {
		t.Errorf("a caller without room is told to come back after %s", got)
	}

	if got := c.RetryAfter(Request{Rank: 1, Returned: true}, when, begin); got != time.Second {
		t.Errorf("a late caller is told to come back after %s", got)
	}
}
