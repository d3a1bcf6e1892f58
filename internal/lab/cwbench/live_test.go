package cwbench

import (
	"context"
	"testing"
	"time"
)

func TestLiveRunsOverSockets(t *testing.T) {
	s := Atlas().withLoad(0.2)
	s.VMs, s.Servers, s.Work = 2, 3, 20*time.Millisecond
	s.Warm, s.Length, s.Timeout = 100*time.Millisecond, 300*time.Millisecond, 5*time.Second
	s.Once = 0.5

	tests := map[string]func(ctx context.Context) ([]*Result, error){
		"embedded fleet": func(ctx context.Context) ([]*Result, error) { return Live(ctx, s, LiveVariants()[2:], 1) },
		"separate processes": func(ctx context.Context) ([]*Result, error) {
			l := &liveRun{scenario: s, slice: time.Second, variants: 5}
			if err := l.start(ctx); err != nil {
				return nil, err
			}

			defer l.fleet.Close()

			return Attached(ctx, s, Processes{Lookup: l.lookup, Servers: l.servers}, AttachedVariants()[2:], 1)
		},
	}

	for name, run := range tests {
		t.Run(name, func(t *testing.T) {
			list, err := run(context.Background())
			if err != nil {
				t.Fatal(err)
			}

			for _, r := range list {
				if r.Total < 20 || r.Answered != r.Calls {
					t.Errorf("%s: %d of %d requests were answered, %d were sent including the warm-up; want all answered and at least 20 sent", r.Variant, r.Answered, r.Calls, r.Total)
				}

				if got := r.Servers.Ran; got < int64(r.Total) {
					t.Errorf("%s: the servers ran %d of %d requests", r.Variant, got, r.Total)
				}

				if r.Servers.ReportBytes == 0 {
					t.Errorf("%s: the servers counted no report bytes", r.Variant)
				}
			}
		})
	}
}

func TestAttachedWantsAddresses(t *testing.T) {
	if _, err := Attached(context.Background(), Atlas(), Processes{}, nil, 1); err == nil {
		t.Error("Attached without addresses returned no error")
	}
}
