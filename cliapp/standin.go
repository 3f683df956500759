package cliapp

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/bramleydoor/bramleydoor/demo"
)

func standinCommand() *cli.Command {
	return &cli.Command{
		Name:  "standin",
		Usage: "run stand-ins for the platform's store and database groups, for VMs in other processes",
		Flags: []cli.Flag{
			stringFlag("deployment", "tiny", strings.Join(slices.Sorted(maps.Keys(demo.Deployments)), ", ")),
			stringFlag("listen", "127.0.0.1:7000", "address of the store"),
			&cli.Uint64Flag{Name: "seed", Value: demoSeed, Usage: "seed of the replication lag"},
		},
		Action: func(ctx context.Context, command *cli.Command) error {
			deployment, ok := demo.Deployments[command.String("deployment")]
			if !ok {
				return badInput("--deployment %q is not one of %v", command.String("deployment"), slices.Sorted(maps.Keys(demo.Deployments)))
			}
			cluster := &demo.Cluster{Deployment: deployment, Seed: command.Uint64("seed")}
			if err := cluster.StartPlatform(command.String("listen")); err != nil {
				return err
			}
			defer cluster.Kill()
			if err := printJSON(command.Root().Writer, cluster.FirstTicket()); err != nil {
				return err
			}
			fmt.Fprintf(command.Root().ErrWriter, "The store's URL is %s. The ticket above describes the databases: submit it, then start VMs.\n", cluster.Store.URL())
			<-ctx.Done()
			return nil
		},
	}
}
