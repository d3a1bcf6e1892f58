package cwconfig

import (
	"context"
	"testing"
	"time"

	"github.com/juju/errors"

	"carobward.example/carobward"
	"carobward.example/carobward/internal/cwtarget"
	"carobward.example/carobward/internal/cwtest"
)

// TestApplyStaysUnknown: a write whose reply was lost stays unknown while the
// store does not tell what became of it.
func TestApplyStaysUnknown(t *testing.T) {
	store := cwtest.NewStore()
	written := false
	store.Fault = func(write bool, _ carobward.Key) cwtest.StoreFault {
		switch {
		case write:
			written = true

			return cwtest.StoreLost
		case written:
			return cwtest.StoreDown
		default:
			return cwtest.StoreWell
		}
	}

	change := Change{ID: "one", Measure: &cwtarget.Measure{Calls: 1}}

	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()

	_, err := NewWriter(store, NewHolder()).Apply(ctx, change)
	if !errors.Is(err, carobward.ErrStoreUnknown) {
		t.Errorf("got %v, want unknown, since the write took effect", err)
	}
}
