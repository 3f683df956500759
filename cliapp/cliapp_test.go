package cliapp_test

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/bramleydoor/bramleydoor/cliapp"
	"github.com/bramleydoor/bramleydoor/fakekv"
)

// run runs the command line and returns its exit code and output.
func run(args ...string) (code int, stdout, stderr string) {
	var out, errOut bytes.Buffer
	code = cliapp.Main(append([]string{"bramleydoor"}, args...), &out, &errOut)
	return code, out.String(), errOut.String()
}

// Bad input gives exit code 2 and a message that names every error in it.
func TestBadInput(t *testing.T) {
	dir := t.TempDir()
	broken := filepath.Join(dir, "broken.json")
	qt.Assert(t, os.WriteFile(broken, []byte("{\n\"number\": 0}"), 0o600), qt.IsNil)
	tests := []struct {
		args string
		want string
	}{
		{"frobnicate", `unknown command "frobnicate"`},
		{"serve", "(?s)id: is empty.*zone: is empty.*store: .*token-key: .*peer-key: "},
		{"serve --user clerk --seed x --log-level loud --log-format xml", "(?s)user: .*seed: .*log-level: .*log-format: .*id: "},
		{"serve --bogus", "not defined"},
		{"demo --faults storm", "--faults \"storm\""},
		{"demo --callers 0", "--callers"},
		{"load --policy wish", "--policy \"wish\""},
		{"load --target 127.0.0.1:1", "--database is missing"},
		{"standin --deployment huge", "--deployment \"huge\""},
		{"ticket check", "FILE is missing"},
		{"ticket check " + broken, "(?s)broken.json: line 2: number: is zero.*id: is empty.*touches nothing"},
		{"ticket check " + filepath.Join(dir, "absent.json"), "no such file"},
		{"ticket show one", "NUMBER \"one\""},
		{"ticket submit " + broken, "number: is zero"},
		{"ticket list", "--store is missing"},
		{"replay", "FILE is missing"},
		{"replay " + broken, "broken.json: line 1"},
	}
	for _, test := range tests {
		t.Run(test.args, func(t *testing.T) {
			code, _, stderr := run(strings.Fields(test.args)...)
			qt.Check(t, code, qt.Equals, 2)
			qt.Check(t, stderr, qt.Matches, "(?s).*"+test.want+".*")
		})
	}
}

// A ticket can be created, checked, compared, submitted, listed and shown. Submitting it
// again succeeds. If the store is down, submit says that nothing was submitted.
func TestTicketCommands(t *testing.T) {
	c := qt.New(t)
	server := &fakekv.Server{}
	c.Assert(server.Start("127.0.0.1:0"), qt.IsNil)
	defer server.Stop()
	store := "--store=" + server.URL()
	file := filepath.Join(c.TempDir(), "ticket.json")
	must := func(args ...string) string {
		code, stdout, stderr := run(args...)
		c.Assert(code, qt.Equals, 0, qt.Commentf("%v: %s", args, stderr))
		return stdout
	}
	c.Assert(os.WriteFile(file, []byte(must("ticket", "new", store)), 0o600), qt.IsNil)
	must("ticket", "check", store, file)
	c.Assert(must("ticket", "diff", store, file), qt.Contains, "+ group ledger1.db1")
	c.Assert(must("ticket", "submit", store, file), qt.Contains, `ticket 1 "change-1" is accepted`)
	must("ticket", "submit", store, file)
	c.Assert(must("ticket", "list", store), qt.Contains, "change-1")
	var shown map[string]any
	c.Assert(json.Unmarshal([]byte(must("ticket", "show", store, "1")), &shown), qt.IsNil)
	c.Assert(shown["id"], qt.Equals, "change-1")

	code, _, stderr := run("ticket", "show", store, "2")
	c.Assert(code, qt.Equals, 1)
	c.Assert(stderr, qt.Contains, "was not accepted")
	server.SetFaults(fakekv.Faults{Down: true})
	code, _, stderr = run("ticket", "submit", store, file)
	c.Assert(code, qt.Equals, 1)
	c.Assert(stderr, qt.Contains, "nothing was submitted")
}

func TestEvents(t *testing.T) {
	code, stdout, _ := run("events")
	qt.Assert(t, code, qt.Equals, 0)
	qt.Assert(t, stdout, qt.Contains, "3003\twarning\tPromotion done")
}
