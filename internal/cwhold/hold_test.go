package cwhold

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

const ms = time.Millisecond

// TestDecide checks what becomes of a request right after the start of an entry VM: it is
// held if its answer can be in time, refused at once with a time to retry otherwise, and never
// refused late while the start goes on.
func TestDecide(t *testing.T) {
	var (
		patient = Request{Waits: 3 * time.Second, Size: 500}
		hurried = Request{Waits: 1500 * ms, Size: 500}
		keyed   = Request{Keyed: true, Waits: 3 * time.Second, Objective: 600 * ms, Usual: 280 * ms, Size: 500}
		holding = func(r Request, passed time.Duration) Request {
			r.Holding, r.Passed = true, passed

			return r
		}
	)

	for name, c := range map[string]struct {
		request Request
		start   Start
		load    Load
		want    Decision
	}{
		"nothing missing":                         {patient, Start{Age: time.Hour, Configured: true}, Load{}, Decision{Action: Serve}},
		"no configuration, just started":          {patient, Start{}, Load{}, Decision{Wait, 200 * ms}},
		"no configuration, in a hurry":            {hurried, Start{Age: 5 * ms}, Load{}, Decision{Refuse, 100 * ms}},
		"no configuration, in a hurry, later":     {hurried, Start{Age: 100 * ms}, Load{}, Decision{Wait, 100 * ms}},
		"no configuration, in a great hurry":      {Request{Waits: 200 * ms}, Start{Age: 120 * ms}, Load{}, Decision{Refuse, 80 * ms}},
		"no configuration, wait not known":        {Request{}, Start{Age: 50 * ms}, Load{}, Decision{Wait, 150 * ms}},
		"no configuration, wait not known, early": {Request{}, Start{Age: 10 * ms}, Load{}, Decision{Refuse, 100 * ms}},
		"longer than usual":                       {hurried, Start{Age: 600 * ms}, Load{}, Decision{Wait, 50 * ms}},
		"too long":                                {patient, Start{Age: time.Second}, Load{}, Decision{Refuse, 50 * ms}},
		"held, too long":                          {holding(patient, 900*ms), Start{Age: time.Second}, Load{}, Decision{Refuse, 50 * ms}},
		"held, now served":                        {holding(patient, 900*ms), Start{Age: time.Second, Configured: true}, Load{}, Decision{Action: Serve}},
		"held, the caller gives up":               {holding(hurried, 1500*ms), Start{Age: 900 * ms}, Load{}, Decision{Refuse, 50 * ms}},
		"held beyond its time":                    {holding(hurried, 400*ms), Start{Age: 100 * ms}, Load{}, Decision{Wait, 100 * ms}},
		"full":                                    {patient, Start{}, Load{Requests: maxRequests}, Decision{Refuse, 100 * ms}},
		"full, held":                              {holding(patient, 100*ms), Start{Age: 100 * ms}, Load{Requests: maxRequests}, Decision{Wait, 100 * ms}},
		"memory":                                  {patient, Start{}, Load{Bytes: maxBytes - 499}, Decision{Refuse, 100 * ms}},
		"memory, just enough":                     {patient, Start{}, Load{Bytes: maxBytes - 500}, Decision{Wait, 200 * ms}},
		"keys missing, in time":                   {keyed, Start{Age: 200 * ms, Configured: true, Keys: 300 * ms}, Load{}, Decision{Wait, 300 * ms}},
		"keys missing, late":                      {keyed, Start{Age: 150 * ms, Configured: true, Keys: 350 * ms}, Load{}, Decision{Refuse, 350 * ms}},
		"keys missing, late, held":                {holding(keyed, 200*ms), Start{Age: 150 * ms, Configured: true, Keys: 350 * ms}, Load{}, Decision{Wait, 350 * ms}},
		"keys missing, no key needed":             {patient, Start{Age: 150 * ms, Configured: true, Keys: 350 * ms}, Load{}, Decision{Action: Serve}},
		"keys missing for too long":               {keyed, Start{Age: 2 * time.Second, Configured: true, Keys: 50 * ms}, Load{}, Decision{Refuse, 50 * ms}},
	} {
		t.Run(name, func(t *testing.T) {
			if diff := cmp.Diff(c.want, Decide(c.request, c.start, c.load)); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestNamesStarting checks when callers are told of entry VMs that are still starting.
func TestNamesStarting(t *testing.T) {
	for name, c := range map[string]struct {
		age             time.Duration
		ready, starting int
		want            bool
	}{
		"all start":                   {100 * ms, 0, 20, true},
		"few are ready":               {200 * ms, 3, 20, true},
		"most are ready":              {400 * ms, 20, 3, false},
		"alone in a running fleet":    {100 * ms, 20, 1, false},
		"nobody known yet":            {5 * ms, 0, 1, false},
		"a small failure domain":      {100 * ms, 0, 3, false},
		"some can't get ready":        {time.Second, 0, 20, false},
		"a small one, some are ready": {100 * ms, 1, 3, true},
	} {
		t.Run(name, func(t *testing.T) {
			if got := NamesStarting(c.age, c.ready, c.starting); got != c.want {
				t.Errorf("got %v", got)
			}
		})
	}
}
