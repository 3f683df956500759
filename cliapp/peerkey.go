package cliapp

import (
	"context"
	"fmt"
	"slices"

	"github.com/urfave/cli/v3"

	"github.com/bramleydoor/bramleydoor/authn"
	"github.com/bramleydoor/bramleydoor/platform"
)

func peerkeyCommand() *cli.Command {
	return &cli.Command{
		Name:      "peerkey",
		Usage:     "make a step of the rotation of the key for messages between VMs (bramleyvm): add, use, then remove",
		ArgsUsage: "STEP",
		Flags:     []cli.Flag{stringFlag("store", "", "address of the platform's store, as HOST:PORT")},
		Action:    runPeerkey,
	}
}

// runPeerkey makes one step and prints the numbers of the keys, never their secrets.
func runPeerkey(ctx context.Context, command *cli.Command) error {
	step := authn.Step(command.Args().First())
	if !slices.Contains([]authn.Step{authn.AddKey, authn.UseKey, authn.RemoveKeys}, step) {
		return badInput("STEP must be %s, %s or %s", authn.AddKey, authn.UseKey, authn.RemoveKeys)
	}
	if command.String("store") == "" {
		return badInput("--store, the address of the platform's store, is missing")
	}
	listed, signing, err := authn.Rotate(ctx, platform.NewStore(command.String("store")), step)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(command.Root().Writer, "keys %v, signing %d\n", listed, signing)
	return err
}
