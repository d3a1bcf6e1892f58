package cwbench

import "time"

// event is a function to run at a simulated time.
type event struct {
	at    time.Duration
	order uint64
	run   func()
}

func (e *event) before(f *event) bool {
	return e.at < f.at || e.at == f.at && e.order < f.order
}

// timeline is a heap of events. Events at the same time run in the order in which
// they were added, which makes runs repeatable.
type timeline struct {
	now   time.Duration
	added uint64
	heap  []event
}

// after adds an event that runs after a delay.
func (t *timeline) after(delay time.Duration, run func()) { t.add(t.now+delay, run) }

func (t *timeline) add(at time.Duration, run func()) {
	t.added++
	t.heap = append(t.heap, event{at, t.added, run})

	for i := len(t.heap) - 1; i > 0; {
		parent := (i - 1) / 2
		if !t.heap[i].before(&t.heap[parent]) {
			return
		}

		t.heap[i], t.heap[parent] = t.heap[parent], t.heap[i]
		i = parent
	}
}

// next runs the earliest event. It returns false if there is none.
func (t *timeline) next() bool {
	if len(t.heap) == 0 {
		return false
	}

	first := t.heap[0]
	last := len(t.heap) - 1
	t.heap[0] = t.heap[last]
	t.heap[last] = event{}
	t.heap = t.heap[:last]
	t.sink()

	t.now = first.at
	first.run()

	return true
}

// sink moves the event at the top down to its place in the heap.
func (t *timeline) sink() {
	for i := 0; ; {
		least := i

		for child := 2*i + 1; child <= 2*i+2 && child < len(t.heap); child++ {
			if t.heap[child].before(&t.heap[least]) {
				least = child
			}
		}

		if least == i {
			return
		}

		t.heap[i], t.heap[least] = t.heap[least], t.heap[i]
		i = least
	}
}
