package cwowner_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwticket"
	"carobward.example/carobward/internal/lab/cwonce"
)

// BenchmarkDo measures what a ticket adds to a request: issued on arrival, sent by
// the caller, replayed, and forwarded to the owner without a network.
func BenchmarkDo(b *testing.B) {
	f := newFleet(b, 2, cwonce.UnlimitedOptions())
	o, other := f.owner(0), f.owner(1)

	prefix := o.Prefix()
	c := &carobward.Call{Method: "POST", URI: "/fees", Body: carobward.Body{make([]byte, 256)}, Deadline: time.Now().Add(time.Hour)}
	answer := &cwticket.Outcome{Reply: &carobward.Reply{Status: 200, Body: make([]byte, 256)}}
	work := func(ctx context.Context) (*cwticket.Outcome, error) { return answer, ctx.Err() }

	number := 0
	next := func() string {
		number++

		return fmt.Sprintf("%s.%d", prefix, number)
	}

	for name, do := range map[string]func() (*cwticket.Outcome, string, error){
		"issued on arrival": func() (*cwticket.Outcome, string, error) { return o.Do(context.Background(), "", "", c, work) },
		"sent by caller":    func() (*cwticket.Outcome, string, error) { return o.Do(context.Background(), next(), "", c, work) },
		"replayed":          func() (*cwticket.Outcome, string, error) { return o.Do(context.Background(), prefix+".1", "", c, work) },
		"forwarded":         func() (*cwticket.Outcome, string, error) { return other.Do(context.Background(), next(), "", c, work) },
	} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()

			for b.Loop() {
				if _, _, err := do(); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
