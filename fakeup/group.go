package fakeup

import (
	"context"
	"slices"
	"time"

	"github.com/bramleydoor/bramleydoor/posn"
	"github.com/bramleydoor/bramleydoor/promo"
	"github.com/bramleydoor/bramleydoor/proto"
)

const (
	// waitStep is the interval at which requests that wait look again.
	waitStep = time.Millisecond
	// maxReplicaWait is how long a commit waits for a replica.
	maxReplicaWait = 8 * time.Second
)

// sleep waits without holding mu, which must be held.
func (upstream *Upstream) sleep(duration time.Duration) {
	upstream.mu.Unlock()
	time.Sleep(duration)
	upstream.mu.Lock()
}

// needsSlot reports whether a request takes one of the database's slots.
func needsSlot(request proto.Request) bool {
	_, isReport := request.(proto.GetReport)
	return isReport || isStatement(request)
}

// takeSlot waits for a free slot, and returns false if there is none before timeout.
func (database *Database) takeSlot(upstream *Upstream, timeout time.Duration) bool {
	deadline := time.Now().Add(timeout)
	for database.Slots > 0 && database.busy >= database.Slots {
		if !time.Now().Before(deadline) {
			return false
		}
		upstream.sleep(waitStep)
	}
	database.busy++
	return true
}

// appendCommit adds a commit to the log of a leading database.
func (upstream *Upstream) appendCommit(database *Database) posn.Position {
	position := posn.Position{Term: database.term, LSN: database.end().LSN + 1}
	database.log = append(database.log, logEntry{position: position, visibleAt: time.Now()})
	return position
}

// end returns the position of the last entry of the log.
func (database *Database) end() posn.Position { return database.log[len(database.log)-1].position }

// has reports whether the log has the commit at a position.
func (database *Database) has(position posn.Position) bool {
	at, ok := slices.BinarySearchFunc(database.log, position, func(entry logEntry, wanted posn.Position) int {
		return entry.position.Compare(wanted)
	})
	return ok && database.log[at].position == position
}

// awaitReplica waits until a replica has received a commit, where the upstream replicates
// synchronously. It returns false if none has before timeout. The database goes on waiting in
// its slot then.
func (upstream *Upstream) awaitReplica(conn *conn, position posn.Position, timeout time.Duration) bool {
	database, began := conn.database, time.Now()
	isReceived := func() bool {
		upstream.replicate()
		for _, other := range upstream.databases {
			if other != database && !other.leads && !other.IsDown && other.has(position) {
				return true
			}
		}
		return upstream.SyncReplicas == 0
	}
	for !isReceived() {
		if database.IsDown {
			return false
		}
		if time.Since(began) >= timeout {
			database.busy++
			go func() {
				upstream.mu.Lock()
				defer upstream.mu.Unlock()
				for !isReceived() && !database.IsDown && time.Since(began) < maxReplicaWait {
					upstream.sleep(waitStep)
				}
				database.busy--
			}()
			return false
		}
		upstream.sleep(waitStep)
	}
	return !database.IsDown
}

// replicate brings the replicas that receive up to date. mu must be held.
func (upstream *Upstream) replicate() {
	source := upstream.databases[upstream.source]
	if source == nil || source.IsDown || source.IsUnresponsive {
		return
	}
	for _, replica := range upstream.databases {
		if replica == source || replica.leads || replica.IsReplicationStopped || replica.IsUnresponsive ||
			replica.IsDown || replica.sealedTerm > source.term || replica.term > source.term {
			continue
		}
		replica.follow(source)
	}
}

// follow copies the log of the primary, and rolls back what it lacks.
func (database *Database) follow(source *Database) {
	common := min(len(database.log), len(source.log))
	if database.term != source.term {
		common = 0
		for common < min(len(database.log), len(source.log)) && database.log[common].position == source.log[common].position {
			common++
		}
	}
	if database.term == source.term && common == len(source.log) {
		return
	}
	database.log = database.log[:common:common]
	database.term, database.sealedTerm = source.term, 0
	visibleAt := time.Now().Add(database.Lag)
	for _, entry := range source.log[common:] {
		database.log = append(database.log, logEntry{position: entry.position, visibleAt: visibleAt})
	}
}

// Rejoin makes a former primary a replica of the newest term, as when it has connected
// to the new primary. Commits that only it had are rolled back.
func (upstream *Upstream) Rejoin(id string) {
	upstream.mu.Lock()
	defer upstream.mu.Unlock()
	if database := upstream.databases[id]; database.leads && id != upstream.primary {
		database.leads = false
	}
	upstream.replicate()
}

// StartEmpty makes a database that is down run again under its ID, without its log. Its registration
// has another start time.
func (upstream *Upstream) StartEmpty(id string) {
	upstream.mu.Lock()
	defer upstream.mu.Unlock()
	database := upstream.databases[id]
	database.Born++
	database.IsDown, database.leads = false, false
	database.term, database.sealedTerm = 0, 0
	database.log = []logEntry{{}}
	if upstream.primary == id {
		upstream.primary = ""
	}
	upstream.replicate()
}

// Delay sets the time until the platform acts on an order, and answers. It acts also if the
// caller has given up by then.
func (upstream *Upstream) Delay(delay time.Duration) {
	upstream.mu.Lock()
	defer upstream.mu.Unlock()
	upstream.orderDelay = delay
}

// SetOnOrder sets the function that is called with each order that the platform accepts, before
// it answers; nil for none.
func (upstream *Upstream) SetOnOrder(onOrder func(order promo.Order)) {
	upstream.mu.Lock()
	defer upstream.mu.Unlock()
	upstream.onOrder = onOrder
}

// Promote makes a database the primary of the next term, after PromotionDuration from the
// acceptance of the order. The former primary keeps its own term and accepts writes until it is
// demoted or rejoins. A database that is unknown, unresponsive or down gives promo.ErrRefused.
// For the database that the last order named, the order has no effect.
func (upstream *Upstream) Promote(ctx context.Context, order promo.Order) error {
	answer := make(chan error, 1)
	upstream.mu.Lock()
	delay := upstream.orderDelay
	upstream.mu.Unlock()
	go func() {
		time.Sleep(delay)
		answer <- upstream.accept(order)
	}()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case err := <-answer:
		return err
	}
}

func (upstream *Upstream) accept(order promo.Order) error {
	upstream.mu.Lock()
	defer upstream.mu.Unlock()
	upstream.orders = append(upstream.orders, order)
	named, ok := upstream.databases[order.Member]
	if !ok || named.IsUnresponsive || named.IsDown {
		return promo.ErrRefused
	}
	if onOrder := upstream.onOrder; onOrder != nil {
		upstream.mu.Unlock()
		onOrder(order)
		upstream.mu.Lock()
	}
	if order.Member == upstream.target {
		return nil
	}
	upstream.target = order.Member
	go func() {
		time.Sleep(upstream.PromotionDuration)
		upstream.mu.Lock()
		defer upstream.mu.Unlock()
		upstream.promote(named)
	}()
	return nil
}

// promote lets an order take effect. mu must be held.
func (upstream *Upstream) promote(named *Database) {
	if named.IsUnresponsive || named.IsDown {
		if upstream.target == named.ID {
			upstream.target = upstream.source
		}
		return
	}
	upstream.replicate()
	upstream.term++
	upstream.primary, upstream.source = named.ID, named.ID
	named.term, named.leads, named.sealedTerm = upstream.term, true, 0
	term := Term{Number: upstream.term, Primary: named.ID, Start: named.end(), At: time.Now()}
	for _, run := range upstream.runs {
		if upstream.SyncReplicas > 0 && !run.Committed.IsZero() && !named.has(run.Committed) {
			term.Lost, term.LostIDs = append(term.Lost, run.Text), append(term.LostIDs, run.ID)
		}
	}
	upstream.terms = append(upstream.terms, term)
	for i := range named.log {
		if named.log[i].visibleAt.After(term.At) {
			named.log[i].visibleAt = term.At
		}
	}
	upstream.replicate()
}
