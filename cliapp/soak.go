package cliapp

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/bramleydoor/bramleydoor/plot"
	"github.com/bramleydoor/bramleydoor/soak"
)

// Defaults of the soak.
const (
	soakDuration = 30 * time.Second
	soakVMs      = 5
	soakCallers  = 20
	vmProgram    = "bramleyvm"
)

func soakCommand() *cli.Command {
	return &cli.Command{
		Name:  "soak",
		Usage: "run VMs as processes against stand-ins, with faults drawn from a seed, and check the history",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "first seed"},
			intFlag("seeds", 1, "number of consecutive seeds, run one after the other"),
			durationFlag("duration", soakDuration, "how long new faults are started, for each seed"),
			intFlag("vms", soakVMs, fmt.Sprintf("number of VMs, at most %d", soak.MaxVMs)),
			intFlag("callers", soakCallers, "number of callers"),
			stringFlag("program", "", "program that runs a VM; the default is "+vmProgram+" in the directory of this program"),
			stringFlag("dir", "", "directory of settings and logs, with a subdirectory for each seed; the default is a temporary directory"),
			&cli.BoolFlag{Name: "json", Usage: "print one JSON object for each seed"},
			&cli.BoolFlag{Name: "plot", Usage: "plot the throughput and latency of each seed to soak.png in its directory"},
		},
		Action: runSoak,
	}
}

func runSoak(ctx context.Context, command *cli.Command) error {
	vms := command.Int("vms")
	if vms < 1 || vms > soak.MaxVMs || command.Int("callers") < 1 || command.Int("seeds") < 1 || command.Duration("duration") <= 0 {
		return badInput("--vms must be 1 to %d, and --callers, --seeds and --duration more than zero", soak.MaxVMs)
	}
	program, err := soakProgram(command.String("program"))
	if err != nil {
		return err
	}
	dir := command.String("dir")
	if dir == "" {
		if dir, err = os.MkdirTemp("", "bramleydoor-soak-"); err != nil {
			return err
		}
	}
	first := command.Uint64("seed")
	findings := 0
	for seed := first; seed < first+uint64(command.Int("seeds")); seed++ {
		run := &soak.Soak{
			Seed: seed, Duration: command.Duration("duration"), VMs: vms, Callers: command.Int("callers"),
			Program: []string{program}, Dir: filepath.Join(dir, fmt.Sprintf("seed%d", seed)),
		}
		report, err := run.Run(ctx)
		if err != nil {
			return errors.Wrapf(err, "seed %d", seed)
		}
		findings += len(report.Findings)
		if command.Bool("plot") {
			if err := plot.Draw(filepath.Join(run.Dir, "soak.png"), report.Series, nil); err != nil {
				return err
			}
		}
		if err := printSoakReport(command, report, run.Dir); err != nil {
			return err
		}
	}
	if findings > 0 {
		return errors.Newf("the soak has %d findings", findings)
	}
	return nil
}

// soakProgram returns the absolute path of the program that runs a VM. It returns an
// input error if there is no file at the path. An empty path
// means vmProgram in the directory of this program.
func soakProgram(path string) (string, error) {
	if path == "" {
		executable, err := os.Executable()
		if err != nil {
			return "", err
		}
		path = filepath.Join(filepath.Dir(executable), vmProgram)
	}
	if _, err := os.Stat(path); err != nil {
		return "", badInput("--program: no program that runs a VM: %s; build it with go build -o target/ ./cmd/...", err)
	}
	return filepath.Abs(path)
}

// printSoakReport prints the report of one seed. The printed recovery time counts from
// 1 s after the end of the faults. If the VMs did not recover, it is the time at which
// waiting for them ended, and the findings include the rule recovery.
func printSoakReport(command *cli.Command, report soak.Report, dir string) error {
	writer := command.Root().Writer
	if command.Bool("json") {
		return printJSON(writer, report)
	}
	fmt.Fprintf(writer, "seed %d: %d findings, %d promotions, recovery in %d ms, logs in %s\n",
		report.Seed, len(report.Findings), report.Promotions, report.RecoveryMS, dir)
	printCounts(writer, "faults", toInt64(report.Faults))
	printCounts(writer, "requests", toInt64(report.Requests))
	printCounts(writer, "checked", toInt64(report.Checked))
	printCounts(writer, "longest time without a successful write, ms", report.LongestGapMS)
	for _, finding := range report.Findings {
		fmt.Fprintf(writer, "  %s: %s\n", finding.Rule, finding.Text)
	}
	return nil
}
