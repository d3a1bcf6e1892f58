package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["refusal"] = refusal }

// Bursts of the disruption: each lasts as long as the pages' longest one of this kind, on as
// many of the servers, for as many of their answers.
const (
	burstFirst  = 5 * time.Second
	burstLength = 5 * time.Second
	burstPeriod = 8 * time.Second
	bursts      = 12

	doublingServers = 1
	doubledShare    = 0.03
)

// refusal has servers that are sometimes full and refuse requests. During the disruption 3 of
// 100 answers of some servers are sent twice, the second time some hundred milliseconds later.
func refusal(rec *record) (verdict, error) {
	const (
		vms     = 2
		callers = 22
		servers = 2
		length  = burstFirst + bursts*burstPeriod
	)

	s, err := newSite(rec, vms, func(s *site) error {
		s.store.put("op/config", configuration(1, []string{"billing"}, route{
			Name: "charge", Prefix: "/charge/", Kind: "unsafe", Timeout: "2000ms", Latency: "800ms", Service: "billing", MaxAttempts: 2,
		}))

		for i := range servers {
			u, err := newUpstream(rec, s.ip(4, i+1), fmt.Sprintf("i-billing-%d", i+1), "billing", 6, 1)
			if err != nil {
				return err
			}

			u.work = func(string) time.Duration { return time.Duration(120+rand.IntN(160)) * time.Millisecond }

			if i < doublingServers && trouble() {
				u.extra = newExtra(rec)
			}

			s.store.put("servers/"+u.id, entry(u, "ready"))
		}

		return nil
	})
	defer s.close()

	if err != nil {
		return verdict{}, err
	}

	rec.restart()

	var group sync.WaitGroup

	end := time.Now().Add(length)

	for i := range callers {
		c := &caller{name: fmt.Sprintf("caller-%d", i+1), to: s.vms[i%vms].front(), record: rec}

		group.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				c.do(http.MethodPost, fmt.Sprintf("/charge/%d", n), 2*time.Second, []byte("charge"))
				time.Sleep(time.Duration(rand.IntN(250)) * time.Millisecond)
			}

			c.close()
		})
	}

	group.Wait()

	return judgeOnce(rec), nil
}

// newExtra returns which answers of a server are sent twice: refusals, as long as they are no
// more than the share of its answers in that burst.
func newExtra(rec *record) func(bool) (time.Duration, bool) {
	var (
		mutex         sync.Mutex
		burst         = -1
		answers, twos int
	)

	return func(isRefusal bool) (time.Duration, bool) {
		mutex.Lock()
		defer mutex.Unlock()

		at := rec.age() - burstFirst
		if at < 0 || at%burstPeriod >= burstLength {
			return 0, false
		}

		if now := int(at / burstPeriod); now != burst {
			burst, answers, twos = now, 0, 0
		}

		answers++

		if !isRefusal || float64(twos+1) > doubledShare*float64(answers) {
			return 0, false
		}

		twos++

		return time.Duration(150+rand.IntN(150)) * time.Millisecond, true
	}
}

// judgeOnce judges TWICE and REFUSED.
func judgeOnce(rec *record) verdict {
	runs := map[string]int{}
	for _, l := range rec.of("runs") {
		runs[l.id]++
	}

	twice, refused := 0, 0

	for _, n := range runs {
		if n > 1 {
			twice++
		}
	}

	for _, l := range rec.of("answered") {
		promise := strings.HasPrefix(l.value, "503") || strings.HasPrefix(l.value, "429") || strings.HasPrefix(l.value, "408") || strings.HasPrefix(l.value, "421")
		if promise && runs[l.id] > 0 {
			refused++
		}
	}

	return verdict{
		broken: twice+refused > 0,
		text: fmt.Sprintf("of %d requests that ran, %d ran more than once, and %d were answered by a status that promises they have not run; %d refusals, %d second copies",
			len(runs), twice, refused, len(rec.of("refused")), len(rec.of("second copy is sent later"))),
	}
}
