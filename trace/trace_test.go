package trace_test

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/bramleydoor/bramleydoor/trace"
)

// The replay of every recorded trace gives the expected outcomes.
func TestTraces(t *testing.T) {
	names, err := filepath.Glob("testdata/*.jsonl")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, len(names) > 0, qt.IsTrue)
	for _, name := range names {
		t.Run(filepath.Base(name), func(t *testing.T) {
			text, err := os.ReadFile(name)
			qt.Assert(t, err, qt.IsNil)
			steps, err := trace.Decode(bytes.NewReader(text))
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, trace.Replay(steps), qt.HasLen, 0)
		})
	}
}

// Replay reports an unmet expectation with its step, and Decode names a malformed line.
func TestMismatch(t *testing.T) {
	c := qt.New(t)
	steps, err := trace.Decode(bytes.NewReader([]byte("{\"group\": {\"slots\": 3}}\n\n{\"note\": \"nothing yet\", \"expectPrimary\": {\"slot\": \"a\"}}")))
	c.Assert(err, qt.IsNil)
	mismatches := trace.Replay(steps)
	c.Assert(mismatches, qt.HasLen, 1)
	c.Assert(mismatches[0].String(), qt.Equals, "step 2 (nothing yet): want a, got ")
	_, err = trace.Decode(bytes.NewReader([]byte("{}\n{\"atMs\": \"soon\"}")))
	c.Assert(err, qt.ErrorMatches, "line 2: .*")
}

// Replay does not panic on a trace that Decode accepts.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"atMs": 1, "report": {"slot": "a", "sealed": 1}}`))
	f.Add([]byte(`{"group": {"slots": -3}}`))
	f.Fuzz(func(_ *testing.T, text []byte) {
		steps, err := trace.Decode(bytes.NewReader(text))
		if err == nil {
			trace.Replay(steps)
		}
	})
}
