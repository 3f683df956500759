package cliapp

import (
	"context"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/bramleydoor/bramleydoor/trace"
)

func explainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "print the attempts of one request and the related events from logs",
		ArgsUsage: "REQUEST [FILE...]",
		Flags: []cli.Flag{
			stringFlag("vm", "", "VM to which a request was sent that the logs don't have; needs --at"),
			stringFlag("at", "", "time at which that request was sent, in RFC 3339; needs --vm"),
		},
		Action: runExplain,
	}
}

// runExplain explains a request from the JSON logs of any number of VMs. It reads them
// from the files that follow REQUEST on the command line or, if there are none, from
// standard input.
func runExplain(_ context.Context, command *cli.Command) error {
	request := command.Args().First()
	if request == "" {
		return badInput("REQUEST, the ID of a request, is missing")
	}
	lines, err := readLogs(command.Args().Tail())
	if err != nil {
		return err
	}
	writer := command.Root().Writer
	err = trace.Explain(writer, request, lines)
	if !errors.Is(err, trace.ErrNotLogged) || command.String("vm") == "" {
		return err
	}
	at, err := time.Parse(time.RFC3339Nano, command.String("at"))
	if err != nil {
		return badInput("--at: %s", err)
	}
	return trace.ExplainUnlogged(writer, trace.SentTo{VM: command.String("vm"), At: at}, lines)
}

func readLogs(files []string) ([]trace.LogLine, error) {
	if len(files) == 0 {
		return trace.ReadLog(os.Stdin)
	}
	var lines []trace.LogLine
	for _, name := range files {
		file, err := os.Open(name)
		if err != nil {
			return nil, &inputError{err}
		}
		read, err := trace.ReadLog(file)
		if err := errors.CombineErrors(err, file.Close()); err != nil {
			return nil, err
		}
		lines = append(lines, read...)
	}
	return lines, nil
}
