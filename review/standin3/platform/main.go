//go:build review

// Command standin3 runs the script cases of the third review: the VMs of a small deployment as
// processes, with stand-ins of the platform, the databases and the consumers. It exits with 1 if
// the case's rule was broken, with 0 if it held, and with 2 if the case couldn't run.
package main

import (
	"flag"
	"fmt"
	"os"
	"time"
)

// cases are the script cases by name. Each returns the breaks that it saw.
var cases = map[string]func(world *world, isTrouble bool) ([]string, error){
	"late":   lateCase,
	"sets":   setsCase,
	"revive": reviveCase,
}

func main() {
	name := flag.String("case", "", "case to run")
	program := flag.String("program", "target/bramleyvm", "program of the deploy file")
	path := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	os.Exit(runCase(*name, *program, *path, os.Getenv("TROUBLE") != "0"))
}

func runCase(name, program, path string, isTrouble bool) int {
	play, ok := cases[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case:", name)
		return 2
	}
	dir, err := os.MkdirTemp("", "review3-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() { _ = os.RemoveAll(dir) }()
	world, err := newWorld(program, dir)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	breaks, err := play(world, isTrouble)
	for _, line := range breaks {
		world.record("BROKEN %s", line)
		fmt.Println("BROKEN", line)
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		_ = os.CopyFS(keep, os.DirFS(dir))
	}
	if stopErr := world.stop(path); err == nil {
		err = stopErr
	}
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "could not run:", err)
		return 2
	case len(breaks) > 0:
		return 1
	}
	fmt.Println("the rule held")
	return 0
}

// awaitService waits until every machine has committed a write and answered a read of each route.
func (world *world) awaitService(host string) error {
	deadline := time.Now().Add(25 * time.Second)
	for _, node := range world.nodes {
		for {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s serves no write", node.name)
			}
			if session, _, err := connect(node.front(), host); err == nil && session != nil {
				reply, err := session.ask(newID(), "WRITE trial 1", time.Second)
				session.close()
				if err == nil && reply.Code == "" {
					break
				}
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}
