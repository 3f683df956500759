package soak

import (
	"slices"

	"github.com/bramleydoor/bramleydoor/config"
	"github.com/bramleydoor/bramleydoor/fakeup"
	"github.com/bramleydoor/bramleydoor/platform"
	"github.com/bramleydoor/bramleydoor/wires"
)

// trialID is that of writes which only show that a VM serves; they are no part of
// the history.
const trialID = "trial"

func tryWrite(address, group string) wires.Code {
	wire, answer, err := platform.DialCaller(address, group+"-"+config.Current.String(), "soak", openWait)
	if err != nil {
		return wires.InDoubt
	}
	if answer.Code != wires.OK {
		return answer.Code
	}
	defer wire.Close()
	answer, err = wire.Ask(wires.Forward{ID: trialID, Text: "WRITE trial 1"}, answerWait)
	if err != nil {
		return wires.InDoubt
	}
	return answer.Code
}

func withoutTrials(runs []fakeup.Run) []fakeup.Run {
	return slices.DeleteFunc(runs, func(run fakeup.Run) bool { return run.ID == trialID })
}
