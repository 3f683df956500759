package soak

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bramleydoor/bramleydoor/fakeup"
	"github.com/bramleydoor/bramleydoor/platform"
)

// roles returns the databases of a random group: its primary, and two replicas.
func (fleet *fleet) roles(random *rand.Rand) (primary, deaf, other *platform.FakeDatabase) {
	upstream := fleet.databases[random.IntN(len(fleet.databases))].Upstream
	var replicas []*platform.FakeDatabase
	for _, database := range fleet.databases {
		switch {
		case database.Upstream != upstream:
		case database.ID == upstream.Primary():
			primary = database
		default:
			replicas = append(replicas, database)
		}
	}
	random.Shuffle(len(replicas), func(i, j int) { replicas[i], replicas[j] = replicas[j], replicas[i] })
	if primary == nil {
		return nil, nil, nil
	}
	return primary, replicas[0], replicas[1]
}

func setDeaf(database *platform.FakeDatabase, isDeaf bool) {
	database.Upstream.Do(database.ID, func(fake *fakeup.Database) { fake.IsReplicationStopped = isDeaf })
}

// loseHolders stops the primary and the only replica that receives, for long enough that their
// registrations expire, after one VM has stopped as planned. Where replication is synchronous, only
// these databases have the commits of the last seconds.
func loseHolders(ctx context.Context, fleet *fleet, random *rand.Rand, duration time.Duration) error {
	primary, deaf, other := fleet.roles(random)
	if primary == nil {
		return nil
	}
	setDeaf(deaf, true)
	defer setDeaf(deaf, false)
	sleep(ctx, duration/8)
	err := stopVM(ctx, fleet, random, 0)
	for _, database := range []*platform.FakeDatabase{primary, other} {
		err = errors.CombineErrors(err, database.Stop())
	}
	sleep(ctx, duration)
	for _, database := range []*platform.FakeDatabase{primary, other} {
		database.Upstream.Rejoin(database.ID)
		err = errors.CombineErrors(err, database.Start())
	}
	return err
}

// loseSuccessor cuts the primary off from half of the VMs, and once another database has been promoted,
// stops that together with the processes of all VMs. The replica that is left has received nothing
// meanwhile, and the former primary is reachable again.
func loseSuccessor(ctx context.Context, fleet *fleet, random *rand.Rand, duration time.Duration) error {
	primary, deaf, other := fleet.roles(random)
	if primary == nil {
		return nil
	}
	setDeaf(deaf, true)
	defer setDeaf(deaf, false)
	blocked := make(map[string]bool)
	for _, vm := range fleet.live() {
		blocked[vm.name] = random.IntN(2) == 0
	}
	setBlocked := func(blocked map[string]bool) {
		primary.Upstream.Do(primary.ID, func(fake *fakeup.Database) { fake.UnreachableFrom = blocked })
	}
	setBlocked(blocked)
	for range 60 {
		if primary.Upstream.Primary() == other.ID || !sleep(ctx, duration/120) {
			break
		}
	}
	sleep(ctx, duration/6)
	if primary.Upstream.Primary() != other.ID {
		setBlocked(nil)
		return nil
	}
	err := errors.CombineErrors(other.Stop(), killAllVMs(ctx, fleet, random, duration/20))
	setBlocked(nil)
	sleep(ctx, duration/2)
	err = errors.CombineErrors(err, other.Start())
	sleep(ctx, rejoinDelay)
	primary.Upstream.Rejoin(primary.ID)
	return err
}
