// Package cwtest has the helpers that tests share.
package cwtest

import (
	"bytes"
	"context"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"carobward.example/carobward"
)

// The bounds of waiting in tests. They are long, since a loaded machine may
// be slow; a condition ends the waiting.
const (
	WaitMost = 30 * time.Second
	poll     = 10 * time.Millisecond
)

// Wait waits until ok returns true, and fails the test if it does not.
func Wait(t testing.TB, what string, ok func() bool) {
	t.Helper()

	for end := time.Now().Add(WaitMost); !ok(); {
		if time.Now().After(end) {
			t.Fatalf("waited in vain: %s", what)
		}

		<-time.After(poll)
	}
}

// Build compiles the command at a path below the module's root, such as
// cmd/carobward, and returns the program's path.
func Build(t testing.TB, command string) string {
	t.Helper()

	to := filepath.Join(t.TempDir(), filepath.Base(command))

	out, err := exec.Command("go", "build", "-o", to, "carobward.example/carobward/"+command).CombinedOutput()
	if err != nil {
		t.Fatalf("build %s: %v\n%s", command, err, out)
	}

	return to
}

// Process is a separate process that a test started.
type Process struct {
	command *exec.Cmd
	output  *buffer
	exited  chan struct{}
	err     error
}

// buffer collects output that may be read meanwhile.
type buffer struct {
	mutex sync.Mutex
	bytes bytes.Buffer
}

func (b *buffer) Write(p []byte) (int, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()

	return b.bytes.Write(p)
}

func (b *buffer) String() string {
	b.mutex.Lock()
	defer b.mutex.Unlock()

	return b.bytes.String()
}

// Start starts a process that is killed when the test ends.
func Start(t testing.TB, program string, args ...string) *Process {
	t.Helper()

	return StartWith(t, nil, program, args...)
}

// StartWith starts a process with more variables in its environment. It is
// killed when the test ends.
func StartWith(t testing.TB, environment []string, program string, args ...string) *Process {
	t.Helper()

	p := &Process{command: exec.Command(program, args...), output: &buffer{}, exited: make(chan struct{})}
	p.command.Env = append(os.Environ(), environment...)
	p.command.Stdout = p.output
	p.command.Stderr = p.output

	if err := p.command.Start(); err != nil {
		t.Fatalf("start %s: %v", program, err)
	}

	go func() {
		p.err = p.command.Wait()
		close(p.exited)
	}()

	t.Cleanup(func() {
		_ = p.command.Process.Kill()
		<-p.exited

		if t.Failed() {
			t.Logf("output of %s %v:\n%s", filepath.Base(program), args, p.output)
		}
	})

	return p
}

// Signal sends a signal.
func (p *Process) Signal(t testing.TB, s syscall.Signal) {
	t.Helper()

	if err := p.command.Process.Signal(s); err != nil {
		t.Fatalf("signal: %v", err)
	}
}

// Wait returns how the process exited.
func (p *Process) Wait(t testing.TB) error {
	t.Helper()

	select {
	case <-p.exited:
		return p.err
	case <-time.After(WaitMost):
		t.Fatal("the process did not exit")

		return nil
	}
}

// Output returns what the process has printed so far.
func (p *Process) Output() string { return p.output.String() }

// ServeHTTP serves HTTP on loopback until the test ends.
func ServeHTTP(t testing.TB, h fasthttp.RequestHandler) carobward.Address {
	t.Helper()

	s := &fasthttp.Server{Handler: h, CloseOnShutdown: true}

	return Serve(t, s.Serve, s.Shutdown)
}

// Serve lets serve have a listener on loopback until the test ends; stop is
// called before the listener is closed.
func Serve(t testing.TB, serve func(net.Listener) error, stop func() error) carobward.Address {
	t.Helper()

	ln, done := Listen(t), make(chan struct{})

	go func() {
		defer close(done)

		_ = serve(ln)
	}()

	t.Cleanup(func() {
		_ = stop()
		_ = ln.Close()
		<-done
	})

	return carobward.Address(ln.Addr().String())
}

// Run runs a program to its end and returns its output and exit code.
func Run(t testing.TB, program string, args ...string) (string, int) {
	t.Helper()

	ctx, cancel := context.WithTimeout(context.Background(), WaitMost)
	defer cancel()

	command := exec.CommandContext(ctx, program, args...)
	out, err := command.CombinedOutput()

	if err != nil && command.ProcessState == nil {
		t.Fatalf("run %s: %v", program, err)
	}

	return string(out), command.ProcessState.ExitCode()
}

// File writes a file into the test's folder and returns its path.
func File(t testing.TB, name, text string) string {
	t.Helper()

	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}

	return path
}
