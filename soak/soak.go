// Package soak runs the real program as separate processes against stand-ins,
// with faults drawn from a seed that come in series and overlap, and judges what
// callers and databases saw (package judge).
//
// The product's processes start no others; this tool does, since signals, kills
// and pauses have to come from outside. It ends only what it started, by process
// id, and leaves nothing behind but the files in Dir.
package soak

import (
	"context"
	"io"
	"log"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bramleydoor/bramleydoor/judge"
	"github.com/bramleydoor/bramleydoor/load"
	"github.com/bramleydoor/bramleydoor/wires"
)

const (
	// MaxVMs bounds the processes of one run.
	MaxVMs = 100
	// startWait is how long the fleet may take to serve at first.
	startWait = 60 * time.Second
	// RecoverWithin is how soon every VM serves every group once all faults are
	// over; the platform's bound.
	RecoverWithin = 15 * time.Second
	// InForceWithin is how soon a configuration is in force; the platform's bound.
	InForceWithin = 5 * time.Second
	// aftermath is how long after its end a fault excuses a lost answer or a late
	// configuration; the platform's span for a calm machine.
	aftermath = 5 * time.Second
)

var quietLog = log.New(io.Discard, "", 0)

// Soak is one run. Set the exported fields before Run.
type Soak struct {
	Seed     uint64
	Duration time.Duration
	VMs      int
	Callers  int
	// Program runs a VM by the settings that its environment names.
	Program []string
	// Dir takes settings and logs.
	Dir string
	// RecoverWithin and InForceWithin are the bounds in use; zero is the platform's.
	RecoverWithin, InForceWithin time.Duration
}

// Report is the outcome of a run.
type Report struct {
	Seed      uint64         `json:"seed"`
	DurationS float64        `json:"durationS"`
	VMs       int            `json:"vms"`
	Faults    map[string]int `json:"faults"`
	// Requests are counted by kind and outcome.
	Requests   map[string]int  `json:"requests"`
	Promotions int             `json:"promotions"`
	Checked    map[string]int  `json:"checked"`
	Findings   []judge.Finding `json:"findings"`
	// LongestGapMS is the longest time without a confirmed write, by group;
	// RecoveryMS is how long the fleet took to serve everywhere after the faults.
	LongestGapMS map[string]int64 `json:"longestGapMs"`
	RecoveryMS   int64            `json:"recoveryMs"`
	// Series has the requests of each second.
	Series []load.Second `json:"series"`
}

// Run plays the seed and judges it. Without an error, the findings tell whether
// the promises were kept.
func (soak *Soak) Run(ctx context.Context) (report Report, err error) {
	if soak.RecoverWithin == 0 {
		soak.RecoverWithin = RecoverWithin
	}
	if soak.InForceWithin == 0 {
		soak.InForceWithin = InForceWithin
	}
	if err := os.MkdirAll(soak.Dir, 0o700); err != nil {
		return Report{}, err
	}
	fleet, err := soak.build()
	if err != nil {
		return Report{}, err
	}
	defer func() { err = errors.CombineErrors(err, fleet.stop()) }()
	if err := fleet.start(); err != nil {
		return Report{}, err
	}
	ledger := &ledger{lastOK: make(map[string]time.Time), longest: make(map[string]time.Duration)}
	if _, ok := fleet.await(ctx, startWait); !ok {
		return Report{}, errors.New("the fleet did not serve after its start")
	}
	calling, hangUp := context.WithCancel(ctx)
	var callers sync.WaitGroup
	for number := range soak.Callers {
		callers.Go(func() { fleet.call(calling, ledger, number) })
	}
	spans, err := fleet.inject(ctx, plan(soak.Seed, soak.Duration))
	if err == nil {
		sleep(ctx, time.Second)
	}
	recovery, recovered := fleet.await(ctx, soak.RecoverWithin)
	hangUp()
	callers.Wait()
	if err := errors.CombineErrors(err, ctx.Err()); err != nil {
		return Report{}, err
	}
	return fleet.report(ledger, spans, recovery, recovered), nil
}

// await waits until every VM confirms a write to every group.
func (fleet *fleet) await(ctx context.Context, limit time.Duration) (time.Duration, bool) {
	began := time.Now()
	for _, vm := range fleet.vms {
		for group := range fleet.groups {
			for !fleet.serves(vm, group) {
				if time.Since(began) > limit || !sleep(ctx, mostPause/4) {
					return time.Since(began), false
				}
			}
		}
	}
	return time.Since(began), true
}

// serves makes one write that the history leaves out.
func (fleet *fleet) serves(vm *vm, group string) bool {
	return tryWrite(vm.front(), group) == wires.OK
}

func (fleet *fleet) report(ledger *ledger, spans []span, recovery time.Duration, recovered bool) Report {
	soak := fleet.soak
	history := judge.History{
		Ops: ledger.ops, Groups: make(map[string]judge.Group), InForceWithin: soak.InForceWithin,
	}
	report := Report{
		Seed: soak.Seed, DurationS: soak.Duration.Seconds(), VMs: soak.VMs,
		Faults: make(map[string]int), Requests: make(map[string]int), LongestGapMS: make(map[string]int64),
		RecoveryMS: recovery.Milliseconds(),
	}
	for name, upstream := range fleet.groups {
		history.Groups[name] = judge.Group{Runs: withoutTrials(upstream.Runs()), Terms: upstream.Terms()}
		report.Promotions += len(upstream.Terms())
	}
	for _, span := range spans {
		report.Faults[span.name]++
	}
	for i := range history.Ops {
		op := &history.Ops[i]
		op.IsTroubled = isTroubled(op, spans)
		outcome := op.Answer.Code.String()
		if op.IsLost {
			outcome = "lost"
		}
		report.Requests[string(op.Kind)+"."+outcome]++
	}
	report.Series = series(history.Ops)
	for group, gap := range ledger.longest {
		report.LongestGapMS[group] = gap.Milliseconds()
	}
	judged := judge.Check(history)
	report.Checked, report.Findings = judged.Checked, judged.Findings
	for _, vm := range fleet.vms {
		if vm.exits > 0 {
			report.Findings = append(report.Findings, judge.Finding{Rule: "exits", Text: vm.name + " ended by itself"})
		}
	}
	if !recovered {
		report.Findings = append(report.Findings, judge.Finding{
			Rule: "recovery", Text: "not every VM served every group within " + soak.RecoverWithin.String(),
		})
	}
	return report
}

// series counts the answers of each second, and their times in us.
func series(ops []judge.Op) []load.Second {
	var seconds []load.Second
	for _, op := range ops {
		if op.Kind == judge.Open {
			continue
		}
		at := int(op.Ended.Sub(ops[0].Ended) / time.Second)
		for len(seconds) <= at {
			seconds = append(seconds, load.Second{})
		}
		if op.IsLost || op.Answer.Code != wires.OK {
			seconds[max(at, 0)].Failed++
			continue
		}
		took := op.Ended.Sub(op.Sent).Microseconds()
		second := &seconds[max(at, 0)]
		second.Done++
		second.SumUs += took
		second.MaxUs = max(second.MaxUs, took)
	}
	return seconds
}

// isTroubled reports whether a fault may have touched a request, or kept a
// configuration from a VM.
func isTroubled(op *judge.Op, spans []span) bool {
	from := op.Began
	if op.Version != 0 {
		from = op.SetAt
	}
	for _, span := range spans {
		if !span.isPlanned && span.from.Before(op.Ended) && span.to.Add(aftermath).After(from) {
			return true
		}
	}
	return false
}
