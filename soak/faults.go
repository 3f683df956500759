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

// fault is one kind of fault, or of planned work.
type fault struct {
	name string
	// isPlanned marks planned work, which must not affect callers.
	isPlanned bool
	// maxDuration is the longest duration of the fault.
	maxDuration time.Duration
	// apply starts the fault, waits for its duration, and reverts it.
	apply func(ctx context.Context, fleet *fleet, random *rand.Rand, duration time.Duration) error
}

// scheduledFault is a fault with its start, as the time since the start of the run, and
// its duration. The seed is that of the fault's own random choices.
type scheduledFault struct {
	at, duration time.Duration
	fault        fault
	seed         uint64
}

// faultPeriod is the time in which a fault was active.
type faultPeriod struct {
	name      string
	isPlanned bool
	from, to  time.Time
}

var faults = []fault{
	{"stop", true, 0, stopVM},
	{"reload", true, 0, onRandomVM(func(vm *vm) error { _, err := vm.signal(syscall.SIGHUP, false); return err })},
	{"configuration", true, 0, func(_ context.Context, fleet *fleet, _ *rand.Rand, _ time.Duration) error { return fleet.configure() }},
	{"join", true, 0, joinVM},
	{"kill", false, 1500 * time.Millisecond, killVM},
	{"killAll", false, time.Second, killAllVMs},
	{"pause", false, 4 * time.Second, pauseVM},
	{"databaseCrash", false, 5 * time.Second, crashDatabase},
	{"databaseEmpty", false, 5 * time.Second, restartEmpty},
	{"databaseUnregistered", false, 8 * time.Second, cutDatabaseFromStore},
	{"holdersLost", false, 8 * time.Second, loseHolders},
	{"successorLost", false, 6 * time.Second, loseSuccessor},
	{"databaseDark", false, 4 * time.Second, onRandomDatabase(func(fake *fakeup.Database, isOn bool) { fake.IsUnresponsive = isOn })},
	{"databaseDeaf", false, 4 * time.Second, onRandomDatabase(func(fake *fakeup.Database, isOn bool) { fake.IsReplicationStopped = isOn })},
	{"databaseLags", false, 4 * time.Second, onRandomDatabase(func(fake *fakeup.Database, isOn bool) {
		fake.Lag = normalLag
		if isOn {
			fake.Lag = 100 * normalLag
		}
	})},
	{"databaseSlow", false, 4 * time.Second, onRandomDatabase(func(fake *fakeup.Database, isOn bool) {
		fake.StatementDuration = normalStatementDuration
		if isOn {
			fake.StatementDuration = 40 * normalStatementDuration
		}
	})},
	{"answersLost", false, 0, onRandomDatabase(func(fake *fakeup.Database, isOn bool) {
		if isOn {
			fake.AnswersToLose = 8
		}
	})},
	{"databaseStutters", false, 5 * time.Second, onRandomDatabase(func(fake *fakeup.Database, isOn bool) {
		fake.Stutter = normalStutter
		if isOn {
			fake.Stutter.Share *= 10
		}
	})},
	{"databaseBusy", false, 0, onRandomDatabase(func(fake *fakeup.Database, isOn bool) {
		if isOn {
			fake.BusyRefusals = 20
		}
	})},
	{"databaseCut", false, 5 * time.Second, partitionDatabase},
	{"connectionsReset", false, 0, func(_ context.Context, fleet *fleet, random *rand.Rand, _ time.Duration) error {
		return fleet.randomDatabase(random).ResetConnections()
	}},
	{"storeDown", false, 5 * time.Second, onStore(platform.StoreDown)},
	{"storeResets", false, 5 * time.Second, onStore(platform.StoreResets)},
	{"storeSilent", false, 5 * time.Second, onStore(platform.StoreUnresponsive)},
	{"storeSlow", false, 5 * time.Second, onStore(platform.StoreSlow)},
	{"storeLosesAnswers", false, 3 * time.Second, onStore(platform.StoreLosesAnswers)},
	{"storeForgets", false, 0, func(_ context.Context, fleet *fleet, _ *rand.Rand, _ time.Duration) error {
		fleet.store.Tree.DropHistory()
		return nil
	}},
}

const (
	normalLag               = 20 * time.Millisecond
	normalStatementDuration = 5 * time.Millisecond
	// minGap and maxGap are the bounds of the time between the starts of two faults.
	minGap, maxGap = 100 * time.Millisecond, 1800 * time.Millisecond
	// initialDelay is the time from the start of the run to the first fault.
	initialDelay = 2 * time.Second
)

// normalStutter is that of databases between the faults of a run.
var normalStutter = fakeup.Stutter{Share: 0.02, MinDelay: time.Millisecond, MaxDelay: 20 * time.Millisecond}

// hasFaults reports whether a seed has faults. A third of the seeds have planned work only,
// since the guarantees on planned work can be checked only where no fault interferes.
func hasFaults(seed uint64) bool { return seed%3 != 1 }

// newSchedule draws the faults of a run.
func newSchedule(seed uint64, duration time.Duration) []scheduledFault {
	random := rand.New(rand.NewPCG(seed, 1))
	kinds := faults
	if !hasFaults(seed) {
		kinds = slices.DeleteFunc(slices.Clone(faults), func(fault fault) bool { return !fault.isPlanned })
	}
	var schedule []scheduledFault
	for at := initialDelay; at < duration; at += randomDuration(random, minGap, maxGap) {
		kind := kinds[random.IntN(len(kinds))]
		faultDuration := randomDuration(random, kind.maxDuration/20, kind.maxDuration)
		schedule = append(schedule, scheduledFault{at: at, duration: faultDuration, fault: kind, seed: random.Uint64()})
	}
	return schedule
}

// randomDuration returns a duration from minimum up to, but not including, maximum.
func randomDuration(random *rand.Rand, minimum, maximum time.Duration) time.Duration {
	if maximum <= minimum {
		return minimum
	}
	return minimum + time.Duration(random.Int64N(int64(maximum-minimum)))
}

// inject applies the faults at their times, each in its own goroutine since they
// overlap. It returns when all of them are reverted.
func (fleet *fleet) inject(ctx context.Context, schedule []scheduledFault) ([]faultPeriod, error) {
	var mu sync.Mutex
	var periods []faultPeriod
	var applyErr error
	var running sync.WaitGroup
	began := time.Now()
	for _, scheduled := range schedule {
		if !sleep(ctx, scheduled.at-time.Since(began)) {
			break
		}
		running.Go(func() {
			from := time.Now()
			err := scheduled.fault.apply(ctx, fleet, rand.New(rand.NewPCG(scheduled.seed, 2)), scheduled.duration)
			mu.Lock()
			defer mu.Unlock()
			periods = append(periods, faultPeriod{scheduled.fault.name, scheduled.fault.isPlanned, from, time.Now()})
			applyErr = errors.CombineErrors(applyErr, errors.Wrap(err, scheduled.fault.name))
		})
	}
	running.Wait()
	return periods, applyErr
}

// sleep pauses for duration; false if ctx ends first.
func sleep(ctx context.Context, duration time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(duration):
		return true
	}
}

func (fleet *fleet) randomVM(random *rand.Rand) *vm {
	vms := fleet.live()
	return vms[random.IntN(len(vms))]
}

type applyFunc = func(ctx context.Context, fleet *fleet, random *rand.Rand, duration time.Duration) error

// onRandomVM returns a fault that calls act with a random VM.
func onRandomVM(act func(vm *vm) error) applyFunc {
	return func(_ context.Context, fleet *fleet, random *rand.Rand, _ time.Duration) error {
		return act(fleet.randomVM(random))
	}
}

func stopVM(ctx context.Context, fleet *fleet, random *rand.Rand, _ time.Duration) error {
	vm := fleet.randomVM(random)
	if !vm.stopTime().IsZero() {
		return nil
	}
	if err := vm.stopPlanned(ctx); err != nil {
		return err
	}
	return vm.start()
}

// joinVM starts a further VM, if there is one left.
func joinVM(_ context.Context, fleet *fleet, _ *rand.Rand, _ time.Duration) error {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	if len(fleet.joining) == 0 {
		return nil
	}
	joining := fleet.joining[0]
	fleet.joining, fleet.vms = fleet.joining[1:], append(fleet.vms, joining)
	return joining.start()
}

func killVM(ctx context.Context, fleet *fleet, random *rand.Rand, duration time.Duration) error {
	vm := fleet.randomVM(random)
	if err := vm.kill(); err != nil {
		return err
	}
	sleep(ctx, duration)
	return vm.start()
}

func killAllVMs(ctx context.Context, fleet *fleet, _ *rand.Rand, duration time.Duration) error {
	var err error
	for _, vm := range fleet.live() {
		err = errors.CombineErrors(err, vm.kill())
	}
	sleep(ctx, duration)
	for _, vm := range fleet.live() {
		err = errors.CombineErrors(err, vm.start())
	}
	return err
}

func pauseVM(ctx context.Context, fleet *fleet, random *rand.Rand, duration time.Duration) error {
	vm := fleet.randomVM(random)
	if _, err := vm.signal(syscall.SIGSTOP, false); err != nil {
		return err
	}
	sleep(ctx, duration)
	_, err := vm.signal(syscall.SIGCONT, false)
	return err
}

// randomDatabase returns a random database, or in half of the calls the primary of that
// database's group, since it is faults of a primary that lead to a new term.
func (fleet *fleet) randomDatabase(random *rand.Rand) *platform.FakeDatabase {
	database := fleet.databases[random.IntN(len(fleet.databases))]
	if random.IntN(2) == 0 {
		return database
	}
	id := database.Upstream.Primary()
	at := slices.IndexFunc(fleet.databases, func(other *platform.FakeDatabase) bool {
		return other.Upstream == database.Upstream && other.ID == id
	})
	if at < 0 {
		return database
	}
	return fleet.databases[at]
}

func crashDatabase(ctx context.Context, fleet *fleet, random *rand.Rand, duration time.Duration) error {
	database := fleet.randomDatabase(random)
	if err := database.Stop(); err != nil {
		return err
	}
	sleep(ctx, duration)
	database.Upstream.Rejoin(database.ID)
	return database.Start()
}

// restartEmpty stops a database and starts it again without its log.
func restartEmpty(ctx context.Context, fleet *fleet, random *rand.Rand, duration time.Duration) error {
	database := fleet.randomDatabase(random)
	if err := database.Stop(); err != nil {
		return err
	}
	sleep(ctx, duration)
	return database.StartEmpty()
}

// cutDatabaseFromStore lets a database run on without its registration.
func cutDatabaseFromStore(ctx context.Context, fleet *fleet, random *rand.Rand, duration time.Duration) error {
	database := fleet.randomDatabase(random)
	database.CutFromStore(true)
	sleep(ctx, duration)
	database.CutFromStore(false)
	return nil
}

// rejoinDelay is how long a replaced primary continues to act as one after it can
// reach the other databases again. The value is the platform's.
const rejoinDelay = time.Second

// onRandomDatabase returns a fault that calls set with isOn true at its start and false
// at its end. A replaced primary rejoins its group rejoinDelay after that.
func onRandomDatabase(set func(fake *fakeup.Database, isOn bool)) applyFunc {
	return func(ctx context.Context, fleet *fleet, random *rand.Rand, duration time.Duration) error {
		database := fleet.randomDatabase(random)
		database.Upstream.Do(database.ID, func(fake *fakeup.Database) { set(fake, true) })
		sleep(ctx, duration)
		database.Upstream.Do(database.ID, func(fake *fakeup.Database) { set(fake, false) })
		sleep(ctx, rejoinDelay)
		database.Upstream.Rejoin(database.ID)
		return nil
	}
}

// partitionDatabase makes a database time out for each VM with probability 1/2.
func partitionDatabase(ctx context.Context, fleet *fleet, random *rand.Rand, duration time.Duration) error {
	database := fleet.randomDatabase(random)
	id := database.ID
	blocked := make(map[string]bool)
	for _, vm := range fleet.live() {
		blocked[vm.name] = random.IntN(2) == 0
	}
	database.Upstream.Do(id, func(fake *fakeup.Database) { fake.UnreachableFrom = blocked })
	sleep(ctx, duration)
	database.Upstream.Do(id, func(fake *fakeup.Database) { fake.UnreachableFrom = nil })
	sleep(ctx, rejoinDelay)
	database.Upstream.Rejoin(id)
	return nil
}

// onStore returns a fault that sets the store's mode, and resets it at its end.
func onStore(mode platform.StoreMode) applyFunc {
	return func(ctx context.Context, fleet *fleet, _ *rand.Rand, duration time.Duration) error {
		fleet.store.SetMode(mode)
		sleep(ctx, duration)
		fleet.store.SetMode(platform.StoreNormal)
		return nil
	}
}
