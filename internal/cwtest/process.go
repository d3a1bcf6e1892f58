// Package cwtest provides helpers shared by the tests of several packages.
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

// The timeout and the polling interval of Wait. The timeout is long because a
// loaded machine may be slow. Wait returns as soon as the condition is true.
const (
	MaxWait      = 30 * time.Second
	pollInterval = 10 * time.Millisecond
)

// Wait polls until ok returns true, and fails the test if it does not do so in
// time.
func Wait(t testing.TB, what string, ok func() bool) {
	t.Helper()

	for end := time.Now().Add(MaxWait); !ok(); {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting for: %s", what)
		}

		<-time.After(pollInterval)
	}
}

// Build compiles the command in a directory given relative to the module's root,
// such as cmd/carobward, and returns the path of the binary.
func Build(t testing.TB, command string) string {
	t.Helper()

	path := filepath.Join(t.TempDir(), filepath.Base(command))

	out, err := exec.Command("go", "build", "-o", path, "carobward.example/carobward/"+command).CombinedOutput()
	if err != nil {
		t.Fatalf("build %s: %v\n%s", command, err, out)
	}

	return path
}

// Process is a child process started by a test.
type Process struct {
	command *exec.Cmd
	output  *buffer
	exited  chan struct{}
	err     error
}

// buffer collects output. It is safe for concurrent use.
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

// Start starts a process. It is killed when the test ends.
func Start(t testing.TB, program string, args ...string) *Process {
	t.Helper()

	return StartWithEnv(t, nil, program, args...)
}

// StartWithEnv starts a process with additional environment variables. It is killed
// when the test ends.
func StartWithEnv(t testing.TB, environment []string, program string, args ...string) *Process {
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

// Signal sends a signal to the process.
func (p *Process) Signal(t testing.TB, s syscall.Signal) {
	t.Helper()

	if err := p.command.Process.Signal(s); err != nil {
		t.Fatalf("signal: %v", err)
	}
}

// Wait waits until the process has exited and returns its exit error.
func (p *Process) Wait(t testing.TB) error {
	t.Helper()

	select {
	case <-p.exited:
		return p.err
	case <-time.After(MaxWait):
		t.Fatal("the process did not exit")

		return nil
	}
}

// Output returns what the process has printed so far.
func (p *Process) Output() string { return p.output.String() }

// ServeHTTP serves HTTP on a free loopback port until the test ends.
func ServeHTTP(t testing.TB, h fasthttp.RequestHandler) carobward.Address {
	t.Helper()

	s := &fasthttp.Server{Handler: h, CloseOnShutdown: true}

	return Serve(t, s.Serve, s.Shutdown)
}

// Serve calls serve with a listener on a free loopback port. When the test ends,
// it calls stop and then closes the listener.
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

// Run runs a program until it exits and returns its output and exit code.
func Run(t testing.TB, program string, args ...string) (string, int) {
	t.Helper()

	ctx, cancel := context.WithTimeout(context.Background(), MaxWait)
	defer cancel()

	command := exec.CommandContext(ctx, program, args...)
	out, err := command.CombinedOutput()

	if err != nil && command.ProcessState == nil {
		t.Fatalf("run %s: %v", program, err)
	}

	return string(out), command.ProcessState.ExitCode()
}

// File writes a file into a temporary directory of the test and returns its path.
func File(t testing.TB, name, text string) string {
	t.Helper()

	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}

	return path
}
