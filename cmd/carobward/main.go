// Command carobward is both the process of an entry VM and the client of
// operators.
package main

import (
	stderrors "errors"
	"fmt"
	"os"
	"runtime/debug"

	"github.com/jessevdk/go-flags"
	"github.com/juju/errors"
)

// The exit codes.
const (
	exitOK      = 0
	exitFailed  = 1
	exitUsage   = 2
	exitRefused = 3
	exitUnknown = 4
	exitPending = 5
)

// The kinds of errors. All but errNoAnswer have their own exit code.
const (
	errRefused = errors.ConstError("refused: nothing was changed")
	errUnknown = errors.ConstError("unknown: the change may have been accepted")
	errPending = errors.ConstError("not in force everywhere yet")
	// errNoAnswer means that a request got no reply and may have run.
	errNoAnswer = errors.ConstError("no answer")
)

// version is set by the linker for releases.
var version = ""

// options are the flags that do not belong to a subcommand.
type options struct {
	Version func() `long:"version" description:"Print the version and exit."`
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	o := options{Version: func() {
		fmt.Println("carobward", versionText())
		os.Exit(exitOK)
	}}

	p := flags.NewNamedParser("carobward", flags.HelpFlag|flags.PassDoubleDash)
	p.LongDescription = usage

	if _, err := p.AddGroup("General", "", &o); err != nil {
		panic(err)
	}

	addCommands(p)

	if _, err := p.ParseArgs(args); err != nil {
		return report(err)
	}

	return exitOK
}

// command is a subcommand. Its usage text is at the top of its file.
type command struct {
	name, short, usage string
	data               any
}

func addCommands(p *flags.Parser) {
	for _, c := range []command{
		{"serve", "Run this entry VM.", usageServe, &serveCommand{}},
		{"check", "Check settings and targets offline.", usageCheck, &checkCommand{}},
		{"get", "Print the targets in force.", usageGet, &getCommand{}},
		{"diff", "Show what apply would change.", usageDiff, &diffCommand{}},
		{"apply", "Make the targets in a file or folder the ones in force.", usageApply, &applyCommand{}},
		{"status", "Show where which revision is in force.", usageStatus, &statusCommand{}},
		{"drain", "Stop new requests to a server.", usageDrain, &drainCommand{}},
		{"demo", "Run a demo in this process, with stand-ins.", usageDemo, &demoCommand{}},
		{"help", "Show what carobward does, or how one command is used.", usageHelp, &helpCommand{parser: p}},
		{"bench", "Compare ways to choose servers under load.", usageBench, &benchCommand{}},
	} {
		added, err := p.AddCommand(c.name, c.short, c.usage, c.data)
		if err != nil {
			panic(err)
		}

		if c.name == "bench" {
			addExperiments(added)
		}
	}
}

func report(err error) int {
	var f *flags.Error
	if stderrors.As(err, &f) {
		if f.Type == flags.ErrHelp {
			fmt.Println(f.Message)

			return exitOK
		}

		fmt.Fprintln(os.Stderr, f.Message)

		return exitUsage
	}

	fmt.Fprintln(os.Stderr, "carobward:", err)

	switch {
	case errors.Is(err, errUnknown):
		return exitUnknown
	case errors.Is(err, errPending):
		return exitPending
	case errors.Is(err, errRefused):
		return exitRefused
	default:
		return exitFailed
	}
}

func versionText() string {
	if version != "" {
		return version
	}

	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}

	text := info.Main.Version

	for _, b := range info.Settings {
		if b.Key == "vcs.revision" {
			text += " " + b.Value
		}
	}

	return text + " " + info.GoVersion
}
