package soak

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bramleydoor/bramleydoor/fakeup"
	"github.com/bramleydoor/bramleydoor/platform"
)

// fault is one kind of trouble.
type fault struct {
	name string
	// isPlanned says that callers must not notice it.
	isPlanned bool
	// longest bounds how long it lasts.
	longest time.Duration
	// apply makes it, waits for as long as it lasts, and undoes it.
	apply func(ctx context.Context, fleet *fleet, pick *rand.Rand, lasts time.Duration) error
}

// event is a fault at a time; it has random choices of its own.
type event struct {
	at, lasts time.Duration
	fault     fault
	seed      uint64
}

// span is when a fault was active.
type span struct {
	name      string
	isPlanned bool
	from, to  time.Time
}

var faults = []fault{
	{"stop", true, 0, stopOne},
	{"reload", true, 0, onOne(func(vm *vm) error { _, err := vm.signal(syscall.SIGHUP, false); return err })},
	{"configuration", true, 0, func(_ context.Context, fleet *fleet, _ *rand.Rand, _ time.Duration) error { return fleet.configure() }},
	{"kill", false, 1500 * time.Millisecond, killOne},
	{"killAll", false, time.Second, killAll},
	{"pause", false, 4 * time.Second, pauseOne},
	{"databaseCrash", false, 5 * time.Second, crash},
	{"databaseDark", false, 4 * time.Second, onDatabase(func(stand *fakeup.Database, isOn bool) { stand.IsDark = isOn })},
	{"databaseDeaf", false, 4 * time.Second, onDatabase(func(stand *fakeup.Database, isOn bool) { stand.IsDeaf = isOn })},
	{"databaseLags", false, 4 * time.Second, onDatabase(func(stand *fakeup.Database, isOn bool) {
		stand.Lag = usualLag
		if isOn {
			stand.Lag = 100 * usualLag
		}
	})},
	{"databaseSlow", false, 4 * time.Second, onDatabase(func(stand *fakeup.Database, isOn bool) {
		stand.Work = usualWork
		if isOn {
			stand.Work = 40 * usualWork
		}
	})},
	{"answersLost", false, 0, onDatabase(func(stand *fakeup.Database, isOn bool) {
		if isOn {
			stand.LoseAnswers = 8
		}
	})},
	{"databaseBusy", false, 0, onDatabase(func(stand *fakeup.Database, isOn bool) {
		if isOn {
			stand.RefuseBusy = 20
		}
	})},
	{"databaseCut", false, 5 * time.Second, cutDatabase},
	{"connectionsReset", false, 0, func(_ context.Context, fleet *fleet, pick *rand.Rand, _ time.Duration) error {
		return fleet.anyDatabase(pick).ResetAll()
	}},
	{"storeDown", false, 5 * time.Second, onStore(platform.StoreDown)},
	{"storeResets", false, 5 * time.Second, onStore(platform.StoreResets)},
	{"storeSilent", false, 5 * time.Second, onStore(platform.StoreSilent)},
	{"storeSlow", false, 5 * time.Second, onStore(platform.StoreSlow)},
	{"storeLosesAnswers", false, 3 * time.Second, onStore(platform.StoreLosesAnswers)},
	{"storeForgets", false, 0, func(_ context.Context, fleet *fleet, _ *rand.Rand, _ time.Duration) error {
		fleet.store.Tree.Forget()
		return nil
	}},
}

const (
	usualLag  = 20 * time.Millisecond
	usualWork = 5 * time.Millisecond
	// leastGap and mostGap bound the pause between two faults.
	leastGap, mostGap = 100 * time.Millisecond, 1800 * time.Millisecond
	// calmStart is how long no fault comes.
	calmStart = 2 * time.Second
)

// plan draws the faults of a run. A third of the seeds have planned work only, so
// that what it must not break is seen without other trouble.
func plan(seed uint64, duration time.Duration) []event {
	pick := rand.New(rand.NewPCG(seed, 1))
	kinds := faults
	if seed%3 == 1 {
		kinds = slices.DeleteFunc(slices.Clone(faults), func(fault fault) bool { return !fault.isPlanned })
	}
	var events []event
	for at := calmStart; at < duration; at += between(pick, leastGap, mostGap) {
		kind := kinds[pick.IntN(len(kinds))]
		lasts := between(pick, kind.longest/20, kind.longest)
		events = append(events, event{at: at, lasts: lasts, fault: kind, seed: pick.Uint64()})
	}
	return events
}

func between(pick *rand.Rand, least, most time.Duration) time.Duration {
	if most <= least {
		return least
	}
	return least + time.Duration(pick.Int64N(int64(most-least)))
}

// inject makes all faults, each on its own, since they overlap.
func (fleet *fleet) inject(ctx context.Context, events []event) ([]span, error) {
	var mu sync.Mutex
	var spans []span
	var failed error
	var running sync.WaitGroup
	began := time.Now()
	for _, next := range events {
		if !sleep(ctx, next.at-time.Since(began)) {
			break
		}
		running.Go(func() {
			from := time.Now()
			err := next.fault.apply(ctx, fleet, rand.New(rand.NewPCG(next.seed, 2)), next.lasts)
			mu.Lock()
			defer mu.Unlock()
			spans = append(spans, span{next.fault.name, next.fault.isPlanned, from, time.Now()})
			failed = errors.CombineErrors(failed, errors.Wrap(err, next.fault.name))
		})
	}
	running.Wait()
	return spans, failed
}

// sleep waits; false if the run is over before.
func sleep(ctx context.Context, duration time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(duration):
		return true
	}
}

func (fleet *fleet) anyVM(pick *rand.Rand) *vm { return fleet.vms[pick.IntN(len(fleet.vms))] }

type apply = func(ctx context.Context, fleet *fleet, pick *rand.Rand, lasts time.Duration) error

func onOne(act func(vm *vm) error) apply {
	return func(_ context.Context, fleet *fleet, pick *rand.Rand, _ time.Duration) error {
		return act(fleet.anyVM(pick))
	}
}

func stopOne(ctx context.Context, fleet *fleet, pick *rand.Rand, _ time.Duration) error {
	vm := fleet.anyVM(pick)
	if !vm.stopping().IsZero() {
		return nil
	}
	if err := vm.stopPlanned(ctx); err != nil {
		return err
	}
	return vm.start()
}

func killOne(ctx context.Context, fleet *fleet, pick *rand.Rand, lasts time.Duration) error {
	vm := fleet.anyVM(pick)
	if err := vm.kill(); err != nil {
		return err
	}
	sleep(ctx, lasts)
	return vm.start()
}

func killAll(ctx context.Context, fleet *fleet, _ *rand.Rand, lasts time.Duration) error {
	var err error
	for _, vm := range fleet.vms {
		err = errors.CombineErrors(err, vm.kill())
	}
	sleep(ctx, lasts)
	for _, vm := range fleet.vms {
		err = errors.CombineErrors(err, vm.start())
	}
	return err
}

func pauseOne(ctx context.Context, fleet *fleet, pick *rand.Rand, lasts time.Duration) error {
	vm := fleet.anyVM(pick)
	if _, err := vm.signal(syscall.SIGSTOP, false); err != nil {
		return err
	}
	sleep(ctx, lasts)
	_, err := vm.signal(syscall.SIGCONT, false)
	return err
}

// anyDatabase returns a primary half of the time: its faults are the ones that
// move terms.
func (fleet *fleet) anyDatabase(pick *rand.Rand) *platform.StandDatabase {
	database := fleet.databases[pick.IntN(len(fleet.databases))]
	if pick.IntN(2) == 0 {
		return database
	}
	id := database.Upstream.Primary()
	at := slices.IndexFunc(fleet.databases, func(other *platform.StandDatabase) bool {
		return other.Upstream == database.Upstream && other.ID == id
	})
	if at < 0 {
		return database
	}
	return fleet.databases[at]
}

func crash(ctx context.Context, fleet *fleet, pick *rand.Rand, lasts time.Duration) error {
	database := fleet.anyDatabase(pick)
	if err := database.Stop(); err != nil {
		return err
	}
	sleep(ctx, lasts)
	database.Upstream.Rejoin(database.ID)
	return database.Start()
}

// rejoinAfter is how long a primary that was replaced goes on once it reaches the
// others again; the platform's value.
const rejoinAfter = time.Second

func onDatabase(set func(stand *fakeup.Database, isOn bool)) apply {
	return func(ctx context.Context, fleet *fleet, pick *rand.Rand, lasts time.Duration) error {
		database := fleet.anyDatabase(pick)
		database.Upstream.Do(database.ID, func(stand *fakeup.Database) { set(stand, true) })
		sleep(ctx, lasts)
		database.Upstream.Do(database.ID, func(stand *fakeup.Database) { set(stand, false) })
		sleep(ctx, rejoinAfter)
		database.Upstream.Rejoin(database.ID)
		return nil
	}
}

// cutDatabase cuts a database off from some VMs.
func cutDatabase(ctx context.Context, fleet *fleet, pick *rand.Rand, lasts time.Duration) error {
	database := fleet.anyDatabase(pick)
	id := database.ID
	cut := make(map[string]bool)
	for _, vm := range fleet.vms {
		cut[vm.name] = pick.IntN(2) == 0
	}
	database.Upstream.Do(id, func(stand *fakeup.Database) { stand.CutFrom = cut })
	sleep(ctx, lasts)
	database.Upstream.Do(id, func(stand *fakeup.Database) { stand.CutFrom = nil })
	sleep(ctx, rejoinAfter)
	database.Upstream.Rejoin(id)
	return nil
}

func onStore(mode platform.StoreMode) apply {
	return func(ctx context.Context, fleet *fleet, _ *rand.Rand, lasts time.Duration) error {
		fleet.store.Set(mode)
		sleep(ctx, lasts)
		fleet.store.Set(platform.StoreServes)
		return nil
	}
}
