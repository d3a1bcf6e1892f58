package cwclose

import (
	"bytes"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/go-cmp/cmp"
	"github.com/juju/errors"

	"carobward.example/carobward/internal/cwsocket"
	"carobward.example/carobward/internal/cwtest"
)

// manyBytes is more than the operating system takes while the other side doesn't read.
const manyBytes = 8 << 20

// pair returns a connection of a closer and the other side of it, which has a small window.
func pair(t *testing.T, l *Closer) (*Conn, *net.TCPConn) {
	t.Helper()

	ours, theirs := cwtest.Pair(t)

	const window = 16 << 10
	if err := theirs.SetReadBuffer(window); err != nil {
		t.Fatal(err)
	}

	return l.wrap(ours), theirs
}

func newCloser(t *testing.T, most int) *Closer {
	t.Helper()

	l := New(Options{MaxConns: most, WriteStall: time.Minute, Log: logr.Discard()})
	l.quiet = time.Hour // What was written was written lately, however slow the test is.
	t.Cleanup(l.Close)

	return l
}

// awaitUnread waits until bytes lie unread on a connection.
func awaitUnread(t *testing.T, c net.Conn, most int) {
	t.Helper()

	cwtest.Wait(t, "the bytes to arrive", func() bool {
		n, err := cwsocket.Unread(c)

		return err == nil && int(n) == most
	})
}

// awaitUndelivered waits until the other side takes nothing more.
func awaitUndelivered(t *testing.T, c net.Conn) {
	t.Helper()

	// More than the other side's window holds.
	const full = 128 << 10

	cwtest.Wait(t, "bytes that are not delivered", func() bool {
		n, err := cwsocket.Undelivered(c)

		return err == nil && n > full
	})
}

// TestCloseDelivers guards against an answer that is cut because its connection is closed while the
// caller has sent more than was read.
func TestCloseDelivers(t *testing.T) {
	answer := bytes.Repeat([]byte("0123456789abcdef"), 1<<12)

	for name, c := range map[string]struct {
		// before is sent before the close, after behind it.
		before, after string
		// half reports that the caller closes its write side, too.
		half bool
	}{
		"nothing unread":              {},
		"a request sent ahead":        {before: "GET / HTTP/1.1\r\n\r\n"},
		"one that crosses the close":  {after: "GET / HTTP/1.1\r\n\r\n"},
		"the rest of a body":          {before: string(make([]byte, 1<<10)), after: string(make([]byte, 1<<20))},
		"a caller that half-closes":   {before: "GET / HTTP/1.1\r\n\r\n", half: true},
		"half-closed, nothing unread": {half: true},
	} {
		t.Run(name, func(t *testing.T) {
			closer := newCloser(t, 1)
			ours, theirs := pair(t, closer)

			if _, err := io.WriteString(theirs, c.before); err != nil {
				t.Fatal(err)
			}

			awaitUnread(t, ours, len(c.before))

			if c.half {
				if err := theirs.CloseWrite(); err != nil {
					t.Fatal(err)
				}
			}

			sent := make(chan error, 1)

			go func() {
				_, err := ours.Write(answer)
				sent <- errors.Annotate(err, "write")
				_ = ours.Close()

				if _, err := ours.Write(answer); !errors.Is(err, net.ErrClosed) {
					sent <- errors.Annotate(err, "a write behind the close")
				}

				close(sent)
			}()

			if _, err := io.WriteString(theirs, c.after); err != nil && c.after != "" {
				t.Fatal(err)
			}

			got, err := io.ReadAll(theirs)
			if err != nil || !cmp.Equal(answer, got) {
				t.Errorf("%d of %d bytes, %v", len(got), len(answer), err)
			}

			for err := range sent {
				if err != nil {
					t.Error(err)
				}
			}

			_ = theirs.Close()

			cwtest.Wait(t, "the connection to be closed", func() bool { return closer.Counts().Closing == 0 })

			if n := closer.Counts(); n.Cut != 0 {
				t.Errorf("%+v", n)
			}
		})
	}
}

// TestCloseWakesReader guards against a server that goes on reading from a connection that somebody
// else has closed.
func TestCloseWakesReader(t *testing.T) {
	for name, written := range map[string]int{"nothing was written": 0, "an answer was written": 1} {
		t.Run(name, func(t *testing.T) {
			ours, _ := pair(t, newCloser(t, 1))
			ended := make(chan error, 1)

			if _, err := ours.Write(make([]byte, written)); err != nil {
				t.Fatal(err)
			}

			go func() {
				_, err := ours.Read(make([]byte, 1))
				ended <- err
			}()

			_ = ours.Close()

			if err := <-ended; !errors.Is(err, net.ErrClosed) {
				t.Error(err)
			}

			if err := ours.SetReadDeadline(time.Now().Add(time.Hour)); !errors.Is(err, net.ErrClosed) {
				t.Error(err)
			}
		})
	}
}

// TestOwing guards against a stop that ends before a caller has its answer, and against one that waits for
// callers that have all they were promised.
func TestOwing(t *testing.T) {
	for name, c := range map[string]struct {
		written, read int
		closes        bool
		want          int
	}{
		"nothing was written":            {},
		"the caller doesn't read":        {written: manyBytes, want: 1},
		"it has read a part":             {written: manyBytes, read: 1 << 10, want: 1},
		"it has read all":                {written: 1 << 10, read: 1 << 10, want: 1},
		"it has read all and has closed": {written: 1 << 10, read: 1 << 10, closes: true},
	} {
		t.Run(name, func(t *testing.T) {
			closer := newCloser(t, 1)
			ours, theirs := pair(t, closer)

			wrote := make(chan struct{})

			go func() {
				defer close(wrote)

				_, _ = ours.Write(make([]byte, c.written)) // Ends with the test at the latest.
			}()

			if _, err := io.CopyN(io.Discard, theirs, int64(c.read)); err != nil {
				t.Fatal(err)
			}

			if c.written == manyBytes {
				awaitUndelivered(t, ours)
			} else {
				<-wrote
			}

			_ = ours.Close()

			if c.closes {
				_ = theirs.Close()
				cwtest.Wait(t, "the close", func() bool { return closer.Counts().Closing == 0 })
			}

			if n := closer.Counts().Owing; n != c.want {
				t.Errorf("%d connections owe something, want %d", n, c.want)
			}
		})
	}
}

// closeUndelivered closes a connection whose other side doesn't read.
func closeUndelivered(t *testing.T, l *Closer) {
	t.Helper()

	ours, _ := pair(t, l)

	go func() {
		_, _ = ours.Write(make([]byte, manyBytes)) // Is ended by the close.
	}()

	awaitUndelivered(t, ours)

	_ = ours.Close()
}

// closeDelivered closes a connection whose other side has all that was written.
func closeDelivered(t *testing.T, l *Closer) {
	t.Helper()

	ours, theirs := pair(t, l)
	if _, err := ours.Write(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}

	if _, err := theirs.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}

	cwtest.Wait(t, "the delivery", func() bool {
		n, err := cwsocket.Undelivered(ours)

		return err == nil && n == 0
	})

	_ = ours.Close()
}

// closeSettled closes a connection on which nothing was written.
func closeSettled(t *testing.T, l *Closer) {
	t.Helper()

	ours, _ := pair(t, l)
	_ = ours.Close()
}

// TestMaxClosing guards against closes that use up the descriptors, and against an answer that is cut for
// one that has been delivered: beyond the bound the one that owes least is closed at once.
func TestMaxClosing(t *testing.T) {
	type closeOne = func(*testing.T, *Closer)

	for name, c := range map[string]struct {
		most   int
		closes []closeOne
		want   Counts
		// undelivered is how many of those that are closing have something to deliver.
		undelivered int
	}{
		"settled ones":                   {1, []closeOne{closeSettled, closeSettled}, Counts{}, 0},
		"settled behind undelivered":     {1, []closeOne{closeUndelivered, closeSettled}, Counts{Closing: 1, MostClosing: 1, Owing: 1}, 1},
		"delivered behind undelivered":   {1, []closeOne{closeUndelivered, closeDelivered}, Counts{Closing: 1, MostClosing: 1, Owing: 1}, 1},
		"undelivered behind delivered":   {1, []closeOne{closeDelivered, closeUndelivered}, Counts{Closing: 1, MostClosing: 1, Owing: 1}, 1},
		"delivered among undelivered":    {2, []closeOne{closeUndelivered, closeDelivered, closeUndelivered}, Counts{Closing: 2, MostClosing: 2, Owing: 2}, 2},
		"undelivered ones, the oldest":   {1, []closeOne{closeUndelivered, closeUndelivered}, Counts{Closing: 1, MostClosing: 1, Owing: 1, Cut: 1}, 1},
		"none may be closing":            {0, []closeOne{closeUndelivered}, Counts{Cut: 1}, 0},
		"delivered, none may be closing": {0, []closeOne{closeDelivered}, Counts{}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			closer := newCloser(t, c.most)

			for _, f := range c.closes {
				f(t, closer)
			}

			cwtest.Wait(t, "the end of what is closed at once", func() bool { return closer.Counts().Cut == c.want.Cut })

			if diff := cmp.Diff(c.want, closer.Counts()); diff != "" {
				t.Error(diff)
			}

			if n := closer.undelivered(); n != c.undelivered {
				t.Errorf("%d of those that are closing have something to deliver, want %d", n, c.undelivered)
			}

			closer.Close()
			<-closer.Done()

			if n := closer.Counts(); n.Closing != 0 {
				t.Errorf("after the end: %+v", n)
			}
		})
	}
}

// undelivered returns how many of the connections that are closing have something to deliver.
func (l *Closer) undelivered() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	n := 0

	for _, d := range l.closing {
		if d.stage() == undelivered {
			n++
		}
	}

	return n
}

// TestReset guards against a stop that waits for a caller that has reset its connection.
func TestReset(t *testing.T) {
	for name, half := range map[string]bool{"at once": false, "behind a half-close": true} {
		t.Run(name, func(t *testing.T) {
			closer := newCloser(t, 1)
			ours, theirs := pair(t, closer)

			go func() {
				_, _ = ours.Write(make([]byte, manyBytes)) // Is ended by the close.
			}()

			awaitUndelivered(t, ours)

			_ = ours.Close()

			if half {
				if err := theirs.CloseWrite(); err != nil {
					t.Fatal(err)
				}
			}

			if err := theirs.SetLinger(0); err != nil {
				t.Fatal(err)
			}

			_ = theirs.Close()

			cwtest.Wait(t, "the end", func() bool { return closer.Counts().Closing == 0 })

			if n := closer.Counts().Cut; n != 0 {
				t.Errorf("%d cut by this side", n)
			}
		})
	}
}

// TestSlowReader guards against an answer that is cut because its caller takes it slowly.
func TestSlowReader(t *testing.T) {
	closer := New(Options{MaxConns: 1, WriteStall: time.Second, Log: logr.Discard()})
	t.Cleanup(closer.Close)

	ours, theirs := pair(t, closer)
	wrote := make(chan error, 1)

	go func() {
		_, err := ours.Write(make([]byte, manyBytes))
		wrote <- err
		_ = ours.Close()
	}()

	// Slower than a writer needs that waits for a part of its buffer to become free.
	const part, pause = 64 << 10, 50 * time.Millisecond

	read := int64(0)

	for read < manyBytes {
		<-time.After(pause)

		n, err := io.CopyN(io.Discard, theirs, part)
		read += n

		if err != nil {
			t.Fatalf("%d bytes, %v", read, err)
		}
	}

	if err := <-wrote; err != nil {
		t.Error(err)
	}
}

// TestWriteStall guards against a caller that never reads and holds its connection, and against one that
// reads slowly and gets only a part.
func TestWriteStall(t *testing.T) {
	closer := New(Options{MaxConns: 1, WriteStall: 100 * time.Millisecond, Log: logr.Discard()})
	defer closer.Close()

	ours, _ := pair(t, closer)
	if _, err := ours.Write(make([]byte, manyBytes)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Error(err)
	}

	_ = ours.Close()

	if n := closer.Counts(); n.Closing != 0 || n.Cut != 1 {
		t.Errorf("%+v", n)
	}
}
