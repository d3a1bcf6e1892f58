package cwreserve

import (
	"math"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"carobward.example/carobward"
)

var start = time.Date(2100, time.January, 1, 0, 0, 0, 0, time.UTC)

func TestClassOf(t *testing.T) {
	for name, c := range map[string]struct {
		rank   int
		timely bool
		want   Class
		late   bool
	}{
		"first":         {0, true, 0, false},
		"last":          {carobward.LoadRanks - 1, true, 3, false},
		"further":       {9, true, 3, false},
		"late":          {0, false, 4, true},
		"late, further": {9, false, Classes - 1, true},
		"negative":      {-1, true, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			got := ClassOf(c.rank, c.timely)

			if got != c.want || got.Late() != c.late {
				t.Errorf("class %d, late %v", got, got.Late())
			}
		})
	}
}

// take takes a token for a request of a class.
func (b *Bucket) take(c Class, now time.Time) bool {
	n, _ := b.Take(&Ask{Class: c, Want: 1}, now)

	return n > 0
}

// TestReserve verifies which classes a bucket has tokens for at which level, after requests of
// the first two classes and a refusal.
func TestReserve(t *testing.T) {
	for name, c := range map[string]struct {
		burst, level float64
		asked        []Class
		want         []Class
	}{
		"nobody goes first":            {10, 1, []Class{2}, []Class{0, 1, 2}},
		"first class asks":             {10, 1, []Class{0, 2}, []Class{0}},
		"first class, enough":          {10, 2.5, []Class{0, 2}, []Class{0, 1, 2}},
		"two classes ask":              {10, 2.5, []Class{0, 1, 2}, []Class{0, 1}},
		"late ones hold nothing":       {10, 1, []Class{4}, []Class{0, 1, 2, 3, 4, 5, 6, 7}},
		"late ones get what is left":   {10, 4.5, []Class{0, 1, 2}, []Class{0, 1, 2, 3, 4, 5, 6, 7}},
		"late ones get nothing before": {10, 3.9, []Class{0, 1, 2}, []Class{0, 1, 2}},
		"a few tokens":                 {3, 2, []Class{0, 1, 2}, []Class{0, 1}},
		"a few tokens, full":           {3, 3, []Class{0, 1, 2}, []Class{0, 1, 2, 3, 4, 5, 6, 7}},
		"one token":                    {1, 1, []Class{0, 1, 2}, []Class{0, 1, 2, 3, 4, 5, 6, 7}},
		"no token":                     {10, 0.9, []Class{0}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			var got []Class

			for i := range Class(Classes) {
				b := NewBucket(0, c.burst, 0, start)
				for _, a := range c.asked {
					b.take(a, start)
				}

				b.level = c.level

				if b.take(i, start) {
					got = append(got, i)
				}
			}

			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestReserveGivenFree verifies that tokens are no longer held back for a class that has
// stopped asking, nor at all some time after the last refusal.
func TestReserveGivenFree(t *testing.T) {
	b := NewBucket(0, 10, 0, start)
	b.take(0, start)
	b.level = 1

	if b.take(2, start) {
		t.Fatal("a token held back was granted")
	}

	later := start.Add(beyondTime + time.Millisecond)
	if b.Beyond(later) || !b.take(2, later) {
		t.Error("a token is held back a second after the last refusal")
	}

	b.take(2, later)
	b.level = 1

	if later = later.Add(5 * time.Second); !b.Beyond(later.Add(-5*time.Second)) || !b.take(2, later) {
		t.Error("a token is held back for a class that has stopped asking")
	}
}

// TestInAdvance verifies that tokens are granted in advance only while the bucket has enough
// for all.
func TestInAdvance(t *testing.T) {
	b := NewBucket(100, 10, 10, start)

	if n, _ := b.Take(&Ask{Want: 6}, start); n != 6 {
		t.Errorf("%d tokens of a full bucket", n)
	}

	if n, _ := b.Take(&Ask{Want: 6}, start); n != 4 {
		t.Errorf("%d tokens, all that are left expected", n)
	}

	b.take(0, start)

	if n, _ := b.Take(&Ask{Want: 6}, start.Add(90*time.Millisecond)); n != 1 {
		t.Errorf("%d tokens after a refusal", n)
	}
}

// TestMinShare lets an urgent class ask for several times what the bucket has. Each other
// class keeps its minimum.
func TestMinShare(t *testing.T) {
	const (
		rate  = 50
		steps = 6000
	)

	b := NewBucket(rate, 30, 0, start)
	got := map[Class]float64{}

	for i := range steps {
		now := start.Add(time.Duration(i) * time.Millisecond)

		for _, c := range []Class{0, 1, 2, 4} {
			if b.take(c, now) {
				got[c] += 1. / rate / (steps / 1000)
			}
		}
	}

	for c, want := range map[Class]float64{0: 1 - 2*MinShare, 1: MinShare, 2: MinShare, 4: 0} {
		if math.Abs(got[c]-want) > 0.02 {
			t.Errorf("class %d: share %.3f, want %.3f", c, got[c], want)
		}
	}
}

// TestWait verifies the waits predicted for refused requests.
func TestWait(t *testing.T) {
	second := Ask{Class: 1, Want: 1}

	for name, c := range map[string]struct {
		// asked are the requests of the classes within the last second.
		asked map[Class]int
		asks  []Ask
		want  []time.Duration
	}{
		"one after the other":        {nil, []Ask{second, second}, []time.Duration{100 * time.Millisecond, 200 * time.Millisecond}},
		"same request, second owner": {nil, []Ask{{Class: 1, Want: 1, Again: true}, second}, []time.Duration{100 * time.Millisecond, 100 * time.Millisecond}},
		"other failure domain":       {nil, []Ask{{Class: 1, Want: 1, Relayed: true}, second}, []time.Duration{100 * time.Millisecond, 100 * time.Millisecond}},
		"urgent ones take all":       {map[Class]int{0: 20}, []Ask{second}, []time.Duration{NoToken}},
		"own class takes all":        {map[Class]int{1: 20}, []Ask{second}, []time.Duration{NoToken}},
		"less urgent ones take none": {map[Class]int{2: 20}, []Ask{second}, []time.Duration{100 * time.Millisecond}},
	} {
		t.Run(name, func(t *testing.T) {
			b := NewBucket(10, 10, 0, start)
			for i, n := range c.asked {
				b.demand[i].add(n, start)
			}

			var got []time.Duration

			for _, a := range c.asks {
				_, wait := b.Take(&a, start)
				got = append(got, wait)
			}

			near := cmp.Comparer(func(a, b time.Duration) bool { return (a - b).Abs() < 20*time.Millisecond })
			if diff := cmp.Diff(c.want, got, near); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestBound verifies that a bucket never grants more than its rate and capacity allow, whatever
// is asked for.
func TestBound(t *testing.T) {
	const (
		rate  = 20
		burst = 7
	)

	b := NewBucket(rate, burst, burst, start)
	granted := 0

	for i := range 5000 {
		now := start.Add(time.Duration(i) * time.Millisecond)
		n, _ := b.Take(&Ask{Class: Class(i % Classes), Want: 1 + i%5}, now)
		granted += n

		if most := burst + rate*now.Sub(start).Seconds(); float64(granted) > most+tokenError {
			t.Fatalf("%d tokens after %s, %.1f allowed", granted, now.Sub(start), most)
		}
	}
}

// TestWaitOfSlowBucket verifies that a bucket whose next token takes longer than a Duration can
// express predicts none.
func TestWaitOfSlowBucket(t *testing.T) {
	for _, rate := range []float64{0, 1e-12, 1e-9} {
		b := NewBucket(rate, 1, 0, start)

		if n, wait := b.Take(&Ask{Want: 1}, start); n != 0 || wait != NoToken {
			t.Errorf("rate %g: %d tokens, wait %s", rate, n, wait)
		}
	}
}
