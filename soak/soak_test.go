package soak_test

import (
	"encoding/json"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bramleydoor/bramleydoor/platform"
	"github.com/bramleydoor/bramleydoor/soak"
)

// vmVariable is the environment variable that makes the test binary run a VM.
const vmVariable = "BRAMLEYDOOR_TEST_VM"

func TestMain(m *testing.M) {
	if os.Getenv(vmVariable) != "" {
		os.Exit(platform.Main(os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

// A short run with all faults and one with planned work only have no findings. The
// bounds on recovery and configuration are wide, since a busy machine would exceed the
// real ones; `bramleydoor soak` applies those.
func TestSoak(t *testing.T) {
	t.Setenv(vmVariable, "1")
	for name, seed := range map[string]uint64{"planned work": 1, "all faults": 2} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			run := &soak.Soak{
				Seed: seed, Duration: 6 * time.Second, VMs: 3, Callers: 6,
				Program: []string{os.Args[0]}, Dir: t.TempDir(),
				RecoveryTimeout: 2 * time.Minute, ActivationTimeout: 2 * time.Minute,
			}
			report, err := run.Run(t.Context())
			c.Assert(err, qt.IsNil)
			text, err := json.Marshal(report)
			c.Assert(err, qt.IsNil)
			c.Assert(report.Findings, qt.HasLen, 0, qt.Commentf("%s", text))
			for _, rule := range []string{"asked", "once", "proof", "reads", "unmixed", "values", "prepared"} {
				c.Assert(report.Checked[rule] > 0, qt.IsTrue, qt.Commentf("rule %q was never checked", rule))
			}
		})
	}
}
