package cliapp

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strconv"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/bramleydoor/bramleydoor/httpkv"
	"github.com/bramleydoor/bramleydoor/relay"
	"github.com/bramleydoor/bramleydoor/store"
	"github.com/bramleydoor/bramleydoor/ticket"
)

func ticketCommand() *cli.Command {
	storeFlag := stringFlag("store", "", "URL of the platform's store")
	return &cli.Command{
		Name:  "ticket",
		Usage: "create, check and submit change tickets",
		Commands: []*cli.Command{
			{Name: "new", Usage: "print a ticket to edit", Flags: []cli.Flag{storeFlag}, Action: ticketNew},
			{Name: "check", Usage: "check a ticket; with a store, also against the present configuration", ArgsUsage: "FILE", Flags: []cli.Flag{storeFlag}, Action: ticketCheck},
			{Name: "submit", Usage: "submit a ticket to the store", ArgsUsage: "FILE", Flags: []cli.Flag{storeFlag}, Action: ticketSubmit},
			{Name: "list", Usage: "list the tickets accepted since the latest snapshot", Flags: []cli.Flag{storeFlag}, Action: ticketList},
			{Name: "show", Usage: "print an accepted ticket", ArgsUsage: "NUMBER", Flags: []cli.Flag{storeFlag}, Action: ticketShow},
			{Name: "diff", Usage: "print what a ticket would change", ArgsUsage: "FILE", Flags: []cli.Flag{storeFlag}, Action: ticketDiff},
		},
	}
}

// Rate limits of an operator's command, in calls per second. The read rate is high
// because the command reads many keys at once.
const (
	operatorReadRate  = 500
	operatorWriteRate = 10
)

func openStore(command *cli.Command) (store.Store, error) {
	address := command.String("store")
	if address == "" {
		return nil, badInput("--store is missing")
	}
	return &httpkv.Client{Base: address, ReadRate: operatorReadRate, WriteRate: operatorWriteRate}, nil
}

// readTicket reads and checks the ticket file that the command names.
func readTicket(command *cli.Command) (ticket.Ticket, error) {
	name := command.Args().First()
	if name == "" {
		return ticket.Ticket{}, badInput("the ticket's FILE is missing")
	}
	text, err := os.ReadFile(name)
	if err != nil {
		return ticket.Ticket{}, &inputError{err}
	}
	decoded, err := ticket.Decode(text)
	if err != nil {
		return decoded, &inputError{errors.Wrapf(err, "%s", name)}
	}
	return decoded, nil
}

func printJSON(writer io.Writer, value any) error {
	encoder := json.NewEncoder(writer)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// ticketNew prints an example ticket. With a store, its number is the next free one.
func ticketNew(ctx context.Context, command *cli.Command) error {
	number := uint64(1)
	if command.String("store") != "" {
		kv, err := openStore(command)
		if err != nil {
			return err
		}
		state, _, err := relay.Load(ctx, kv)
		if err != nil {
			return err
		}
		number = state.Number + 1
	}
	slot := func(name string, port int) ticket.Slot {
		return ticket.Slot{
			Name:    name,
			Address: "192.0.2.1:" + strconv.Itoa(port),
			Control: "192.0.2.1:" + strconv.Itoa(port+1),
			Zone:    "zone1",
		}
	}
	return printJSON(command.Root().Writer, ticket.Ticket{
		Number:    number,
		ID:        "change-" + strconv.FormatUint(number, 10),
		Note:      "reason for this change",
		Upstreams: []ticket.Upstream{{Name: "ledger1"}},
		Rules:     []ticket.Rule{ticket.Rule{Name: "usual"}.WithDefaults()},
		Groups: []ticket.Group{{
			Name: "ledger1.db1", Upstream: "ledger1", ConnectionLimit: 25, Rule: "usual",
			Slots: []ticket.Slot{slot("a", 5432), slot("b", 5442), slot("c", 5452)},
		}},
	})
}

func ticketCheck(ctx context.Context, command *cli.Command) error {
	change, err := readTicket(command)
	if err != nil {
		return err
	}
	if command.String("store") != "" {
		kv, err := openStore(command)
		if err != nil {
			return err
		}
		state, _, err := relay.Load(ctx, kv)
		if err != nil {
			return err
		}
		if _, err := state.With(change); err != nil {
			return &inputError{errors.Wrapf(err, "%s", command.Args().First())}
		}
	}
	fmt.Fprintf(command.Root().Writer, "ticket %d %q is valid\n", change.Number, change.ID)
	return nil
}

func ticketSubmit(ctx context.Context, command *cli.Command) error {
	change, err := readTicket(command)
	if err != nil {
		return err
	}
	kv, err := openStore(command)
	if err != nil {
		return err
	}
	if err := relay.Submit(ctx, kv, change); err != nil {
		return err
	}
	fmt.Fprintf(command.Root().Writer, "ticket %d %q is accepted\n", change.Number, change.ID)
	return nil
}

func ticketList(ctx context.Context, command *cli.Command) error {
	kv, err := openStore(command)
	if err != nil {
		return err
	}
	_, tickets, err := relay.Load(ctx, kv)
	if err != nil {
		return err
	}
	for _, accepted := range tickets {
		fmt.Fprintf(command.Root().Writer, "%d\t%s\t%s\n", accepted.Number, accepted.ID, accepted.Note)
	}
	return nil
}

func ticketShow(ctx context.Context, command *cli.Command) error {
	number, err := strconv.ParseUint(command.Args().First(), 10, 64)
	if err != nil {
		return badInput("NUMBER %q is not a ticket number", command.Args().First())
	}
	kv, err := openStore(command)
	if err != nil {
		return err
	}
	entry, err := kv.Get(ctx, relay.TicketKey(number))
	if err != nil {
		return err
	}
	if entry.Version == 0 {
		return errors.Newf("ticket %d was not accepted", number)
	}
	accepted, err := ticket.Decode(entry.Value)
	if err != nil {
		return err
	}
	return printJSON(command.Root().Writer, accepted)
}

func ticketDiff(ctx context.Context, command *cli.Command) error {
	submitted, err := readTicket(command)
	if err != nil {
		return err
	}
	kv, err := openStore(command)
	if err != nil {
		return err
	}
	before, _, err := relay.Load(ctx, kv)
	if err != nil {
		return err
	}
	after, err := before.With(submitted)
	if err != nil {
		return err
	}
	for _, change := range ticket.Diff(before, after) {
		fmt.Fprintln(command.Root().Writer, change)
	}
	return nil
}
