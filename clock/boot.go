package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boot is the machine's clock since its boot (CLOCK_BOOTTIME). It includes the time
// that the machine was suspended and is unaffected by changes of the wall clock, so
// the expiry of leases is checked with it.
type Boot struct{}

// Now returns the time since boot, as a time after the Unix epoch. It panics if the
// clock can't be read.
func (Boot) Now() time.Time {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		panic("clock_gettime(CLOCK_BOOTTIME) failed: " + err.Error())
	}
	return time.Unix(now.Unix())
}

// After returns a channel that receives the time once duration has passed. Unlike Now,
// its timer doesn't count the time that the machine was suspended.
func (Boot) After(duration time.Duration) <-chan time.Time { return time.After(duration) }
