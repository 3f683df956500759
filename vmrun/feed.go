package vmrun

import (
	"sync"
	"time"

	"github.com/bramleydoor/bramleydoor/duty"
	"github.com/bramleydoor/bramleydoor/grants"
	"github.com/bramleydoor/bramleydoor/store"
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

// isUnread reports whether the prefix was never read.
func (feed *feed) isUnread() bool {
	feed.mu.Lock()
	defer feed.mu.Unlock()
	return feed.asOf.IsZero()
}

func (feed *feed) isOlder(now time.Time, age time.Duration) bool {
	feed.mu.Lock()
	defer feed.mu.Unlock()
	return now.Sub(feed.asOf) > age
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
