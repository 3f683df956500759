package leader

import (
	"encoding/json"
	"time"

	"github.com/bramleydoor/bramleydoor/event"
	"github.com/bramleydoor/bramleydoor/store"
)

// Heartbeat is the leader's report of its last renewal, passed on to other VMs.
type Heartbeat struct {
	Leader   string
	Token    uint64
	Revision uint64
	// At is an upper bound for the time at which the leader sent the renewal.
	At time.Time
}

// OwnHeartbeat returns the revision and the age of the last confirmed renewal, for the
// heartbeat of a VM that holds the lease.
func (elector *Elector) OwnHeartbeat() (revision uint64, age time.Duration) {
	elector.mu.Lock()
	defer elector.mu.Unlock()
	return elector.confirmedRevision, elector.Clock.Now().Sub(elector.validUntil.Add(clockMargin - TTL))
}

// ObserveHeartbeat stores a heartbeat of another leader. If the leader then stops sending,
// this VM waits TTL and the clock margin from heartbeat.At, without having to watch the
// record for that long. It takes the sender for the leader at once, since it does not read
// the record while a leader answers.
func (elector *Elector) ObserveHeartbeat(heartbeat Heartbeat) {
	elector.mu.Lock()
	defer elector.mu.Unlock()
	elector.heartbeat = heartbeat
	elector.setKnownLeader(heartbeat.Leader, heartbeat.Revision)
}

// applyHeartbeat uses the last heartbeat like a read of the record, unless the VM has
// observed a newer revision.
func (elector *Elector) applyHeartbeat() {
	elector.mu.Lock()
	heartbeat := elector.heartbeat
	elector.mu.Unlock()
	if heartbeat.Revision == 0 || heartbeat.Revision < elector.observed.Revision {
		return
	}
	if heartbeat.Revision > elector.observed.Revision {
		value, err := json.Marshal(record{Leader: heartbeat.Leader, Token: heartbeat.Token})
		if err != nil {
			elector.Log.Write(event.TaskEnded, event.Fields{"error": err.Error()})
			return
		}
		elector.observe(store.Item{Key: keyOf(elector.Set), Value: value, Revision: heartbeat.Revision})
		elector.isPartial = true
	}
	if heartbeat.At.Before(elector.observedAt) {
		elector.observedAt = heartbeat.At
	}
}
