package vmrun_test

import (
	"flag"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/bramleydoor/bramleydoor/fakeup"
	"github.com/bramleydoor/bramleydoor/promo"
)

// scheduled is one fault of a schedule.
type scheduled struct {
	fault string
	// at is when it begins, relative to the fault that makes the leader replace the primary.
	at, duration time.Duration
	// database is 0 for the primary when it begins, 1 or 2 for a replica; vm is 0 for the leader
	// then, 1 or 2 for another VM.
	database, vm int
}

func (scheduled scheduled) String() string {
	return fmt.Sprintf("%s of database %d and VM %d at %s for %s", scheduled.fault, scheduled.database, scheduled.vm, scheduled.at, scheduled.duration)
}

// drawRound draws a fault for which the primary is replaced, and up to five that accompany it.
func drawRound(t *rapid.T) []scheduled {
	ms := func(from, to int, name string) time.Duration {
		return time.Duration(rapid.IntRange(from/100, to/100).Draw(t, name)) * 100 * time.Millisecond
	}
	trigger := scheduled{fault: rapid.SampledFrom([]string{"crash", "cut", "leaving"}).Draw(t, "trigger"), duration: ms(1000, 6500, "duration")}
	round := []scheduled{trigger}
	if rapid.IntRange(0, 3).Draw(t, "unheard") == 0 {
		// The leader does not reach the primary, whose successor is not heard by the leader after it.
		trigger.fault, trigger.duration = "cut", ms(3500, 6500, "cut for")
		round = []scheduled{
			trigger,
			{fault: "deaf", at: ms(-1000, 0, "deaf at"), duration: 8 * time.Second, database: 2},
			{fault: "crash", at: ms(1000, 3000, "crash at"), duration: ms(3000, 6500, "crash for")},
			{fault: rapid.SampledFrom([]string{"killLeader", "killAll"}).Draw(t, "end"), at: ms(1000, 3000, "end at"), duration: 2400 * time.Millisecond},
		}
	}
	for range rapid.IntRange(0, 5).Draw(t, "companions") {
		companion := scheduled{
			fault: rapid.SampledFrom([]string{
				"deaf", "deaf", "leaving", "crash", "crash", "cut", "isolated", "expire", "startEmpty", "join",
				"killLeader", "killAtOrder", "killAll", "stopLeader", "stopVM", "storeCut", "lateOrders",
			}).Draw(t, "fault"),
			duration: ms(1000, 6500, "duration"), database: rapid.IntRange(0, 2).Draw(t, "database"), vm: rapid.IntRange(0, 2).Draw(t, "vm"),
		}
		switch companion.fault {
		case "deaf", "leaving", "isolated", "expire", "cut", "stopVM":
			companion.at = ms(-4000, 1000, "at")
		case "lateOrders", "killAtOrder", "storeCut", "join":
			companion.at = ms(-1000, 500, "at")
		default:
			companion.at = ms(0, 4000, "at")
		}
		round = append(round, companion)
	}
	return round
}

// player plays a schedule on a fleet.
type player struct {
	fleet   *fleet
	history *history
	// pending has the faults in progress, and the processes that are about to start again.
	pending sync.WaitGroup

	mu         sync.Mutex
	restarting map[int]bool
}

// databases returns the primary and the replicas.
func (player *player) databases() []string {
	ids := []string{player.fleet.upstream.Primary()}
	if ids[0] == "" {
		ids[0] = "a"
	}
	for _, id := range []string{"a", "b", "c"} {
		if id != ids[0] {
			ids = append(ids, id)
		}
	}
	return ids
}

// vms returns the leader and the other VMs.
func (player *player) vms() []*testVM {
	leader := player.fleet.leader()
	player.fleet.vmsMu.Lock()
	defer player.fleet.vmsMu.Unlock()
	if leader == nil {
		leader = player.fleet.vms[0]
	}
	vms := []*testVM{leader}
	for _, testVM := range player.fleet.vms {
		if testVM != leader {
			vms = append(vms, testVM)
		}
	}
	return vms
}

// replace ends a VM's process by end, and starts it again after a delay.
func (player *player) replace(replaced *testVM, end func(), delay time.Duration) {
	player.mu.Lock()
	defer player.mu.Unlock()
	if player.restarting[replaced.number] {
		return
	}
	player.restarting[replaced.number] = true
	player.pending.Go(func() {
		end()
		time.Sleep(delay)
		player.fleet.restart(replaced)
		player.mu.Lock()
		defer player.mu.Unlock()
		player.restarting[replaced.number] = false
	})
}

// register writes a database's registration.
func (player *player) register(id string) { player.registerAs(id, false) }

func (player *player) registerAs(id string, isLeaving bool) {
	for _, member := range player.fleet.upstream.Members() {
		if member.ID == id {
			member.Leaving = isLeaving
			player.fleet.register(member)
		}
	}
}

// expireLater removes the registration of a database that is down, after three silent check-ins.
func (player *player) expireLater(id string) *time.Timer {
	return time.AfterFunc(3600*time.Millisecond, func() { player.fleet.tree.Remove(memberPrefix + id) })
}

// begin begins a fault, and returns the function that ends it.
func (player *player) begin(scheduled scheduled) (end func()) {
	fleet, id, testVM := player.fleet, player.databases()[scheduled.database], player.vms()[scheduled.vm]
	onDatabase := func(set func(database *fakeup.Database, isOn bool)) func() {
		fleet.upstream.Do(id, func(database *fakeup.Database) { set(database, true) })
		return func() { fleet.upstream.Do(id, func(database *fakeup.Database) { set(database, false) }) }
	}
	switch scheduled.fault {
	case "crash":
		end := onDatabase(func(database *fakeup.Database, isOn bool) { database.IsDown = isOn })
		expiry := player.expireLater(id)
		return func() {
			expiry.Stop()
			end()
			fleet.upstream.Rejoin(id)
			player.register(id)
		}
	case "expire":
		// It runs on, but does not reach the store.
		fleet.tree.Remove(memberPrefix + id)
		return func() { player.register(id) }
	case "startEmpty":
		onDatabase(func(database *fakeup.Database, isOn bool) { database.IsDown = isOn })
		expiry := player.expireLater(id)
		return func() {
			expiry.Stop()
			fleet.upstream.StartEmpty(id)
			player.register(id)
		}
	case "join":
		fleet.vmsMu.Lock()
		joined := fleet.start()
		fleet.vmsMu.Unlock()
		player.history.callOne(joined)
	case "cut":
		// Only the VM and, of three, no other one can't reach the database.
		return onDatabase(func(database *fakeup.Database, isOn bool) {
			database.UnreachableFrom = map[string]bool{testVM.name: isOn}
		})
	case "deaf":
		return onDatabase(func(database *fakeup.Database, isOn bool) { database.IsReplicationStopped = isOn })
	case "leaving":
		player.registerAs(id, true)
		return func() { player.register(id) }
	case "isolated":
		set := func(isBlocked bool) {
			fleet.network.mu.Lock()
			defer fleet.network.mu.Unlock()
			fleet.network.blocked[testVM.vm.Address] = isBlocked
		}
		set(true)
		return func() { set(false) }
	case "storeCut":
		testVM.store.isCut.Store(true)
		return func() { testVM.store.isCut.Store(false) }
	case "lateOrders":
		fleet.upstream.Delay(scheduled.duration)
		return func() { fleet.upstream.Delay(0) }
	case "killLeader":
		player.replace(player.vms()[0], player.vms()[0].kill, scheduled.duration/8)
	case "stopLeader":
		stopped := player.vms()[0]
		player.replace(stopped, func() { stopped.stop(); <-stopped.done }, 0)
	case "stopVM":
		if testVM != player.vms()[0] {
			player.replace(testVM, func() { testVM.stop(); <-testVM.done }, scheduled.duration/4)
		}
	case "killAll":
		for _, killed := range player.vms() {
			player.replace(killed, killed.kill, scheduled.duration/8)
		}
	case "killAtOrder":
		fleet.upstream.SetOnOrder(func(promo.Order) {
			fleet.upstream.SetOnOrder(nil)
			leader := player.vms()[0]
			player.replace(leader, leader.kill, scheduled.duration/16)
		})
		return func() { fleet.upstream.SetOnOrder(nil) }
	}
	return func() {}
}

// playRounds plays rounds of faults on a fleet with callers, and returns the violations of the
// promises.
func playRounds(t *testing.T, replicas int, rounds [][]scheduled) (violations []string) {
	synctest.Test(t, func(*testing.T) {
		fleet := startFleetOf(3, replicas)
		fleet.upstream.PromotionDuration = 600 * time.Millisecond
		for _, id := range []string{"a", "b", "c"} {
			fleet.upstream.Do(id, func(database *fakeup.Database) { database.Slots = 3 })
		}
		history := fleet.newHistory()
		player := &player{fleet: fleet, history: history, restarting: make(map[int]bool)}
		history.callAll(30*time.Millisecond, 60*time.Millisecond)
		for _, round := range rounds {
			for _, scheduled := range round {
				player.pending.Go(func() {
					time.Sleep(5*time.Second + scheduled.at)
					end := player.begin(scheduled)
					time.Sleep(scheduled.duration)
					end()
				})
			}
			player.pending.Wait()
			time.Sleep(4 * time.Second)
		}
		violations = history.end()
		fleet.close()
		// Late orders, and commits that wait for a replica, come to their end.
		time.Sleep(10 * time.Second)
	})
	return violations
}

// checkRapid checks a property with a seed and a number of checks. -rapid.seed and -rapid.checks
// select others, and more of them.
func checkRapid(t *testing.T, seed, checks int, property func(rt *rapid.T)) {
	t.Helper()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", strconv.Itoa(seed))
		_ = flag.Set("rapid.checks", strconv.Itoa(checks))
		defer func() { _, _ = flag.Set("rapid.seed", "0"), flag.Set("rapid.checks", "100") }()
	}
	_ = flag.Set("rapid.nofailfile", "true")
	rapid.Check(t, property)
}

// LOST, STALE, ONE: whatever faults of databases, VMs, the store and the platform come together
// around a promotion, it loses no acknowledged commit where replication is synchronous, no read
// misses a commit that was acknowledged before it, and no former primary's commit is confirmed.
//
// Seed 9 found ONE when a leader did not know the newest term (case 8 of the review), seed 4 LOST when
// only registered databases had to be sealed (case 6).
func TestPromisesUnderFaults(t *testing.T) {
	for _, test := range []struct{ seed, checks int }{{9, 40}, {4, 25}} {
		t.Run(fmt.Sprintf("seed%d", test.seed), func(t *testing.T) {
			checkRapid(t, test.seed, test.checks, func(rt *rapid.T) {
				replicas := rapid.IntRange(0, 1).Draw(rt, "replicas")
				rounds := rapid.SliceOfN(rapid.Custom(drawRound), 1, 2).Draw(rt, "rounds")
				if violations := playRounds(t, replicas, rounds); len(violations) > 0 {
					var text strings.Builder
					for _, round := range rounds {
						fmt.Fprintln(&text, round)
					}
					rt.Fatalf("%d synchronous replicas, %d violations, the first: %s\n%s", replicas, len(violations), violations[0], text.String())
				}
			})
		})
	}
}
