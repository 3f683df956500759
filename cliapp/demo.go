package cliapp

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v3"

	"github.com/bramleydoor/bramleydoor/demo"
)

// Defaults of the demo.
const (
	demoDuration = 20 * time.Second
	demoCallers  = 90
	demoRate     = 5.0
	demoSeed     = 1
	startTimeout = 30 * time.Second
)

func demoCommand() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "run the VMs of a deployment and stand-ins for the platform in one process, with load and faults",
		Flags: []cli.Flag{
			stringFlag("deployment", "authority", strings.Join(slices.Sorted(maps.Keys(demo.Deployments)), ", ")),
			durationFlag("duration", demoDuration, "duration of the load"),
			&cli.Uint64Flag{Name: "seed", Value: demoSeed, Usage: "seed of the load, the replication lag and the faults"},
			stringFlag("faults", "none", strings.Join(demo.Faults, ", ")),
			intFlag("callers", demoCallers, "number of callers"),
			&cli.FloatFlag{Name: "rate", Value: demoRate, Usage: "requests per second of each caller"},
			&cli.BoolFlag{Name: "hold", Usage: "run without load and faults until interrupted, for use with a database client"},
			stringFlag("listen", "127.0.0.1:6431", "address of the first VM; the others use the following ports"),
			&cli.BoolFlag{Name: "json", Usage: "print the result as one JSON object"},
			&cli.BoolFlag{Name: "log", Usage: "print the log of the VMs to standard error"},
		},
		Action: runDemo,
	}
}

func runDemo(ctx context.Context, command *cli.Command) error {
	deployment, ok := demo.Deployments[command.String("deployment")]
	if !ok {
		return badInput("--deployment %q is not one of %v", command.String("deployment"), slices.Sorted(maps.Keys(demo.Deployments)))
	}
	if !slices.Contains(demo.Faults, command.String("faults")) {
		return badInput("--faults %q is not one of %v", command.String("faults"), demo.Faults)
	}
	if command.Int("callers") < 1 || command.Float("rate") <= 0 || command.Duration("duration") <= 0 {
		return badInput("--callers, --rate and --duration must be more than zero")
	}
	root := command.Root()
	cluster := &demo.Cluster{Deployment: deployment, Seed: command.Uint64("seed"), Listen: command.String("listen")}
	if command.Bool("log") {
		cluster.Logger = logrus.New()
		cluster.Logger.SetOutput(root.ErrWriter)
	}
	if err := startCluster(ctx, cluster); err != nil {
		return err
	}
	defer cluster.Kill()
	if command.Bool("hold") {
		return holdDemo(ctx, root.Writer, cluster)
	}
	run := newDemo(command, cluster)
	result, err := run.Run(ctx)
	if err != nil {
		return err
	}
	if err := printResult(command, result); err != nil {
		return err
	}
	if !result.IsClean() {
		return errors.New("the run violated a guarantee")
	}
	return nil
}

// startCluster starts a cluster and waits until it is ready, for at most startTimeout in
// all. It kills a cluster that has started but does not become ready.
func startCluster(ctx context.Context, cluster *demo.Cluster) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := cluster.Start(ctx); err != nil {
		return err
	}
	if err := cluster.AwaitReady(ctx); err != nil {
		cluster.Kill()
		return err
	}
	return nil
}

// newDemo returns a demo run with the settings of the command's flags. Its progress is
// shown if standard error is a terminal.
func newDemo(command *cli.Command, cluster *demo.Cluster) *demo.Demo {
	run := &demo.Demo{
		Cluster:  cluster,
		Duration: command.Duration("duration"),
		Faults:   command.String("faults"),
		Callers:  command.Int("callers"),
		Rate:     command.Float("rate"),
	}
	if stderr := command.Root().ErrWriter; isTerminal(stderr) {
		run.Progress = stderr
	}
	return run
}

// holdDemo prints how to connect to the cluster and waits until ctx ends.
func holdDemo(ctx context.Context, writer io.Writer, cluster *demo.Cluster) error {
	fmt.Fprintln(writer, "The cluster is running. Connect to any VM with a PostgreSQL client, for example:")
	name := cluster.Deployment.GroupNames()[0]
	for _, vm := range cluster.VMs {
		fmt.Fprintf(writer, "  postgres://clerk@%s/%s?sslmode=disable\n", vm.Address(), name)
	}
	fmt.Fprintln(writer, "The stand-in supports statements such as INSERT INTO t (key, value) VALUES ('a', '1') and SELECT value FROM t WHERE key = 'a'.")
	fmt.Fprintln(writer, "Press Ctrl-C to stop.")
	<-ctx.Done()
	return nil
}

func printResult(command *cli.Command, result demo.Result) error {
	writer := command.Root().Writer
	if command.Bool("json") {
		return printJSON(writer, result)
	}
	fmt.Fprintf(writer, "%s, seed %d, faults %s %v\n", result.Deployment, result.Seed, result.Faults, result.FaultCounts)
	fmt.Fprintf(writer, "reads served by replicas: %.1f%% (bounded-staleness reads: %.1f%%)\n", 100*result.ReplicaReadShare, 100*result.BoundedStalenessReplicaShare)
	fmt.Fprintf(writer, "failover gap: median %d ms, longest %d ms, %d failovers\n", result.FailoverGapMs.P50, result.FailoverGapMs.Max, result.FailoverGapMs.Count)
	fmt.Fprintf(writer, "requests: %d succeeded, %d failed; writes: %d acknowledged, %d with unknown outcome\n", result.Load.Done, result.Load.Failed, result.Acknowledged, result.Unknown)
	for _, kind := range slices.Sorted(maps.Keys(result.Load.Latencies)) {
		latency := result.Load.Latencies[kind]
		fmt.Fprintf(writer, "%s: %d requests, median %d us, 99th percentile %d us, longest %d us\n", kind, latency.Count, latency.P50, latency.P99, latency.Max)
	}
	printCounts(writer, "errors", toInt64(result.Load.Errors))
	printCounts(writer, "refusals", result.Refusals)
	printCounts(writer, "retries", result.Retries)
	printCounts(writer, "reads by routing reason", result.Routes)
	fmt.Fprintf(writer, "\nlost writes %d, duplicate writes %d, stale reads %d, mixed transactions %d, connection limit violations %d\n",
		result.Lost, result.Doubled, result.StaleReads, result.Mixed, result.ConnectionLimitViolations)
	for _, finding := range result.Findings {
		fmt.Fprintln(writer, "  "+finding)
	}
	return nil
}

func toInt64(counts map[string]int) map[string]int64 {
	converted := make(map[string]int64)
	for name, count := range counts {
		converted[name] = int64(count)
	}
	return converted
}
