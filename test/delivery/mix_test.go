package delivery

import (
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"testing"
	"time"

	"carobward.example/carobward/internal/cwstand"
)

var (
	mixSeeds = flag.Int("seeds", 2, "how many mixes are drawn")
	mixFirst = flag.Uint64("first", 1, "the seed of the first one")
)

// mixRows is how many rows a mix has.
const mixRows = 12

// oneOf draws one of several values.
func oneOf[T any](r *rand.Rand, values ...T) T { return values[r.IntN(len(values))] }

// drawRow draws a value for each thing that varies.
func drawRow(r *rand.Rand) row {
	return row{
		link: link{
			window: oneOf(r, 4<<10, 4<<10, 16<<10, 64<<10, 1<<20), rate: oneOf(r, 5, 20, 100) * mbit,
			delay: oneOf(r, 0, 0, 5*time.Millisecond, 50*time.Millisecond), pause: oneOf(r, 0, 0, 0, 500*time.Millisecond),
		},
		answer: answer{
			length: oneOf(r, 0, 1000, 30_000, 250_000), framing: oneOf(r, cwstand.FramedByLength, cwstand.FramedByChunks, cwstand.FramedByClose),
			stream: oneOf(r, 0, 0, 100*time.Millisecond),
		},
		method: oneOf(r, http.MethodGet, http.MethodPost), version: oneOf(r, "HTTP/1.1", "HTTP/1.1", "HTTP/1.0"),
		header: oneOf(r, "", "", "Connection: close\r\n"), body: oneOf(r, 0, 2000, 100_000), chunked: false,
		ahead: oneOf(r, 0, 1, 1, 3, 8), gap: oneOf(r, 0, work/2, work/2, work/2), pauses: oneOf(r, 0, 20*time.Millisecond, 200*time.Millisecond), lingers: oneOf(r, true, false),
	}
}

// TestAnswersCutInMix guards against answers that are cut in a drawn mix of everything that varies.
func TestAnswersCutInMix(t *testing.T) {
	for seed := *mixFirst; seed < *mixFirst+uint64(*mixSeeds); seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()

			r := rand.New(rand.NewPCG(seed, seed))
			beside := besides[oneOf(r, slices.Sorted(maps.Keys(besides))...)]
			stops := beside.stops

			if stops == nil {
				stops = []time.Duration{0}
			}

			p := newPlay(t, oneOf(r, 2*time.Second, grace), len(stops)+1, stops...)
			p.goes = oneOf(r, true, false)

			for i := range mixRows {
				x := drawRow(r)
				for x.need() > p.grace/2 { // Only few of its answers would come before the end.
					x = drawRow(r)
				}

				p.add(t, fmt.Sprint("row ", i), x, *callersPerRow)
			}

			p.run(t, func() {
				if beside.beside != nil {
					beside.beside(t, p)
				}
			})
			p.check(t)
		})
	}
}
