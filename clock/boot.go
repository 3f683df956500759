package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boot is the machine's clock since its boot. It counts the time that the
// machine was suspended and doesn't follow changes of the time of day, so
// permissions that expire are judged by it.
type Boot struct{}

// Now returns the time since boot as if the boot had been at the Unix epoch.
func (Boot) Now() time.Time {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		panic("CLOCK_BOOTTIME can't be read: " + err.Error())
	}
	return time.Unix(now.Unix())
}

// After waits on the machine's clock.
func (Boot) After(duration time.Duration) <-chan time.Time { return time.After(duration) }
