package path

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwstand"
	"carobward.example/carobward/internal/cwtest"
)

// TestStopTakesNothingLate guards against work that a stopping entry VM begins although its stop ends
// before the reply: callers use kept connections all the while.
func TestStopTakesNothingLate(t *testing.T) {
	t.Parallel()

	const (
		work     = 1500 * time.Millisecond
		requests = 60
		interval = 100 * time.Millisecond
		slots    = 60
	)

	ln := cwtest.Listen(t)
	billing := cwstand.NewServer(ln, cwstand.ServerOptions{Slots: slots, Work: work})
	t.Cleanup(billing.Close)

	f := newStopFleet(t, `"stop": "6s"`, ln.Addr().String())
	v := f.VMs["vm-1"]

	charge := func(c *http.Client, id string) (status int, verdict string, err error) {
		req, err := http.NewRequest(http.MethodPost, "http://"+v.Callers+"/fees", nil)
		if err != nil {
			return 0, "", err
		}

		req.Header.Set(carobward.HeaderID, id)

		resp, err := c.Do(req)
		if err != nil {
			return 0, "", err
		}

		return resp.StatusCode, resp.Header.Get(carobward.HeaderVerdict), resp.Body.Close()
	}

	var group sync.WaitGroup

	clients := make([]*http.Client, requests)

	for i := range clients {
		clients[i] = &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}}
		t.Cleanup(clients[i].CloseIdleConnections)
		group.Go(func() {
			if status, verdict, err := charge(clients[i], fmt.Sprint("first-", i)); status != http.StatusOK {
				t.Errorf("before the stop: status %d, %s, %v", status, verdict, err)
			}
		})
	}

	group.Wait()
	v.Process.Signal(t, syscall.SIGTERM)

	var mutex sync.Mutex

	fates := map[string]int{}

	for i, c := range clients {
		group.Go(func() {
			<-time.After(time.Duration(i) * interval)

			status, verdict, err := charge(c, fmt.Sprint("late-", i))

			mutex.Lock()
			defer mutex.Unlock()

			switch {
			case err != nil:
				fates["not read"]++
			case verdict != carobward.Ran.String() && verdict != carobward.NotRun.String():
				t.Errorf("%s after the signal: status %d, %s", time.Duration(i)*interval, status, verdict)
			default:
				fates[verdict]++
			}
		})
	}

	group.Wait()

	if err := v.Process.Wait(t); err != nil {
		t.Errorf("the process ended with %v", err)
	}

	t.Logf("%d requests: %v", requests, fates)

	if ran := int(billing.Ran()) - requests; ran != fates[carobward.Ran.String()] {
		t.Errorf("%d fees ran, %d were confirmed", ran, fates[carobward.Ran.String()])
	}
}
