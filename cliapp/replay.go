package cliapp

import (
	"context"
	"fmt"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/bramleydoor/bramleydoor/trace"
)

func replayCommand() *cli.Command {
	return &cli.Command{
		Name:      "replay",
		Usage:     "replay a trace with the decision packages and compare the outcomes with the expected ones",
		ArgsUsage: "FILE",
		Action: func(_ context.Context, command *cli.Command) error {
			name := command.Args().First()
			if name == "" {
				return badInput("the trace's FILE is missing")
			}
			file, err := os.Open(name)
			if err != nil {
				return &inputError{err}
			}
			defer func() { _ = file.Close() }()
			steps, err := trace.Decode(file)
			if err != nil {
				return &inputError{errors.Wrapf(err, "%s", name)}
			}
			mismatches := trace.Replay(steps)
			for _, mismatch := range mismatches {
				fmt.Fprintln(command.Root().Writer, mismatch)
			}
			if len(mismatches) > 0 {
				return errors.Newf("%d mismatches in %d steps", len(mismatches), len(steps))
			}
			fmt.Fprintf(command.Root().Writer, "%d steps replayed without a mismatch\n", len(steps))
			return nil
		},
	}
}
