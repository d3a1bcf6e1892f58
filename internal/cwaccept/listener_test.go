package cwaccept

import (
	"net"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/go-logr/logr"
	"github.com/juju/errors"

	"carobward.example/carobward/internal/cwtest"
)

// failing is a listener whose first calls of Accept fail.
type failing struct {
	net.Listener

	errs []error
}

// Accept implements net.Listener.
func (f *failing) Accept() (net.Conn, error) {
	if len(f.errs) == 0 {
		return f.Listener.Accept()
	}

	err := f.errs[0]
	f.errs = f.errs[1:]

	return nil, &net.OpError{Op: "accept", Err: err}
}

// TestAccept guards against a listener that ends because of an error that passes, and against one that
// goes on although it is closed.
func TestAccept(t *testing.T) {
	other := errors.ConstError("closed by another")

	for name, c := range map[string]struct {
		errs   []error
		want   error
		failed int64
	}{
		"no error":       {nil, nil, 0},
		"descriptors":    {[]error{syscall.EMFILE, syscall.ENFILE, syscall.EMFILE}, nil, 3},
		"memory":         {[]error{syscall.ENOBUFS, syscall.ENOMEM}, nil, 2},
		"a caller":       {[]error{syscall.ECONNABORTED}, nil, 1},
		"the listener's": {[]error{syscall.EMFILE, other}, other, 1},
	} {
		t.Run(name, func(t *testing.T) {
			ln := cwtest.Listen(t)

			conn, err := net.Dial("tcp", ln.Addr().String())
			if err != nil {
				t.Fatal(err)
			}

			defer func() { _ = conn.Close() }()

			var failed atomic.Int64

			l := New(&failing{ln, c.errs}, "callers", &failed, logr.Discard())

			got, err := l.Accept()
			if !errors.Is(err, c.want) || (got == nil) != (c.want != nil) || failed.Load() != c.failed {
				t.Errorf("connection %v, %v, %d errors waited out", got, err, failed.Load())
			}

			_ = l.Close()

			if _, err := l.Accept(); err == nil {
				t.Error("a closed listener accepts")
			}
		})
	}
}
