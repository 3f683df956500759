package promo

import (
	"github.com/bramleydoor/bramleydoor/event"
)

// waitReason says what a promotion, or the first lease of a term, waits for. It is also the name of
// a counter.
type waitReason string

const (
	// waitReports: no leader has recorded the group's newest term, and not all databases have
	// reported theirs.
	waitReports waitReason = "reports"
	// waitHolders: VMs that the new leader doesn't know may have leases of its predecessor.
	waitHolders waitReason = "holders"
	// waitSeals: replication is synchronous, and databases are not sealed that may have commits
	// which no sealed one has.
	waitSeals waitReason = "seals"
	// waitOrder: an order is unsettled whose database is no longer registered.
	waitOrder waitReason = "order"
)

// waits tells waits that have just begun from those that go on.
type waits struct {
	// current has the waits that were reported since the last check began, former those of
	// the check before.
	current, former map[waitReason]string
}

// begin begins a check.
func (waits *waits) begin() { waits.current, waits.former = make(map[waitReason]string), waits.current }

// isNew reports whether a wait for the databases or VMs that it names has not been reported in this
// check or the one before.
func (waits *waits) isNew(reason waitReason, names string) bool {
	former, isKnown := waits.former[reason]
	if current, ok := waits.current[reason]; ok {
		former, isKnown = current, true
	}
	waits.current[reason] = names
	return !isKnown || former != names
}

// reportWait logs and counts that a promotion, or the first lease of a term, waits. names are the
// databases that it waits for; empty if it waits for none.
func (controller *Controller) reportWait(reason waitReason, term uint64, names string) {
	if !controller.waits.isNew(reason, names) {
		return
	}
	controller.Stats.PromotionWaits.Add(string(reason), 1)
	controller.Log.Write(event.PromotionWaits, event.Fields{
		"group": controller.Group.Name, "term": term, "reason": string(reason), "slots": names,
	})
}
