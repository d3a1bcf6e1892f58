package cwowner

import (
	"context"
	"fmt"
	"testing"
	"time"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwticket"
)

// roomy gives an owner more room than it will use.
func roomy(o *Owner) {
	o.pace = usual
	o.budget = cwticket.NewBudget(cwticket.Options{Horizon: time.Hour, Records: 1 << 40, Bytes: 1 << 50})
	o.own = cwticket.NewTable(cwticket.NewIssuer(o.self, o.secret, 0, time.Now()), o.budget)
}

// BenchmarkHandOver gives the time to hand a number of outcomes over, with
// answers of 256 bytes and without a network.
func BenchmarkHandOver(b *testing.B) {
	for _, count := range []int{1_000, 10_000, 100_000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			for b.Loop() {
				b.StopTimer()

				f := newFleet(b, 2)
				o := f.at(0).owner
				roomy(o)
				roomy(f.at(1).owner)

				c := &carobward.Call{Method: "POST", URI: "/fees", Deadline: time.Now().Add(time.Hour)}
				answer := &cwticket.Outcome{Reply: &carobward.Reply{Status: 200, Body: make([]byte, 256)}}

				for range count {
					_, _, _ = o.Do(context.Background(), "", "", c, func(ctx context.Context) (*cwticket.Outcome, error) { return answer, ctx.Err() })
				}

				b.StartTimer()

				if err := o.HandOver(context.Background()); err != nil {
					b.Fatal(err)
				}

				b.StopTimer()
				f.stop()
				b.StartTimer()
			}
		})
	}
}

// BenchmarkDo gives the cost of a ticket on the way of a request: issued on
// arrival, brought along, replayed, and passed on without a network.
func BenchmarkDo(b *testing.B) {
	f := newFleet(b, 2)
	defer f.stop()

	o, other := f.at(0).owner, f.at(1).owner
	o.pace, other.pace = usual, usual
	roomy(o)

	prefix := o.Prefix()
	c := &carobward.Call{Method: "POST", URI: "/fees", Body: make([]byte, 256), Deadline: time.Now().Add(time.Hour)}
	answer := &cwticket.Outcome{Reply: &carobward.Reply{Status: 200, Body: make([]byte, 256)}}
	work := func(ctx context.Context) (*cwticket.Outcome, error) { return answer, ctx.Err() }

	number := 0
	next := func() string {
		number++

		return fmt.Sprintf("%s.%d", prefix, number)
	}

	for name, one := range map[string]func() (*cwticket.Outcome, string, error){
		"issued on arrival": func() (*cwticket.Outcome, string, error) { return o.Do(context.Background(), "", "", c, work) },
		"brought along":     func() (*cwticket.Outcome, string, error) { return o.Do(context.Background(), next(), "", c, work) },
		"replayed":          func() (*cwticket.Outcome, string, error) { return o.Do(context.Background(), prefix+".1", "", c, work) },
		"passed on":         func() (*cwticket.Outcome, string, error) { return other.Do(context.Background(), next(), "", c, work) },
	} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()

			for b.Loop() {
				if _, _, err := one(); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
