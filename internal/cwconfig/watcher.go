package cwconfig

import (
	"context"
	"time"

	"github.com/go-logr/logr"

	"carobward.example/carobward"
)

// watchRetry is the pause after a failed watch.
const watchRetry = 500 * time.Millisecond

// Watcher takes the configuration from the store as it changes.
type Watcher struct {
	store  carobward.Store
	holder *Holder
	log    logr.Logger
	done   chan struct{}
}

// NewWatcher returns a watcher that puts what it sees in force.
func NewWatcher(store carobward.Store, holder *Holder, log logr.Logger) *Watcher {
	return &Watcher{store: store, holder: holder, log: log.WithName("config"), done: make(chan struct{})}
}

// Done is closed once Run has returned.
func (w *Watcher) Done() <-chan struct{} { return w.done }

// Run watches until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	defer close(w.done)

	var next carobward.StoreIndex

	for ctx.Err() == nil {
		entry, err := w.watch(ctx, next)
		if err != nil {
			w.pause(ctx, err)

			continue
		}

		next = entry.Next
		w.take(entry)
	}
}

func (w *Watcher) watch(ctx context.Context, next carobward.StoreIndex) (carobward.Entry, error) {
	if next == 0 {
		return w.store.Get(ctx, Key)
	}

	return w.store.Watch(ctx, Key, next)
}

func (w *Watcher) take(entry carobward.Entry) {
	config, err := Decode(entry.Value)
	if err != nil {
		w.log.Error(err, "The store's value can't be read.")

		return
	}

	if w.holder.Adopt(config) {
		w.log.Info("New configuration in force.", "revision", config.Revision)
	}
}

func (w *Watcher) pause(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}

	w.log.Info("The store did not answer.", "cause", err.Error())

	select {
	case <-ctx.Done():
	case <-time.After(watchRetry):
	}
}
