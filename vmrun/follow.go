package vmrun

import (
	"context"
	"encoding/json"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bramleydoor/bramleydoor/dbset"
	"github.com/bramleydoor/bramleydoor/duty"
	"github.com/bramleydoor/bramleydoor/event"
	"github.com/bramleydoor/bramleydoor/grants"
	"github.com/bramleydoor/bramleydoor/store"
)

const (
	// keeperWait is how long a keeper's watch waits; the store counts each as a
	// call. A watch that has fallen silent is found out only by its end, and a
	// configuration has to be in force 3 s after its acceptance.
	keeperWait = 1300 * time.Millisecond
	// followWait is how long the watches of VMs wait that hear no keeper.
	followWait = 1800 * time.Millisecond
	// configAge and memberAge are how old a VM's knowledge of the configuration
	// and of the registrations may be before it asks the store itself.
	configAge = 1900 * time.Millisecond
	memberAge = 3500 * time.Millisecond
	// gapAge is how old the knowledge must be for the store to have been down
	// meanwhile: longer than a watch.
	gapAge = 2200 * time.Millisecond
	// unknownAge stands for that of a prefix which was never read.
	unknownAge = time.Hour
	// feedLook is how often a VM that goes by its keeper's news looks at them.
	feedLook = 100 * time.Millisecond
	// storePause is the pause after a call of the store that failed. The
	// configuration has to be in force within seconds of the store's return.
	storePause = 400 * time.Millisecond
	// vmsEvery is how often the list of VMs is read, lineEvery how often a VM
	// writes its line.
	vmsEvery  = 4 * time.Second
	lineEvery = 6 * time.Second
	// provesFor is how long after that replicas' reports may stand for a keeper's
	// grant, and vmLapses how long keepers count with the VM: longer. Both outlast
	// a loss of the store; a VM that died costs failovers EvidenceFor until then.
	provesFor = 20 * time.Second
	vmLapses  = 25 * time.Second
	// knownFor is how long the first line must stand before: keepers have read it
	// by then.
	knownFor = vmsEvery + time.Second
	// lingers is how long a database whose registration ended is kept as leaving.
	lingers = 3 * time.Second
	// settles is how long after the store's return a registration may be missing
	// though its database lives: those that lapsed are back within two seconds.
	settles = 2300 * time.Millisecond
	// sweepEvery is how often databases that are gone, and idle connections, are
	// dropped.
	sweepEvery = 200 * time.Millisecond
	// vmPrefix is where VMs write their lines.
	vmPrefix = "bramley/vms/"
)

// feed is how far the VM follows one prefix of the store.
type feed struct {
	prefix string
	// maxAge is how old the knowledge may be.
	maxAge time.Duration
	read   func([]store.Item)
	change func(store.Change)

	mu sync.Mutex
	// covered is the revision up to which all is known, changed that of the last
	// change, asOf when that was so.
	covered uint64
	changed uint64
	asOf    time.Time
	// hinted is the last change that the keeper told of.
	hinted uint64
}

func (feed *feed) cover(changed, covered uint64, now time.Time) {
	feed.mu.Lock()
	defer feed.mu.Unlock()
	feed.changed, feed.covered, feed.asOf = max(feed.changed, changed), max(feed.covered, covered), now
}

// hear takes a keeper's news, asked for at a time.
func (feed *feed) hear(news grants.Feed, asked time.Time) {
	feed.mu.Lock()
	defer feed.mu.Unlock()
	feed.hinted = max(feed.hinted, news.Changed)
	age := max(time.Duration(news.AgeMS)*time.Millisecond, 0)
	if asOf := asked.Add(-age); feed.hinted <= feed.covered && asOf.After(feed.asOf) {
		feed.asOf = asOf
	}
}

func (feed *feed) tell(now time.Time) grants.Feed {
	feed.mu.Lock()
	defer feed.mu.Unlock()
	age := min(now.Sub(feed.asOf), unknownAge)
	return grants.Feed{Changed: feed.changed, AgeMS: age.Milliseconds() + 1}
}

// isBehind reports whether the keeper told of a change that is not known yet.
func (feed *feed) isBehind() bool {
	feed.mu.Lock()
	defer feed.mu.Unlock()
	return feed.hinted > feed.covered
}

func (feed *feed) isOlder(now time.Time, age time.Duration) bool {
	feed.mu.Lock()
	defer feed.mu.Unlock()
	return now.Sub(feed.asOf) > age
}

// follow reads a prefix and then all its changes.
func (vm *VM) follow(ctx context.Context, feed *feed) error {
	vm.members.storeIsBack(vm.Clock.Now())
	isFailing := false
	for ctx.Err() == nil {
		err := vm.followOnce(ctx, feed, func() {
			if isFailing {
				vm.Log.Write(event.StoreBack, event.Fields{"prefix": feed.prefix})
				vm.members.storeIsBack(vm.Clock.Now())
				isFailing = false
			}
		})
		if err == nil || errors.Is(err, store.ErrForgotten) {
			continue
		}
		if !isFailing && ctx.Err() == nil {
			vm.Log.Write(event.StoreFailing, event.Fields{"prefix": feed.prefix, "error": err.Error()})
			isFailing = true
		}
		select {
		case <-ctx.Done():
		case <-vm.Clock.After(vm.storePause()):
		}
	}
	return nil
}

// followOnce reads the prefix and follows it until the keeper tells of a change
// that a watch has not shown, or a call fails.
func (vm *VM) followOnce(ctx context.Context, feed *feed, answered func()) error {
	items, revision, err := vm.Store.Range(ctx, feed.prefix, false)
	if err != nil {
		return err
	}
	answered()
	vm.doubtAfterGap(feed)
	feed.read(items)
	var changed uint64
	for _, item := range items {
		changed = max(changed, item.Revision)
	}
	feed.cover(changed, revision, vm.Clock.Now())
	for {
		if !vm.awaitNeed(ctx, feed) {
			return ctx.Err()
		}
		changes, next, err := vm.Store.Follow(ctx, feed.prefix, revision, vm.watchWait())
		if err != nil {
			return err
		}
		vm.doubtAfterGap(feed)
		changed = 0
		for _, one := range changes {
			feed.change(one)
			changed = max(changed, one.Revision)
		}
		revision = max(revision, next)
		feed.cover(changed, revision, vm.Clock.Now())
	}
}

// doubtAfterGap doubts registrations that end while nobody has told how the store
// is: it may have been down.
func (vm *VM) doubtAfterGap(feed *feed) {
	if now := vm.Clock.Now(); feed.isOlder(now, gapAge) {
		vm.members.storeIsBack(now)
	}
}

// awaitNeed waits until the VM has to watch the store itself: as the keeper, or
// when the keeper's news are too old. It returns false when the prefix has to be
// read at once.
func (vm *VM) awaitNeed(ctx context.Context, feed *feed) bool {
	for {
		if feed.isBehind() {
			return false
		}
		if vm.IsKeeper() || feed.isOlder(vm.Clock.Now(), feed.maxAge) {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-vm.Clock.After(feedLook):
		}
	}
}

func (vm *VM) watchWait() time.Duration {
	if vm.IsKeeper() {
		return keeperWait
	}
	return followWait
}

// tell and hear pass on how far the store is followed.
func (vm *VM) tell() grants.News {
	now := vm.Clock.Now()
	revision, age := vm.duty.Told()
	return grants.News{
		Feeds:        []grants.Feed{vm.configFeed.tell(now), vm.memberFeed.tell(now)},
		DutyRevision: revision, DutyAgeMS: age.Milliseconds(),
	}
}

func (vm *VM) hear(news grants.News, from grants.Keeper, asked time.Time) {
	for i, feed := range []*feed{vm.configFeed, vm.memberFeed} {
		if i < len(news.Feeds) {
			feed.hear(news.Feeds[i], asked)
		}
	}
	now := vm.Clock.Now()
	vm.vms.heard(news.VMs, now)
	vm.duty.Heard(duty.Note{
		Holder: from.VM, Token: from.Token, Revision: news.DutyRevision,
		At: now.Add(-time.Duration(news.DutyAgeMS) * time.Millisecond),
	})
}

// storePause is shorter while the VM knows no configuration and serves nobody.
func (vm *VM) storePause() time.Duration {
	if vm.config.Load() == nil {
		return storePause / 4
	}
	return storePause
}

// newConfigFeed follows the operators' configuration.
func (vm *VM) newConfigFeed() *feed {
	offer := func(item store.Item) {
		if item.Key != vm.ConfigKey {
			return
		}
		next, err := vm.DecodeConfig(item.Value)
		if err != nil {
			vm.Log.Write(event.ConfigRefused, event.Fields{"revision": item.Revision, "error": err.Error()})
			return
		}
		if vm.config.Offer(next) {
			vm.Log.Write(event.ConfigApplied, event.Fields{"number": next.Version})
			vm.rearrange()
		}
	}
	return &feed{
		prefix: vm.ConfigKey, maxAge: configAge,
		read: func(items []store.Item) {
			for _, item := range items {
				offer(item)
			}
		},
		change: func(change store.Change) {
			if !change.IsRemoved {
				offer(change.Item)
			}
		},
	}
}

// members are the registrations as the store has them.
type members struct {
	mu    sync.Mutex
	known map[string]registered
	// backAt is when the store came back last, or the VM started.
	backAt time.Time
}

type registered struct {
	member dbset.Member
	// endedAt is when the registration ended, for sure; zero if it stands. It
	// may lie ahead, while the database may only have lapsed.
	endedAt time.Time
}

func (members *members) storeIsBack(now time.Time) {
	members.mu.Lock()
	defer members.mu.Unlock()
	members.backAt = now
}

// isSettled reports whether a database without a registration is gone.
func (members *members) isSettled(now time.Time) bool {
	members.mu.Lock()
	defer members.mu.Unlock()
	return now.Sub(members.backAt) >= settles
}

// newMemberFeed follows the registrations of databases.
func (vm *VM) newMemberFeed() *feed {
	read := func(items []store.Item) {
		vm.members.mu.Lock()
		found := make(map[string]bool, len(items))
		for _, item := range items {
			found[item.Key] = true
			vm.register(item)
		}
		for key := range vm.members.known {
			if !found[key] {
				vm.members.end(key, vm.Clock.Now())
			}
		}
		vm.members.mu.Unlock()
		vm.rearrange()
	}
	change := func(change store.Change) {
		vm.members.mu.Lock()
		if change.IsRemoved {
			vm.members.end(change.Key, vm.Clock.Now())
		} else {
			vm.register(change.Item)
		}
		vm.members.mu.Unlock()
		vm.rearrange()
	}
	return &feed{prefix: vm.MemberPrefix, maxAge: memberAge, read: read, change: change}
}

// register takes a registration. One that can't be read names no database.
func (vm *VM) register(item store.Item) {
	member, err := vm.DecodeMember(item.Key, item.Value)
	if err != nil {
		vm.Log.Write(event.EntryIgnored, event.Fields{"key": item.Key, "error": err.Error()})
		return
	}
	if vm.members.known == nil {
		vm.members.known = make(map[string]registered)
	}
	vm.members.known[item.Key] = registered{member: member}
}

func (members *members) end(key string, now time.Time) {
	known, ok := members.known[key]
	if !ok || !known.endedAt.IsZero() {
		return
	}
	known.endedAt = now
	if settled := members.backAt.Add(settles); settled.After(now) {
		known.endedAt = settled
	}
	members.known[key] = known
	members.leave(key, now)
}

// leave marks a database as leaving once its registration has ended.
func (members *members) leave(key string, now time.Time) bool {
	known := members.known[key]
	if known.member.Leaving || known.endedAt.IsZero() || known.endedAt.After(now) {
		return false
	}
	known.member.Leaving = true
	members.known[key] = known
	return true
}

// sweepMembers drops databases whose registration has ended for good.
func (vm *VM) sweepMembers(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-vm.Clock.After(sweepEvery):
		}
		vm.links.Trim()
		vm.summarize()
		if vm.members.sweep(vm.Clock.Now()) {
			vm.rearrange()
		}
	}
}

func (members *members) sweep(now time.Time) bool {
	members.mu.Lock()
	defer members.mu.Unlock()
	var isChanged bool
	for key, known := range members.known {
		isChanged = members.leave(key, now) || isChanged
		if !known.endedAt.IsZero() && now.Sub(known.endedAt) > lingers {
			delete(members.known, key)
			isChanged = true
		}
	}
	return isChanged
}

// all returns the members, by group.
func (members *members) all() ([]dbset.Member, map[string][]dbset.Member) {
	members.mu.Lock()
	defer members.mu.Unlock()
	all := make([]dbset.Member, 0, len(members.known))
	byGroup := make(map[string][]dbset.Member)
	for _, known := range members.known {
		all = append(all, known.member)
		byGroup[known.member.Group] = append(byGroup[known.member.Group], known.member)
	}
	return all, byGroup
}

// vms is how many VMs share the databases' connections.
type vms struct {
	mu    sync.Mutex
	lines map[string]line
	// told is how many a keeper told of, at toldAt.
	told   int
	toldAt time.Time
	// writtenAt is when the VM's own line was last written, firstAt first.
	writtenAt, firstAt time.Time
}

// vmLine is a VM's line in the store.
type vmLine struct {
	Zone    string `json:"zone"`
	HasLeft bool   `json:"hasLeft,omitempty"`
}

type line struct {
	revision uint64
	// seenAt is when the line last changed.
	seenAt time.Time
}

// names returns the VMs known.
func (vms *vms) names() []string {
	vms.mu.Lock()
	defer vms.mu.Unlock()
	names := make([]string, 0, len(vms.lines))
	for key := range vms.lines {
		names = append(names, strings.TrimPrefix(key, vmPrefix))
	}
	return names
}

// mayProve reports whether keepers count with this VM, so that replicas' reports
// may stand for a grant.
func (vms *vms) mayProve(now time.Time) bool {
	vms.mu.Lock()
	defer vms.mu.Unlock()
	return !vms.firstAt.IsZero() && now.Sub(vms.firstAt) > knownFor && now.Sub(vms.writtenAt) < provesFor
}

func (vms *vms) wrote(at time.Time) {
	vms.mu.Lock()
	defer vms.mu.Unlock()
	if at.Sub(vms.writtenAt) > vmLapses {
		vms.firstAt = at
	}
	vms.writtenAt = at
}

// count returns how many VMs are there as far as known.
func (vms *vms) count(now time.Time) int {
	vms.mu.Lock()
	defer vms.mu.Unlock()
	if vms.told > 0 && now.Sub(vms.toldAt) < vmsEvery {
		return vms.told
	}
	return len(vms.lines)
}

func (vms *vms) heard(count int, now time.Time) {
	vms.mu.Lock()
	defer vms.mu.Unlock()
	vms.told, vms.toldAt = count, now
}

func (vms *vms) saw(items []store.Item, now time.Time) {
	vms.mu.Lock()
	defer vms.mu.Unlock()
	next := make(map[string]line, len(items))
	for _, item := range items {
		known, ok := vms.lines[item.Key]
		if !ok || known.revision != item.Revision {
			known = line{revision: item.Revision, seenAt: now}
		}
		var text vmLine
		hasLeft := json.Unmarshal(item.Value, &text) == nil && text.HasLeft
		if !hasLeft && now.Sub(known.seenAt) <= vmLapses {
			next[item.Key] = known
		}
	}
	vms.lines = next
}

// followVMs writes the VM's own line now and then and reads all.
func (vm *VM) followVMs(ctx context.Context) error {
	value, err := json.Marshal(vmLine{Zone: vm.Zone})
	if err != nil {
		return err
	}
	var own store.Item
	var next time.Time
	for {
		if now := vm.Clock.Now(); !now.Before(next) {
			item, err := vm.Store.Swap(ctx, vmPrefix+vm.id(), value, own.Revision)
			if err == nil || errors.Is(err, store.ErrConflict) {
				own = item
			}
			if err == nil {
				vm.vms.wrote(now)
				next = now.Add(lineEvery)
			}
		}
		if items, _, err := vm.Store.Range(ctx, vmPrefix, true); err == nil {
			vm.vms.saw(items, vm.Clock.Now())
		}
		select {
		case <-ctx.Done():
			return vm.leaveList(own.Revision)
		case <-vm.Clock.After(vmsEvery):
		}
	}
}

// leaveList tells the others that the VM has ended.
func (vm *VM) leaveList(revision uint64) error {
	value, err := json.Marshal(vmLine{Zone: vm.Zone, HasLeft: true})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if _, err := vm.Store.Swap(ctx, vmPrefix+vm.id(), value, revision); err != nil {
		vm.Log.Write(event.StoreFailing, event.Fields{"prefix": vmPrefix, "error": err.Error()})
	}
	return nil
}
