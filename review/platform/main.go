//go:build review

// Command standin runs the cases of the review: the VMs as processes, with stand-ins of the
// store, the platform, the databases and the consumers.
package main

import (
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"
)

var (
	exitBroken = 1
	exitFailed = 2
)

func main() {
	name := flag.String("case", "", "the case to run")
	trouble := flag.Bool("trouble", true, "with the disruption")
	record := flag.String("record", "record.txt", "file for the record")
	program := flag.String("program", "target/bramleyvm", "the program of a VM")
	rule := flag.String("rule", "", "the rule whose break counts for the exit status; any if empty")
	keep := flag.String("keep", "", "directory for the settings and logs of the VMs; a temporary one if empty")
	flag.Parse()
	dir := *keep
	if dir == "" {
		made, err := os.MkdirTemp("", "review")
		if err != nil {
			fmt.Println(err)
			os.Exit(exitFailed)
		}
		dir = made
	}
	path, err := filepath.Abs(*program)
	if err != nil {
		os.Exit(exitFailed)
	}
	world, err := newWorld(path, dir)
	if err != nil {
		fmt.Println(err)
		os.Exit(exitFailed)
	}
	play, ok := cases[*name]
	if !ok {
		fmt.Println("no such case")
		os.Exit(exitFailed)
	}
	done := make(chan struct{})
	consumers, err := play(world, *trouble, done)
	if err != nil {
		world.stop()
		fmt.Println(err)
		if *keep == "" {
			_ = os.RemoveAll(dir)
		}
		os.Exit(exitFailed)
	}
	close(done)
	consumers.Wait()
	time.Sleep(500 * time.Millisecond)
	world.stop()
	findings, summary := world.judge()
	if err := world.write(*record, findings, summary); err != nil {
		fmt.Println(err)
		os.Exit(exitFailed)
	}
	fmt.Println(summary)
	if *keep == "" {
		_ = os.RemoveAll(dir)
	}
	isBroken := slices.ContainsFunc(findings, func(finding string) bool { return strings.HasPrefix(finding, *rule) })
	if isBroken {
		for _, finding := range findings[:min(len(findings), 8)] {
			fmt.Println(finding)
		}
		os.Exit(exitBroken)
	}
}

type play = func(world *world, trouble bool, done chan struct{}) (*sync.WaitGroup, error)

var cases = map[string]play{"slow-order": slowOrder, "drained-replica": drainedReplica, "killed-leader": killedLeader, "unsealed-replica": unsealedReplica}

var zones = []string{"attica-a", "attica-b", "attica-c", "attica-d"}

// begin starts the stand-ins and five VMs in four zones, and waits until they are ready.
func (world *world) begin() error {
	if err := world.serve(); err != nil {
		return err
	}
	world.configure()
	places := []string{"attica-a", "attica-a", "attica-b", "attica-c", "attica-d"}
	for _, zone := range places {
		if world.isOneZone {
			zone = places[0]
		}
		if err := world.addVM(zone, zones); err != nil {
			return err
		}
	}
	for _, vm := range world.vms {
		if err := vm.start(); err != nil {
			return err
		}
	}
	go world.probe()
	if !world.awaitReady(20 * time.Second) {
		return fmt.Errorf("the VMs are not ready")
	}
	time.Sleep(3 * time.Second)
	return nil
}

// consume starts consumers of a route.
func (world *world) consume(count int, host, kind, service string, writes, transactions float64, pause time.Duration, done chan struct{}, pending *sync.WaitGroup) {
	for range count {
		number := int(sessionCount.Add(1))
		consumer := &consumer{
			world: world, number: number, host: host, kind: kind, service: service, random: rand.New(rand.NewPCG(uint64(number), 7)),
			pause: pause, writes: writes, transactions: transactions, fronts: world.fronts, usesState: world.usesState,
		}
		if world.tenants > 0 {
			tenant := number % world.tenants
			consumer.key, consumer.tenant = fmt.Sprintf("key%d", tenant), fmt.Sprintf("team%d", tenant)
		}
		pending.Go(func() { consumer.run(done) })
	}
}

func (world *world) until(began time.Time, seconds float64) {
	time.Sleep(time.Until(began.Add(time.Duration(seconds * float64(time.Second)))))
}

func (database *database) drain() {
	database.group.mu.Lock()
	defer database.group.mu.Unlock()
	database.draining = true
	database.group.world.note("%s reports draining", database.id)
}

// judge checks the rules on what consumers, databases and the platform have seen.
func (world *world) judge() (findings []string, summary string) {
	add := func(format string, arguments ...any) { findings = append(findings, fmt.Sprintf(format, arguments...)) }
	counts := make(map[string]int)
	for _, operation := range world.all {
		counts[operation.kind+"."+operation.code]++
	}
	promises := []string{"BUSY", "ABORTED", "LAGGING", "READONLY", "WRONGNODE", "MAXCONN"}
	for _, group := range world.groups {
		final := group.primary()
		if final == nil {
			final = group.databases[0]
		}
		runsByID := make(map[string][]*run)
		for _, run := range group.runs {
			runsByID[run.id] = append(runsByID[run.id], run)
			asked := world.operations[run.id]
			if asked == nil {
				add("UNASKED %s ran %q as %s, which no consumer sent", run.database, run.text, run.id)
				continue
			}
			for _, promotion := range group.promotions {
				if run.committed != nil && promotion.term > run.committed.term && promotion.at.Before(run.committed.at) && asked.code == "OK" {
					add("ONE %s %s by %s was committed at %s in term %d at %s, acknowledged at %s, though %s led term %d since %s", asked.kind, asked.id, asked.vm,
						run.database, run.committed.term, world.at(run.committed.at), world.at(asked.answeredAt), promotion.database, promotion.term, world.at(promotion.at))
					break
				}
			}
			for _, lacked := range run.lacked {
				if final.has(lacked, len(final.log)) {
					add("STALE read %s by %s, first byte at %s, ran at %s in term %d at %s, on a log without %s, which was committed at %s in term %d and acknowledged at %s",
						asked.id, asked.vm, world.at(asked.firstByteAt), run.database, run.term, world.at(run.at), lacked.operation, lacked.database, lacked.term, world.at(world.ackedAt[lacked]))
					break
				}
			}
		}
		findings = append(findings, world.judgeSessions(group)...)
		for id, runs := range runsByID {
			asked := world.operations[id]
			if asked == nil {
				continue
			}
			committed := 0
			for _, run := range runs {
				if run.committed != nil {
					committed++
				}
			}
			if committed > 1 {
				add("TWICE %s took effect %d times", id, committed)
			}
			if committed > 0 && slices.Contains(promises, asked.code) {
				add("REFUSED %s was answered with %s, but committed", id, asked.code)
			}
		}
		for _, operation := range world.all {
			if operation.code != "OK" || slices.Contains([]string{"begin", "rollback", "set", "prepare"}, operation.kind) {
				continue
			}
			runs := runsByID[operation.id]
			at := slices.IndexFunc(runs, func(run *run) bool { return run.proof == operation.proof })
			if world.serviceOf[operation.session] == group.service && (at < 0 || !slices.Equal(runs[at].rows, operation.rows)) {
				add("MIXED %s %s succeeded with proof %s", operation.kind, operation.id, operation.proof)
			}
		}
		for _, id := range group.lostAcked {
			add("LOST commit of %s was acknowledged, and is not in the log of the promoted database", id)
		}
		summary += fmt.Sprintf("%s: %d runs, %d promotions; ", group.service, len(group.runs), len(group.promotions))
	}
	for _, vm := range world.vms {
		if vm.unexpected > 0 {
			add("Fault %s ended by itself", vm.name)
		}
	}
	var parts []string
	for name, count := range counts {
		parts = append(parts, fmt.Sprintf("%s %d", name, count))
	}
	slices.Sort(parts)
	byRule := make(map[string]int)
	for _, finding := range findings {
		rule, _, _ := strings.Cut(finding, " ")
		byRule[rule]++
	}
	return findings, summary + strings.Join(parts, ", ") + fmt.Sprintf("; broken: %v", byRule)
}

// judgeSessions checks PINNED, and UNASKED as far as texts and tenants are concerned.
func (world *world) judgeSessions(group *group) (findings []string) {
	add := func(format string, arguments ...any) { findings = append(findings, fmt.Sprintf(format, arguments...)) }
	connOf := make(map[string]int)
	for _, run := range group.runs {
		asked := world.operations[run.id]
		if asked == nil {
			continue
		}
		if run.text != asked.executed {
			add("UNASKED %s was %q, but %s ran %q", asked.id, asked.executed, run.database, run.text)
		}
		if asked.tenant != "" && run.who != asked.tenant {
			add("UNASKED %s of tenant %s ran at %s as %s", asked.id, asked.tenant, run.database, run.who)
		}
		if !maps.Equal(run.values, asked.values) {
			add("PINNED %s %s ran at %s with values %v, its session has %v", asked.kind, asked.id, run.database, run.values, asked.values)
		}
		if asked.transaction != run.transaction {
			add("PINNED %s %s of transaction %q ran at %s in transaction %q", asked.kind, asked.id, asked.transaction, run.database, run.transaction)
		}
		if first, ok := connOf[asked.transaction]; asked.transaction != "" && ok && first != run.conn {
			add("PINNED %s %s of transaction %q ran on another connection", asked.kind, asked.id, asked.transaction)
		}
		if asked.transaction != "" {
			connOf[asked.transaction] = run.conn
		}
	}
	return findings
}

// write writes record.txt: events, findings, then what was sent, answered and run.
func (world *world) write(path string, findings []string, summary string) error {
	var text strings.Builder
	fmt.Fprintf(&text, "summary: %s\n\nrules broken: %d\n", summary, len(findings))
	for _, finding := range findings {
		text.WriteString(finding + "\n")
	}
	text.WriteString("\nevents, seconds since the start\n" + strings.Join(world.events, "\n") + "\n\nsent and answered\n")
	for _, operation := range world.all {
		fmt.Fprintf(&text, "%s %s session %d %s %s %q answered %s %s %s\n", world.at(operation.sentAt), operation.vm, operation.session, operation.route,
			operation.id, operation.text, world.at(operation.answeredAt), operation.code, operation.proof)
	}
	text.WriteString("\nrun\n")
	for _, group := range world.groups {
		for _, run := range group.runs {
			position := "-"
			if run.committed != nil {
				position = fmt.Sprintf("%d.%d", run.committed.term, run.committed.number)
			}
			fmt.Fprintf(&text, "%s %s connection %d term %d %s %q %s %s\n", world.at(run.at), run.database, run.conn, run.term, run.id, run.text, run.proof, position)
		}
	}
	return os.WriteFile(path, []byte(text.String()), 0o600)
}
