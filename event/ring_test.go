package event_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"github.com/bramleydoor/bramleydoor/event"
)

// A full ring drops further lines and counts them, and Write doesn't block. Of 1030 lines
// that are written before Run starts, the ring of 1024 keeps the first 1024, which Run
// writes out even though its context is done.
func TestFullRingDropsLines(t *testing.T) {
	c := qt.New(t)
	var out bytes.Buffer
	ring := event.NewRing(&out)
	for range 1030 {
		_, err := ring.Write([]byte("x"))
		c.Assert(err, qt.IsNil)
	}
	c.Assert(ring.Dropped(), qt.Equals, int64(6))
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	c.Assert(ring.Run(ctx), qt.IsNil)
	c.Assert(out.Len(), qt.Equals, 1024)
}

// Of 100 lines of one event within a second, 40 are written and 60 suppressed; another
// event is not affected. The next line of the event in a later second is preceded by one
// that reports the number suppressed.
func TestLineRateIsLimited(t *testing.T) {
	c := qt.New(t)
	var out bytes.Buffer
	logger := logrus.New()
	logger.SetOutput(&out)
	log := event.NewLog(logger, "vm1")
	now := time.Unix(1000, 0)
	log.Now = func() time.Time { return now }
	for range 100 {
		log.Write(event.RequestRefused, nil)
	}
	log.Write(event.StoreRecovered, nil)
	c.Assert(strings.Count(out.String(), "event=2005"), qt.Equals, 40)
	c.Assert(strings.Count(out.String(), "event=4004"), qt.Equals, 1)
	now = now.Add(time.Second)
	log.Write(event.RequestRefused, nil)
	c.Assert(strings.Count(out.String(), "event=2005"), qt.Equals, 41)
	c.Assert(out.String(), qt.Contains, "count=60 event=1005 of=2005")
}

// A request ID with line breaks or bytes that are not UTF-8 doesn't break its line into several,
// and one of 1 MiB doesn't make the line too long for readers of the log: ended by its length, they
// would miss all lines after it.
func TestFieldsOfCallersStayOneShortLine(t *testing.T) {
	c := qt.New(t)
	var out bytes.Buffer
	logger := logrus.New()
	logger.SetOutput(&out)
	logger.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	log := event.NewLog(logger, "vm1")
	fields := event.Fields{"request": "a\r\nb\x00\xff\u2028{", "attempt": 1}
	log.Write(event.RequestRefused, fields)
	fields["request"] = strings.Repeat("\x00", 1<<20)
	log.Write(event.RequestRefused, fields)
	c.Assert(fields["request"], qt.HasLen, 1<<20)
	log.Write(event.StoreRecovered, nil)
	lines := strings.SplitAfter(out.String(), "\n")
	c.Assert(lines, qt.HasLen, 4)
	c.Assert(lines[3], qt.Equals, "")
	var parsed struct {
		Request string
		Attempt int
	}
	c.Assert(json.Unmarshal([]byte(lines[0]), &parsed), qt.IsNil)
	c.Assert(parsed.Request, qt.Equals, "a\r\nb\x00\ufffd\u2028{")
	c.Assert(json.Unmarshal([]byte(lines[1]), &parsed), qt.IsNil)
	c.Assert(parsed.Attempt, qt.Equals, 1)
	c.Assert(strings.HasSuffix(parsed.Request, "\x00... (1048576 bytes)"), qt.IsTrue)
	c.Assert(len(lines[1]) < 1<<15, qt.IsTrue)
}

// Write on a nil log does nothing and does not panic.
func TestNilLogWritesNothing(_ *testing.T) {
	var log *event.Log
	log.Write(event.StoreRecovered, nil)
}

// BenchmarkLine measures the cost of one log line: formatted and passed to a ring, which
// drops it once it is full, since Run is not called; suppressed by the rate limit; and
// with a nil log.
func BenchmarkLine(b *testing.B) {
	fields := func(i int) event.Fields {
		return event.Fields{
			"request": "5c0e7a21d94b36f8", "group": "ledger", "slot": "i-7f3a91c2", "reason": "lagging",
			"dispatch": "known", "attempt": i % 3, "afterMs": i % 100,
		}
	}
	newLog := func(now func() time.Time) *event.Log {
		logger := logrus.New()
		logger.SetOutput(event.NewRing(io.Discard))
		logger.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
		log := event.NewLog(logger, "vm1")
		log.Now = now
		return log
	}
	start := time.Unix(1000, 0)
	for name, log := range map[string]*event.Log{
		"written": newLog(nil),
		"beyond":  newLog(func() time.Time { return start }),
		"off":     nil,
	} {
		b.Run(name, func(b *testing.B) {
			for i := range b.N {
				log.Write(event.RequestRetried, fields(i))
			}
		})
	}
}
