package cliapp

import (
	"context"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/bramleydoor/bramleydoor/trace"
)

func explainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "print what logs say of one request",
		ArgsUsage: "REQUEST [FILE...]",
		Action:    runExplain,
	}
}

// runExplain reads the files, or standard input, as logs in JSON of any VMs.
func runExplain(_ context.Context, command *cli.Command) error {
	request := command.Args().First()
	if request == "" {
		return badInput("explain needs the id of a request")
	}
	files := command.Args().Tail()
	if len(files) == 0 {
		lines, err := trace.ReadLog(os.Stdin)
		if err != nil {
			return err
		}
		return trace.Explain(command.Root().Writer, request, lines)
	}
	var lines []trace.LogLine
	for _, name := range files {
		file, err := os.Open(name)
		if err != nil {
			return &inputError{err}
		}
		read, err := trace.ReadLog(file)
		if closeErr := file.Close(); err == nil {
			err = closeErr
		}
		if err != nil {
			return err
		}
		lines = append(lines, read...)
	}
	return trace.Explain(command.Root().Writer, request, lines)
}
