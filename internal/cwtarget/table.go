package cwtarget

import (
	"strings"

	"github.com/juju/errors"

	"carobward.example/carobward"
)

// ErrNoTarget means that no target matches a request.
const ErrNoTarget = errors.ConstError("no target matches this request")

// Table finds the target of a request. It holds one tree of path segments for
// each host, so the cost of a lookup depends on the length of the path and
// not on the number of targets. It is immutable.
type Table struct {
	byName map[carobward.TargetName]*carobward.Target
	byHost map[string]*node
}

// node is one path segment in the tree of a host.
type node struct {
	// spelling is the segment as the target declares it. The keys of children
	// are case-folded.
	spelling string
	children map[string]*node
	// methods has the targets whose path ends at this node, by method.
	// anyMethod is the one whose match names no method.
	methods   map[string]*carobward.Target
	anyMethod *carobward.Target
}

// NewTable returns a table of the given targets, which must be valid.
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
		segment, remaining, err := nextSegment(rest)
		if err != nil {
			return
		}

		n, rest = n.child(segment), remaining
	}

	if m.Method == "" {
		n.anyMethod = target

		return
	}

	if n.methods == nil {
		n.methods = map[string]*carobward.Target{}
	}

	n.methods[m.Method] = target
}

// child returns the child of n for a segment and creates it if it does not
// exist.
func (n *node) child(segment string) *node {
	key := foldCase(segment)

	if n.children[key] == nil {
		if n.children == nil {
			n.children = map[string]*node{}
		}

		n.children[key] = &node{spelling: segment}
	}

	return n.children[key]
}

// ByName returns the target with the given name, or nil.
func (t *Table) ByName(name carobward.TargetName) *carobward.Target { return t.byName[name] }

// Find returns the target that matches a request. A target for the host of
// the request takes precedence over one for any host; then the longest path
// wins, then a match that names the method. The uri must be the request
// target as the caller sent it (RFC 9112, section 3.2), not normalized: a
// path that servers could interpret in several ways is rejected. The error is
// one of the constants of this package.
func (t *Table) Find(host, method, uri string) (*carobward.Target, error) {
	path := pathOf(uri)

	switch {
	case !isMethod(method):
		return nil, ErrMethod
	case !isHost(host):
		return nil, ErrHost
	case !strings.HasPrefix(path, "/"):
		return nil, ErrNotPath
	case strings.IndexByte(uri, '#') >= 0:
		return nil, ErrByte
	}

	ownHost, anyHost := t.byHost[hostOf(host)], t.byHost[""]
	if ownHost == anyHost {
		ownHost = nil
	}

	s := search{method: method, ownHost: ownHost, anyHost: anyHost}
	if err := s.run(path); err != nil {
		return nil, err
	}

	return s.result()
}

// search descends the trees of the request's host and of any host together.
// ownMatch and anyMatch are the longest matches so far.
type search struct {
	method             string
	ownHost, anyHost   *node
	ownMatch, anyMatch *carobward.Target
	caseDiffers        bool
}

// run validates every segment of the path, including those below the longest
// match.
func (s *search) run(path string) error {
	s.recordMatches()

	for count := 0; path != ""; count++ {
		if count == maxSegments {
			return ErrTooManySegments
		}

		segment, rest, err := nextSegment(path)
		if err != nil {
			return err
		}

		if segment != "" && (s.ownHost != nil || s.anyHost != nil) {
			s.descend(segment)
		}

		path = rest
	}

	return nil
}

func (s *search) descend(segment string) {
	key := foldCase(segment)
	s.ownHost = s.childOf(s.ownHost, key, segment)
	s.anyHost = s.childOf(s.anyHost, key, segment)
	s.recordMatches()
}

func (s *search) childOf(n *node, key, segment string) *node {
	if n == nil {
		return nil
	}

	n = n.children[key]
	if n != nil && n.spelling != segment {
		s.caseDiffers = true
	}

	return n
}

// recordMatches stores the targets that match up to the current nodes, in
// place of those of a shorter path.
func (s *search) recordMatches() {
	if t := s.ownHost.target(s.method); t != nil {
		s.ownMatch = t
	}

	if t := s.anyHost.target(s.method); t != nil {
		s.anyMatch = t
	}
}

func (n *node) target(method string) *carobward.Target {
	if n == nil {
		return nil
	}

	if t := n.methods[method]; t != nil {
		return t
	}

	return n.anyMethod
}

func (s *search) result() (*carobward.Target, error) {
	switch {
	case s.caseDiffers:
		return nil, ErrCase
	case s.ownMatch != nil:
		return s.ownMatch, nil
	case s.anyMatch != nil:
		return s.anyMatch, nil
	default:
		return nil, ErrNoTarget
	}
}
