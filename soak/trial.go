package soak

import (
	"slices"

	"github.com/bramleydoor/bramleydoor/config"
	"github.com/bramleydoor/bramleydoor/fakeup"
	"github.com/bramleydoor/bramleydoor/platform"
	"github.com/bramleydoor/bramleydoor/proto"
)

// trialID is the request ID of writes that only test whether a VM serves a group. They
// are excluded from the history.
const trialID = "trial"

// trialWrite writes to a group through the VM at address. A connection or answer that
// is lost gives proto.InDoubt.
func trialWrite(address, group string) proto.Code {
	fakeCaller, answer, err := platform.DialCaller(address, group+"-"+config.Current.String(), "soak", openTimeout)
	if err != nil {
		return proto.InDoubt
	}
	if answer.Code != proto.OK {
		return answer.Code
	}
	defer fakeCaller.Close()
	answer, err = fakeCaller.Ask(trialID, "WRITE trial 1", answerTimeout)
	if err != nil {
		return proto.InDoubt
	}
	return answer.Code
}

// withoutTrials removes the trial writes, in place.
func withoutTrials(runs []fakeup.Run) []fakeup.Run {
	return slices.DeleteFunc(runs, func(run fakeup.Run) bool { return run.ID == trialID })
}
