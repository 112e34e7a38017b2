// Package cmd implements the commands of wisteriacroft.
package cmd

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"strings"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"

	"wisteriacroft/finding"
	"wisteriacroft/keyvalue"
)

// programName is the program's name in its messages.
const programName = "wisteriacroft"

// A RootCmd holds every command.
type RootCmd struct {
	Attendant  AttendantCmd  `cmd:"" help:"Serve the endpoints of one instance, as the only door to them."`
	Entry      EntryCmd      `cmd:"" help:"Serve callers and trainers behind the platform's balancer."`
	Platform   PlatformCmd   `cmd:"" help:"Run a role on the users' platform, by the settings file that it writes."`
	Profile    ProfileCmd    `cmd:"" help:"Check, compare and change what is in force."`
	Customers  CustomersCmd  `cmd:"" help:"Show the customers that hold keys, and what they asked for."`
	Hold       HoldCmd       `cmd:"" help:"Hold the new work of a customer or a step, drain an endpoint, or hold a service's orders for endpoints; what runs ends."`
	Holds      HoldsCmd      `cmd:"" help:"List what operators hold, or the history of it."`
	Load       LoadCmd       `cmd:"" help:"Show who waits for what, who has which part of the engines, and which steps will be late."`
	Quarantine QuarantineCmd `cmd:"" help:"Show and lift what is kept from endpoints, as others ended while they ran it."`
	Release    ReleaseCmd    `cmd:"" help:"Let what an operator holds go on."`
	Report     ReportCmd     `cmd:"" help:"Tell from the logs of a day what steps waited for."`
	Scale      ScaleCmd      `cmd:"" help:"Show the orders for endpoints and what the open work asks for now; nothing is ordered."`
	Soak       SoakCmd       `cmd:"" help:"Run the roles on the platform as processes, under faults, before stand-ins."`
	StandIn    StandInCmd    `cmd:"" help:"Stand in for a system outside, for trials and tests." name:"stand-in"`
	Status     StatusCmd     `cmd:"" help:"Show what one process or all of them hold."`
	Try        TryCmd        `cmd:"" help:"Try the whole path in one process, on stand-ins."`
	Version    VersionCmd    `cmd:"" help:"Show the version of the program."`
}

// SettingsFlags are the flags of a role's command.
type SettingsFlags struct {
	Check    bool   `help:"Read the settings, report all findings and end without starting."`
	Settings string `help:"Settings file (TOML)." placeholder:"FILE" required:""`
}

// An Output holds the streams that a command writes to.
type Output struct {
	Stderr io.Writer
	Stdout io.Writer
}

// Hangups receives the process's SIGHUPs. It is nil in a process that has none to expect.
type Hangups <-chan os.Signal

// Main runs the command in args and returns its exit code. SIGINT and SIGTERM shut a
// long-running command down gracefully, and so does SIGHUP, but for the roles on the users' platform, which reload
// their settings.
//
// No signal gets its default action back before the process ends: it would cut requests that a
// process which shuts down still serves.
func Main(args []string, stdout, stderr io.Writer) int {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	ctx, _ := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	return int(run(ctx, hangups, args, Output{Stderr: stderr, Stdout: stdout}))
}

// endOnHangup returns a context that also ends at a hangup.
func endOnHangup(ctx context.Context, hangups Hangups) context.Context {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		select {
		case <-hangups:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx
}

// run runs a command until it ends or ctx is done.
func run(ctx context.Context, hangups Hangups, args []string, out Output) ExitCode {
	parsed := parser{out: out}
	command, err := parsed.parse(args)
	if parsed.helpPrinted {
		return ExitOK
	}
	if err != nil {
		report(out.Stderr, err)
		return ExitBadInput
	}
	if !strings.HasPrefix(command.Command(), "platform ") {
		ctx = endOnHangup(ctx, hangups)
	}
	command.BindTo(ctx, (*context.Context)(nil))
	command.BindTo(out.Stdout, (*io.Writer)(nil))
	command.Bind(
		hangups,
		out,
		&ProfileEnv{OpenFunc: openKeyValue, Stdout: out.Stdout},
		&StatusEnv{AskFunc: askProcess, ListFunc: listInstances, Stdout: out.Stdout},
	)
	err = command.Run()
	report(out.Stderr, err)
	if strings.HasPrefix(command.Command(), "profile ") {
		return ExitCode(ProfileExitCode(err))
	}
	return exitCodeOf(err)
}

// A parser parses the command line.
type parser struct {
	helpPrinted bool // help was requested and printed
	out         Output
}

// newKong returns the kong model of all commands.
func (pa *parser) newKong() (*kong.Kong, error) {
	return kong.New(
		&RootCmd{},
		kong.Name(programName),
		kong.Description("A rollout service for reinforcement learning."),
		kong.Vars{"faults": faultNames()},
		kong.Writers(pa.out.Stdout, pa.out.Stderr),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true, WrapUpperBound: 100}),
		// kong continues to parse after it has printed its help.
		kong.Exit(func(int) { pa.helpPrinted = true }),
	)
}

// parse returns the command in args.
func (pa *parser) parse(args []string) (*kong.Context, error) {
	ko, err := pa.newKong()
	if err != nil {
		return nil, errors.Wrap(err, "command line")
	}
	return ko.Parse(args)
}

// report writes an error for an operator: findings one per line, any other error with the
// program's name.
func report(stderr io.Writer, err error) {
	var findings *finding.Error
	switch {
	case err == nil:
	case errors.As(err, &findings):
		_, _ = fmt.Fprintf(stderr, "%s\n%s: findings: %d\n", findings, programName, len(findings.Findings()))
	default:
		_, _ = fmt.Fprintf(stderr, "%s: %s\n", programName, err)
	}
	for _, hint := range errors.GetAllHints(err) {
		_, _ = fmt.Fprintf(stderr, "%s: hint: %s\n", programName, hint)
	}
}

// openKeyValue returns a client of the key-value service at an address.
func openKeyValue(address string) (*keyvalue.Client, error) {
	return keyvalue.NewHTTP(address, nil), nil
}

// A VersionCmd shows the version of the program.
type VersionCmd struct{}

// Run prints the version from the build information.
func (*VersionCmd) Run(out Output) error {
	version := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		version = info.Main.Version + " " + info.GoVersion
	}
	_, err := fmt.Fprintf(out.Stdout, "%s %s\n", programName, version)
	return err
}
