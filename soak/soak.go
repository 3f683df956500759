// Package soak runs the real program as separate processes against fakes, injects
// overlapping faults drawn from a seed, and checks the history of callers and databases
// with package audit.
//
// Package soak starts processes, unlike the VMs, because signals, kills and pauses have
// to come from outside of a process. It ends only processes that it started, by process
// ID, and leaves only the files in Dir.
package soak

import (
	"context"
	"io"
	"log"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bramleydoor/bramleydoor/audit"
	"github.com/bramleydoor/bramleydoor/load"
	"github.com/bramleydoor/bramleydoor/proto"
)

const (
	// MaxVMs is the largest number of VMs of one run.
	MaxVMs = 100
	// startTimeout is how long after the start every VM has to serve every group.
	startTimeout = 60 * time.Second
	// RecoveryTimeout is how long after the end of all faults every VM has to serve
	// every group. The value is the platform's.
	RecoveryTimeout = 15 * time.Second
	// ActivationTimeout is how long after its acceptance a configuration has to be in
	// force. The value is the platform's.
	ActivationTimeout = 5 * time.Second
	// excusePeriod is how long after its end a fault excuses a lost answer or a late
	// configuration. The value is the platform's for an otherwise idle machine.
	excusePeriod = 5 * time.Second
)

var discardLog = log.New(io.Discard, "", 0)

// Soak is one run. Set the exported fields before Run.
type Soak struct {
	// Seed selects the faults and the callers' operations.
	Seed uint64
	// Duration is how long new faults are started.
	Duration time.Duration
	VMs      int
	Callers  int
	// Program is the command and its arguments that run a VM. The environment variable
	// platform.SettingsVariable names the VM's settings file.
	Program []string
	// Dir is the directory of the VMs' settings and logs.
	Dir string
	// RecoveryTimeout and ActivationTimeout replace the constants of the same names unless
	// they are zero.
	RecoveryTimeout, ActivationTimeout time.Duration
}

// Report is the outcome of a run.
type Report struct {
	Seed uint64 `json:"seed"`
	// DurationS is Soak.Duration in seconds.
	DurationS float64 `json:"durationS"`
	VMs       int     `json:"vms"`
	// Faults is the number of faults by name.
	Faults map[string]int `json:"faults"`
	// Requests is the number of requests by kind and outcome, joined by a dot.
	Requests   map[string]int `json:"requests"`
	Promotions int            `json:"promotions"`
	// Checked is the number of checks by rule.
	Checked  map[string]int  `json:"checked"`
	Findings []audit.Finding `json:"findings"`
	// LongestGapMS is the longest time without a successful write in ms, by group.
	LongestGapMS map[string]int64 `json:"longestGapMs"`
	// RecoveryMS is the time in ms until every VM served every group, counted from 1 s
	// after the end of the faults. If that took longer than the recovery timeout, it is
	// the time at which waiting ended, and Findings has the rule recovery.
	RecoveryMS int64 `json:"recoveryMs"`
	// Series has the requests of each second since the first recorded answer.
	Series []load.Second `json:"series"`
}

// Run runs the VMs with the seed's faults and checks the history. The report's findings
// describe the violations. An error means that the run itself failed: a process or
// fake did not start, a fault could not be applied, or ctx ended.
func (soak *Soak) Run(ctx context.Context) (report Report, err error) {
	if soak.RecoveryTimeout == 0 {
		soak.RecoveryTimeout = RecoveryTimeout
	}
	if soak.ActivationTimeout == 0 {
		soak.ActivationTimeout = ActivationTimeout
	}
	if err := os.MkdirAll(soak.Dir, 0o700); err != nil {
		return Report{}, err
	}
	fleet, err := soak.newFleet()
	if err != nil {
		return Report{}, err
	}
	defer func() { err = errors.CombineErrors(err, fleet.stop()) }()
	if err := fleet.start(); err != nil {
		return Report{}, err
	}
	recorder := &recorder{lastSuccess: make(map[string]time.Time), longestGap: make(map[string]time.Duration)}
	if _, ok := fleet.awaitServing(ctx, startTimeout); !ok {
		return Report{}, errors.New("not every VM served every group before the start timeout")
	}
	callCtx, stopCallers := context.WithCancel(ctx)
	var callers sync.WaitGroup
	for number := range soak.Callers {
		callers.Go(func() { fleet.runCaller(callCtx, recorder, number) })
	}
	periods, err := fleet.inject(ctx, newSchedule(soak.Seed, soak.Duration))
	if err == nil {
		sleep(ctx, time.Second)
	}
	recovery, hasRecovered := fleet.awaitServing(ctx, soak.RecoveryTimeout)
	stopCallers()
	callers.Wait()
	if err := errors.CombineErrors(err, ctx.Err()); err != nil {
		return Report{}, err
	}
	return fleet.report(recorder, periods, recovery, hasRecovered), nil
}

// awaitServing waits until a write through every VM to every group succeeds, and returns
// how long that took; false if it took longer than limit or ctx ended.
func (fleet *fleet) awaitServing(ctx context.Context, limit time.Duration) (time.Duration, bool) {
	began := time.Now()
	for _, vm := range fleet.live() {
		for group := range fleet.groups {
			for !fleet.isServing(vm, group) {
				if time.Since(began) > limit || !sleep(ctx, maxPause/4) {
					return time.Since(began), false
				}
			}
		}
	}
	return time.Since(began), true
}

// isServing reports whether a trial write through a VM to a group succeeds.
func (fleet *fleet) isServing(vm *vm, group string) bool {
	return trialWrite(vm.address(), group) == proto.OK
}

// report checks the history and returns the run's report. Processes that exited
// unexpectedly and a missing recovery are findings too.
func (fleet *fleet) report(recorder *recorder, periods []faultPeriod, recovery time.Duration, hasRecovered bool) Report {
	soak := fleet.soak
	history := audit.History{
		Ops: recorder.ops, Groups: make(map[string]audit.Group), ActivationTimeout: soak.ActivationTimeout,
	}
	report := Report{
		Seed: soak.Seed, DurationS: soak.Duration.Seconds(), VMs: soak.VMs,
		Faults: make(map[string]int), Requests: make(map[string]int), LongestGapMS: make(map[string]int64),
		RecoveryMS: recovery.Milliseconds(),
	}
	for name, upstream := range fleet.groups {
		history.Groups[name] = audit.Group{Runs: withoutTrials(upstream.Runs()), Terms: upstream.Terms()}
		report.Promotions += len(upstream.Terms())
	}
	for _, period := range periods {
		report.Faults[period.name]++
	}
	for i := range history.Ops {
		op := &history.Ops[i]
		op.IsFaultAffected = isAffected(op, periods)
		outcome := op.Answer.Code.String()
		if op.IsUnanswered {
			outcome = "lost"
		}
		report.Requests[string(op.Kind)+"."+outcome]++
	}
	report.Series = series(history.Ops)
	for group, gap := range recorder.longestGap {
		report.LongestGapMS[group] = gap.Milliseconds()
	}
	auditReport := audit.Check(history)
	report.Checked, report.Findings = auditReport.Checked, auditReport.Findings
	for _, vm := range fleet.live() {
		if vm.unexpectedExits > 0 {
			report.Findings = append(report.Findings, audit.Finding{Rule: "exits", Text: vm.name + " exited without a signal to end it"})
		}
	}
	if !hasRecovered {
		report.Findings = append(report.Findings, audit.Finding{
			Rule: "recovery", Text: "after the faults, not every VM served every group within " + soak.RecoveryTimeout.String(),
		})
	}
	return report
}

// series returns the counts and latencies (us) of the requests by the second in which
// they ended. Session starts are left out.
func series(ops []audit.Op) []load.Second {
	var seconds []load.Second
	for _, op := range ops {
		if op.Kind == audit.Open {
			continue
		}
		at := int(op.AnsweredAt.Sub(ops[0].AnsweredAt) / time.Second)
		for len(seconds) <= at {
			seconds = append(seconds, load.Second{})
		}
		if op.IsUnanswered || op.Answer.Code != proto.OK {
			seconds[max(at, 0)].Failed++
			continue
		}
		took := op.AnsweredAt.Sub(op.SentAt).Microseconds()
		second := &seconds[max(at, 0)]
		second.Done++
		second.SumUs += took
		second.MaxUs = max(second.MaxUs, took)
	}
	return seconds
}

// isAffected reports whether a fault may have affected a request, or delayed the
// configuration that it tests. Planned work is no excuse.
func isAffected(op *audit.Op, periods []faultPeriod) bool {
	from := op.StartedAt
	if op.Version != 0 {
		from = op.AcceptedAt
	}
	for _, period := range periods {
		if !period.isPlanned && period.from.Before(op.AnsweredAt) && period.to.Add(excusePeriod).After(from) {
			return true
		}
	}
	return false
}
