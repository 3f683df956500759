// Package trace replays recorded inputs of the decision packages and compares their
// decisions with the outcomes that the trace expects. It also explains single requests
// from the logs of VMs.
//
// A trace is a file of JSON lines with keys in camel case. Each line is one Step: a
// time in milliseconds since the start of the trace, and one input or expectation.
package trace

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bramleydoor/bramleydoor/posn"
	"github.com/bramleydoor/bramleydoor/quorum"
	"github.com/bramleydoor/bramleydoor/share"
	"github.com/bramleydoor/bramleydoor/ticket"
)

// Limits of a trace.
const (
	maxLineBytes = 1 << 20
	maxSteps     = 1_000_000
)

// Step is one line of a trace. AtMs and one of the pointers are set.
type Step struct {
	// AtMs is the time of the step in milliseconds since the start of the trace.
	AtMs int64 `json:"atMs"`
	// Note explains the step. Mismatches quote it.
	Note string `json:"note,omitempty"`

	Group            *Group            `json:"group,omitempty"`
	Report           *quorum.Report    `json:"report,omitempty"`
	Failure          *Failure          `json:"failure,omitempty"`
	Progress         *Progress         `json:"progress,omitempty"`
	ObservedPosition *ObservedPosition `json:"seen,omitempty"`
	Confirmed        *posn.Position    `json:"floor,omitempty"`
	Ticket           *Ticket           `json:"ticket,omitempty"`
	Shares           *share.View       `json:"shares,omitempty"`
	ShareReport      *ShareReport      `json:"word,omitempty"`

	Acked     *posn.Position `json:"expectAcked,omitempty"`
	Outcome   *EntryOutcome  `json:"expectFate,omitempty"`
	Primary   *Primary       `json:"expectPrimary,omitempty"`
	Suspicion *Suspicion     `json:"expectSuspect,omitempty"`
	Election  *Election      `json:"expectElect,omitempty"`
	ReadRoute *ReadRoute     `json:"expectRead,omitempty"`
	Share     *Share         `json:"expectShare,omitempty"`
}

// Group starts a new group with no state.
type Group struct {
	Slots int `json:"slots"`
}

// Failure is a failed request to a slot. Refused means that the slot refused the
// connection.
type Failure struct {
	Slot    string `json:"slot"`
	Refused bool   `json:"refused,omitempty"`
}

// Progress has the primary's reports of the position of each slot under its term.
type Progress struct {
	Reports []quorum.Report `json:"reports"`
}

// ObservedPosition is a position from a slot's answer to a caller's request.
type ObservedPosition struct {
	Slot     string        `json:"slot"`
	Position posn.Position `json:"position"`
}

// Ticket is a change of the configuration. Error is a part of the expected error
// message; empty if the ticket is expected to be accepted.
type Ticket struct {
	Ticket ticket.Ticket `json:"ticket"`
	Error  string        `json:"error,omitempty"`
}

// ShareReport is a VM's report of its connection shares. IsReply means that it answers a
// request that was sent at the step's time.
type ShareReport struct {
	VM            string `json:"vm"`
	Epoch         uint64 `json:"epoch"`
	IsWithinShare bool   `json:"closed,omitempty"`
	IsReply       bool   `json:"asked,omitempty"`
}

// EntryOutcome is the expected outcome of a log entry: open, kept or lost.
type EntryOutcome struct {
	Position posn.Position `json:"position"`
	Outcome  string        `json:"fate"`
}

// Primary is the expected primary. Ready means that the first entry of its term is
// acknowledged.
type Primary struct {
	Slot  string `json:"slot"`
	Ready bool   `json:"ready,omitempty"`
}

// Suspicion is the expected decision of the failure detector on the primary.
type Suspicion struct {
	Suspected bool `json:"suspected"`
	// Agreeing is how many of the Live VMs suspect the primary. If Live is zero, only
	// the local decision is compared.
	Agreeing int `json:"agreeing,omitempty"`
	Live     int `json:"live,omitempty"`
}

// Election is an election from the answers to seal requests. Winner is empty if the
// election is expected to fail.
type Election struct {
	Term   uint64          `json:"term"`
	Seals  []quorum.Report `json:"seals"`
	Avoid  string          `json:"avoid,omitempty"`
	Winner string          `json:"winner"`
}

// ReadRoute is an expected routing decision for a read.
type ReadRoute struct {
	MinPosition posn.Position `json:"floor"`
	StalenessMs int64         `json:"stalenessMs,omitempty"`
	Slot        string        `json:"slot"`
	Reason      string        `json:"reason"`
}

// Share is the expected connection share of vm1, the VM whose decisions are replayed.
type Share struct {
	Group string `json:"group"`
	Limit int    `json:"limit"`
	Share int    `json:"share"`
}

// Decode reads a trace. The error names the line, which counts from 1.
func Decode(reader io.Reader) ([]Step, error) {
	scanner := bufio.NewScanner(reader)
	scanner.Buffer(nil, maxLineBytes)
	var steps []Step
	for line := 1; scanner.Scan(); line++ {
		text := bytes.TrimSpace(scanner.Bytes())
		if len(text) == 0 {
			continue
		}
		if len(steps) >= maxSteps {
			return nil, errors.Newf("line %d: more than %d steps", line, maxSteps)
		}
		decoder := json.NewDecoder(bytes.NewReader(text))
		decoder.DisallowUnknownFields()
		var step Step
		if err := decoder.Decode(&step); err != nil {
			return nil, errors.Newf("line %d: %s", line, strings.TrimPrefix(err.Error(), "json: "))
		}
		steps = append(steps, step)
	}
	return steps, errors.Wrap(scanner.Err(), "reading the trace")
}

// at returns the time of a step. Traces start at a fixed time, so that a replay does
// not depend on the time at which it is run.
func (step Step) at() time.Time {
	return time.Unix(1_000_000, 0).Add(time.Duration(step.AtMs) * time.Millisecond)
}

// Mismatch is an outcome that differs from the expected one.
type Mismatch struct {
	// Step counts from 1.
	Step int
	Note string
	Want string
	Got  string
}

// String describes the mismatch in one line.
func (mismatch Mismatch) String() string {
	return fmt.Sprintf("step %d (%s): want %s, got %s", mismatch.Step, mismatch.Note, mismatch.Want, mismatch.Got)
}
