// Command cwstand runs the stand-ins as separate processes: the platform, a
// server or a caller.
package main

import (
	"context"
	stderrors "errors"
	"fmt"
	"net"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"
	"github.com/juju/errors"
)

func main() {
	p := flags.NewNamedParser("cwstand", flags.HelpFlag|flags.PassDoubleDash)

	for _, c := range []struct {
		name, short, usage string
		data               any
	}{
		{"platform", "Run the platform: key-value service and VM list.", usagePlatform, &platformCommand{}},
		{"server", "Run a server.", usageServer, &serverCommand{}},
		{"caller", "Send requests as a caller.", usageCaller, &callerCommand{}},
	} {
		if _, err := p.AddCommand(c.name, c.short, c.usage, c.data); err != nil {
			panic(err)
		}
	}

	if _, err := p.Parse(); err != nil {
		var f *flags.Error
		if stderrors.As(err, &f) && f.Type == flags.ErrHelp {
			fmt.Println(f.Message)

			return
		}

		fmt.Fprintln(os.Stderr, "cwstand:", err)
		os.Exit(1)
	}
}

// listen opens a listener and prints its address, which tests read if they
// let the system choose the port.
func listen(address string) (net.Listener, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Annotate(err, "listen")
	}

	fmt.Println("listening", ln.Addr())

	return ln, nil
}

// waitForSignal returns on SIGTERM or SIGINT.
func waitForSignal() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()

	<-ctx.Done()
}
