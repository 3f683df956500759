// Package cliapp implements the command line of bramleydoor. Exit codes are 0 for
// success, 1 for a failure or a violated guarantee, and 2 for bad input.
package cliapp

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/bramleydoor/bramleydoor/serve"
	"github.com/bramleydoor/bramleydoor/ticket"
)

// Exit codes.
const (
	exitOK      = 0
	exitFailure = 1
	exitInput   = 2
)

// Version is the release that --version prints.
const Version = "0.1"

// inputError is an error in the user's input. Its exit code is exitInput.
type inputError struct{ cause error }

func (inputError *inputError) Error() string { return inputError.cause.Error() }
func (inputError *inputError) Unwrap() error { return inputError.cause }

func badInput(format string, args ...any) error {
	return &inputError{errors.Newf(format, args...)}
}

// Main runs the command line and returns the exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	root := &cli.Command{
		Name:           "bramleydoor",
		Usage:          "a database proxy with session consistency",
		Version:        Version,
		Writer:         stdout,
		ErrWriter:      stderr,
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		OnUsageError: func(_ context.Context, _ *cli.Command, err error, _ bool) error {
			return &inputError{err}
		},
		Action: func(_ context.Context, command *cli.Command) error {
			if name := command.Args().First(); name != "" {
				return badInput("unknown command %q; bramleydoor help lists the commands", name)
			}
			return cli.ShowRootCommandHelp(command)
		},
		Commands: []*cli.Command{
			serveCommand(),
			ticketCommand(),
			statusCommand(),
			eventsCommand(),
			explainCommand(),
			peerkeyCommand(),
			demoCommand(),
			loadCommand(),
			replayCommand(),
			standinCommand(),
			soakCommand(),
		},
	}
	setUsageErrors(root.Commands, root.OnUsageError)
	err := root.Run(ctx, args)
	if err == nil {
		return exitOK
	}
	fmt.Fprintln(stderr, "bramleydoor: "+err.Error())
	return exitCode(err)
}

// setUsageErrors sets the handler of usage errors of the commands and all their
// subcommands.
func setUsageErrors(commands []*cli.Command, handler cli.OnUsageErrorFunc) {
	for _, command := range commands {
		command.OnUsageError = handler
		setUsageErrors(command.Commands, handler)
	}
}

func exitCode(err error) int {
	var input *inputError
	var settingsErrors serve.SettingsErrors
	var problems ticket.Problems
	if errors.As(err, &input) || errors.As(err, &settingsErrors) || errors.As(err, &problems) {
		return exitInput
	}
	return exitFailure
}

// isTerminal reports whether a writer is a terminal, where progress lines are useful.
func isTerminal(writer io.Writer) bool {
	file, ok := writer.(*os.File)
	if !ok {
		return false
	}
	info, err := file.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}
