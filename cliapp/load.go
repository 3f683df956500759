package cliapp

import (
	"context"
	"fmt"
	"maps"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/bramleydoor/bramleydoor/check"
	"github.com/bramleydoor/bramleydoor/demo"
	"github.com/bramleydoor/bramleydoor/load"
	"github.com/bramleydoor/bramleydoor/plot"
)

func loadCommand() *cli.Command {
	return &cli.Command{
		Name:  "load",
		Usage: "send open-loop load to running VMs, or to stand-ins once with each of several policies",
		Flags: []cli.Flag{
			listFlag("target", "address of a VM; without any, VMs and stand-ins are started"),
			listFlag("database", "database group that receives the load, with --target"),
			stringFlag("deployment", "authority", "deployment that the stand-ins simulate"),
			listFlag("policy", "with stand-ins: byCost, primaryOnly or fixedDelay; several are run one after the other"),
			stringFlag("faults", "none", "with stand-ins: kind of faults"),
			durationFlag("duration", demoDuration, "duration of each run"),
			&cli.Uint64Flag{Name: "seed", Value: demoSeed, Usage: "seed of the load, the replication lag and the faults"},
			intFlag("callers", demoCallers, "number of callers"),
			&cli.FloatFlag{Name: "rate", Value: demoRate, Usage: "requests per second of each caller"},
			&cli.FloatFlag{Name: "reads", Value: load.DefaultMix.Reads, Usage: "share of reads, with --target"},
			&cli.FloatFlag{Name: "aged", Value: load.DefaultMix.BoundedStaleness, Usage: "share of reads with a staleness bound, with --target"},
			&cli.FloatFlag{Name: "keyed", Value: load.DefaultMix.Keyed, Usage: "share of writes with a request key, with --target"},
			&cli.FloatFlag{Name: "roam", Value: load.DefaultMix.Roam, Usage: "probability that a caller changes the VM before a request, with --target"},
			stringFlag("plot", "", "file that a plot of the last run is written to, .png or .svg"),
			&cli.BoolFlag{Name: "json", Usage: "print the results as JSON"},
		},
		Action: runLoad,
	}
}

func runLoad(ctx context.Context, command *cli.Command) error {
	if command.Int("callers") < 1 || command.Float("rate") <= 0 || command.Duration("duration") <= 0 {
		return badInput("--callers, --rate and --duration must be more than zero")
	}
	if len(command.StringSlice("target")) > 0 {
		return loadTargets(ctx, command)
	}
	return loadFakes(ctx, command)
}

// loadTargets sends load to VMs that are already running.
func loadTargets(ctx context.Context, command *cli.Command) error {
	if len(command.StringSlice("database")) == 0 {
		return badInput("--database is missing")
	}
	mix := load.DefaultMix
	mix.RatePerCaller = command.Float("rate")
	shares := map[string]*float64{"reads": &mix.Reads, "aged": &mix.BoundedStaleness, "keyed": &mix.Keyed, "roam": &mix.Roam}
	for _, name := range slices.Sorted(maps.Keys(shares)) {
		if *shares[name] = command.Float(name); *shares[name] < 0 || *shares[name] > 1 {
			return badInput("--%s is %v, want 0 to 1", name, *shares[name])
		}
	}
	run := &load.Run{
		Targets:   command.StringSlice("target"),
		Databases: command.StringSlice("database"),
		Callers:   command.Int("callers"),
		Mix:       mix,
		Seed:      command.Uint64("seed"),
	}
	loadCtx, cancel := context.WithTimeout(ctx, command.Duration("duration"))
	defer cancel()
	run.Do(loadCtx)
	summary := run.Summary()
	history, err := run.History(context.WithoutCancel(ctx))
	if err != nil {
		return errors.Wrap(err, "reading the final values")
	}
	report := check.Check(history)
	if err := drawPlot(command, summary.Series, nil); err != nil {
		return err
	}
	if err := printJSON(command.Root().Writer, struct {
		load.Summary
		check.Report
	}{summary, report}); err != nil {
		return err
	}
	if !report.IsClean() {
		return errors.New("the run violated a guarantee")
	}
	return nil
}

// drawPlot writes the file that --plot names; none without --plot.
func drawPlot(command *cli.Command, series []load.Second, failovers []plot.Failover) error {
	if command.String("plot") == "" {
		return nil
	}
	return plot.Draw(command.String("plot"), series, failovers)
}

// loadFakes runs each policy with the same seed on a new cluster. Only byCost has to
// keep the guarantees; the other policies are baselines for comparison.
func loadFakes(ctx context.Context, command *cli.Command) error {
	deployment, ok := demo.Deployments[command.String("deployment")]
	if !ok || !slices.Contains(demo.Faults, command.String("faults")) {
		return badInput("--deployment must be one of %v, and --faults one of %v", slices.Sorted(maps.Keys(demo.Deployments)), demo.Faults)
	}
	policies := command.StringSlice("policy")
	if len(policies) == 0 {
		policies = []string{"byCost"}
	}
	results := make(map[string]demo.Result)
	for _, name := range policies {
		baseline, ok := demo.Baselines[name]
		if !ok {
			return badInput("--policy %q is not one of %v", name, slices.Sorted(maps.Keys(demo.Baselines)))
		}
		result, err := loadPolicy(ctx, command, deployment, baseline)
		if err != nil {
			return errors.Wrap(err, name)
		}
		results[name] = result
		if !command.Bool("json") {
			fmt.Fprintf(command.Root().Writer, "== %s\n", name)
			if err := printResult(command, result); err != nil {
				return err
			}
		}
	}
	if command.Bool("json") {
		if err := printJSON(command.Root().Writer, results); err != nil {
			return err
		}
	}
	if result, ok := results["byCost"]; ok && !result.IsClean() {
		return errors.New("the run violated a guarantee")
	}
	return nil
}

func loadPolicy(ctx context.Context, command *cli.Command, deployment demo.Deployment, baseline demo.Baseline) (demo.Result, error) {
	cluster := &demo.Cluster{Deployment: deployment, Seed: command.Uint64("seed"), Baseline: baseline}
	if err := startCluster(ctx, cluster); err != nil {
		return demo.Result{}, err
	}
	defer cluster.Kill()
	run := newDemo(command, cluster)
	result, err := run.Run(ctx)
	if err != nil {
		return result, err
	}
	return result, drawPlot(command, result.Load.Series, run.Failovers())
}
