package entry

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// A comment at the end of a SET statement hid the settings after it on each further connection of
// the session, where they kept the values of the database.
func TestSettingsAfterComment(t *testing.T) {
	c := qt.New(t)
	var session session
	for _, text := range []string{"SET a = 1 -- one", "SET b = 2; -- two;", "SET c = 3"} {
		c.Assert(session.addUpstreamSetting(text), qt.IsNil)
	}
	c.Assert(session.settingsQuery(), qt.Equals, "SET a = 1 -- one\n;SET b = 2; -- two\n;SET c = 3\n;")
}
