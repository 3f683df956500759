package event_test

import (
	"os"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/bramleydoor/bramleydoor/event"
)

func TestPage(t *testing.T) {
	c := qt.New(t)
	page, err := os.ReadFile("../docs/EVENTS.md")
	c.Assert(err, qt.IsNil)
	c.Assert(string(page), qt.Equals, event.Page())
	seen := make(map[event.ID]bool)
	for _, entry := range event.Catalogue {
		c.Check(seen[entry.ID], qt.IsFalse, qt.Commentf("event %d stands twice", entry.ID))
		seen[entry.ID] = true
	}
}
