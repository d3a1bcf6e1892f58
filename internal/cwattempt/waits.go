// Package cwattempt tells callers that have just begun from those that come back
// after a refusal or a lost connection. Nothing on a request says so; but callers
// say how long they still wait, and one that comes back has used a part of that.
package cwattempt

import (
	"slices"
	"time"
)

// The figures of what is learned of a route's callers.
const (
	// recent is how many callers are remembered: some seconds of one entry VM's
	// requests, enough for quantiles and few enough to follow a change.
	recent = 64
	// enough is how many are needed to say how far the waits of first attempts
	// lie apart.
	enough = 8
	// highest and middle are the quantiles of the waits that are looked at.
	// Callers that come back are fewer than half of all, so that both are first
	// attempts.
	highest = 0.95
	middle  = 0.5
	// widen is how much further below the highest the least wait of a first
	// attempt is than the middle, where first attempts are spread evenly.
	widen = highest / (highest - middle)
	// spreadFirst is how far waits of first attempts lie apart as a part of the
	// highest, until enough have been seen. spreadMost bounds what is learned:
	// after a loss of all entry VMs most callers are some that come back.
	spreadFirst = 0.2
	spreadMost  = 0.33
	// slack is the part of a wait that the way to us may have taken.
	slack = 0.02
)

// Waits is what the callers of one route said lately. It is not safe for use by
// several goroutines.
type Waits struct {
	list []time.Duration
	next int
	// most and least bound what a first attempt waits.
	most, least time.Duration
}

// Add takes how long a caller still waits.
func (w *Waits) Add(left time.Duration) {
	if len(w.list) < recent {
		w.list = append(w.list, left)
	} else {
		w.list[w.next] = left
	}

	w.next = (w.next + 1) % recent
	w.learn()
}

func (w *Waits) learn() {
	sorted := slices.Clone(w.list)
	slices.Sort(sorted)

	at := func(q float64) time.Duration { return sorted[int(q*float64(len(sorted)-1)+0.5)] }
	w.most = at(highest)
	spread := spreadFirst * float64(w.most)

	if len(sorted) >= enough {
		spread = min(spreadMost*float64(w.most), widen*float64(w.most-at(middle)))
	}

	w.least = w.most - time.Duration(spread+slack*float64(w.most))
}

// Age returns how long ago the first attempt of a caller was that still waits for
// so long: zero where this is probably the first.
//
// The share of a route's first attempts that are taken for later ones falls from
// two in three to under one in ten where callers wait for 0.85 to 1 of two
// seconds, against a fixed bound at 0.95 of the longest wait.
func (w *Waits) Age(left time.Duration) time.Duration {
	if left >= w.least {
		return 0
	}

	return max(0, (w.most+w.least)/2-left)
}
