package cwtarget

import (
	"strings"

	"github.com/juju/errors"

	"carobward.example/carobward"
)

// ErrNone tells that a request belongs to no target.
const ErrNone = errors.ConstError("no target matches this request")

// Table finds the target of a request: a tree of path segments a host, so
// that the cost grows with the path and not with the number of targets. It
// does not change once made.
type Table struct {
	byName map[carobward.TargetName]*carobward.Target
	byHost map[string]*node
}

// node is one segment of the targets' paths.
type node struct {
	// spelled is the segment with its capitals; the tree's keys are folded.
	spelled string
	below   map[string]*node
	// methods has the targets whose path ends here; any has the one that
	// takes each method.
	methods map[string]*carobward.Target
	any     *carobward.Target
}

// NewTable returns the table of the given targets, which must be valid.
func NewTable(targets []carobward.Target) *Table {
	t := &Table{
		byName: make(map[carobward.TargetName]*carobward.Target, len(targets)),
		byHost: map[string]*node{},
	}

	for i := range targets {
		target := &targets[i]
		t.byName[target.Name] = target

		for _, m := range target.Match {
			t.add(target, m)
		}
	}

	return t
}

func (t *Table) add(target *carobward.Target, m carobward.Match) {
	host := hostOf(target.Host)

	n := t.byHost[host]
	if n == nil {
		n = &node{}
		t.byHost[host] = n
	}

	for rest := strings.TrimSuffix(m.Path, "/"); rest != ""; {
		segment, left, err := nextSegment(rest)
		if err != nil {
			return
		}

		n, rest = n.child(segment), left
	}

	if m.Method == "" {
		n.any = target

		return
	}

	if n.methods == nil {
		n.methods = map[string]*carobward.Target{}
	}

	n.methods[m.Method] = target
}

// child returns the node of a segment below n; it makes one if need be.
func (n *node) child(segment string) *node {
	key := fold(segment)

	if n.below[key] == nil {
		if n.below == nil {
			n.below = map[string]*node{}
		}

		n.below[key] = &node{spelled: segment}
	}

	return n.below[key]
}

// ByName returns the target of that name, or nil.
func (t *Table) ByName(name carobward.TargetName) *carobward.Target { return t.byName[name] }

// Find returns the target that a request belongs to. A target of the
// request's host goes before one of any host; then the longest path wins,
// then a match that names the method. The uri is the request target as the
// caller sent it, RFC 9112, 3.2, not a path that a library has cleaned
// already: a path that can be read in several ways is refused. The error is
// one of this package's constants.
func (t *Table) Find(host, method, uri string) (*carobward.Target, error) {
	path := pathOf(uri)

	switch {
	case !isMethod(method):
		return nil, ErrMethod
	case !isHost(host):
		return nil, ErrHost
	case !strings.HasPrefix(path, "/"):
		return nil, ErrForm
	case strings.IndexByte(uri, '#') >= 0:
		return nil, ErrByte
	}

	own, shared := t.byHost[hostOf(host)], t.byHost[""]
	if own == shared {
		own = nil
	}

	w := walk{method: method, own: own, shared: shared}
	if err := w.run(path); err != nil {
		return nil, err
	}

	return w.found()
}

// walk goes down the trees of the request's host and of any host at once.
type walk struct {
	method      string
	own, shared *node
	byOwn, any  *carobward.Target
	otherCase   bool
}

// run checks each segment of the path, also those below all targets.
func (w *walk) run(path string) error {
	w.note()

	for count := 0; path != ""; count++ {
		if count == segmentsMost {
			return ErrDeep
		}

		segment, rest, err := nextSegment(path)
		if err != nil {
			return err
		}

		if segment != "" && (w.own != nil || w.shared != nil) {
			w.step(segment)
		}

		path = rest
	}

	return nil
}

func (w *walk) step(segment string) {
	key := fold(segment)
	w.own = w.down(w.own, key, segment)
	w.shared = w.down(w.shared, key, segment)
	w.note()
}

func (w *walk) down(n *node, key, segment string) *node {
	if n == nil {
		return nil
	}

	n = n.below[key]
	if n != nil && n.spelled != segment {
		w.otherCase = true
	}

	return n
}

// note remembers the targets that match so far; a longer path replaces them.
func (w *walk) note() {
	if t := w.own.target(w.method); t != nil {
		w.byOwn = t
	}

	if t := w.shared.target(w.method); t != nil {
		w.any = t
	}
}

func (n *node) target(method string) *carobward.Target {
	if n == nil {
		return nil
	}

	if t := n.methods[method]; t != nil {
		return t
	}

	return n.any
}

func (w *walk) found() (*carobward.Target, error) {
	switch {
	case w.otherCase:
		return nil, ErrCase
	case w.byOwn != nil:
		return w.byOwn, nil
	case w.any != nil:
		return w.any, nil
	default:
		return nil, ErrNone
	}
}
