package cliapp

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/bramleydoor/bramleydoor/event"
	"github.com/bramleydoor/bramleydoor/serve"
)

func statusCommand() *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "print the state of a VM",
		Flags: []cli.Flag{
			stringFlag("admin", "127.0.0.1:6434", "admin address of the VM"),
			&cli.BoolFlag{Name: "json", Usage: "print the state as JSON"},
		},
		Action: runStatus,
	}
}

const statusTimeout = 10 * time.Second

func runStatus(ctx context.Context, command *cli.Command) error {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+command.String("admin")+"/status", http.NoBody)
	if err != nil {
		return &inputError{err}
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return errors.Newf("the VM answered the status request with %s", response.Status)
	}
	var status serve.Status
	if err := json.NewDecoder(response.Body).Decode(&status); err != nil {
		return err
	}
	if command.Bool("json") {
		return printJSON(command.Root().Writer, status)
	}
	return printStatus(command.Root().Writer, status)
}

func printStatus(writer io.Writer, status serve.Status) error {
	table := tabwriter.NewWriter(writer, 0, 0, 2, ' ', 0)
	fmt.Fprintf(table, "VM %s in %s, configuration %d, epoch of the connection shares %d, live VMs %v\n", status.VM, status.Zone, status.Number, status.Epoch, status.Live)
	fmt.Fprintf(table, "%d sessions, %d requests, %d promotions\n\n", status.Sessions, status.Requests, status.Promotions)
	fmt.Fprintln(table, "GROUP\tTERM\tPRIMARY\tACKED\tSHARE\tOPEN\tWAITING\tSLOTS (position, lag)")
	for _, name := range slices.Sorted(maps.Keys(status.Groups)) {
		group := status.Groups[name]
		fmt.Fprintf(table, "%s\t%d\t%s\t%s\t%d\t%d\t%d\t", name, group.Term, group.Primary, group.Acked, group.Pool.Share, group.Pool.Open, group.Pool.Waiting)
		for _, slot := range group.Slots {
			fmt.Fprintf(table, "%s=%s,%dms ", slot.Name, slot.LastPosition, slot.LagMs)
		}
		fmt.Fprintln(table)
	}
	printCounts(table, "refusals", status.Refusals)
	printCounts(table, "retries", status.Retries)
	printCounts(table, "reads by routing reason", status.Routes)
	return table.Flush()
}

// printCounts prints the counts in the order of their names.
func printCounts(writer io.Writer, title string, counts map[string]int64) {
	fmt.Fprintf(writer, "\n%s:", title)
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		fmt.Fprintf(writer, " %s=%d", name, counts[name])
	}
	fmt.Fprintln(writer)
}

func eventsCommand() *cli.Command {
	return &cli.Command{
		Name:  "events",
		Usage: "print the number, level and title of each log event",
		Flags: []cli.Flag{&cli.BoolFlag{Name: "markdown", Usage: "print the content of docs/EVENTS.md"}},
		Action: func(_ context.Context, command *cli.Command) error {
			writer := command.Root().Writer
			if command.Bool("markdown") {
				_, err := io.WriteString(writer, event.Page())
				return err
			}
			for _, entry := range event.Catalogue {
				fmt.Fprintf(writer, "%d\t%s\t%s\n", entry.ID, entry.Level, entry.Title)
			}
			return nil
		},
	}
}
