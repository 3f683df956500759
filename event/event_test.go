package event_test

import (
	"os"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/bramleydoor/bramleydoor/event"
)

// docs/EVENTS.md is up to date, and each number occurs once in the catalogue.
func TestPageMatchesDocument(t *testing.T) {
	c := qt.New(t)
	page, err := os.ReadFile("../docs/EVENTS.md")
	c.Assert(err, qt.IsNil)
	c.Assert(string(page), qt.Equals, event.Page())
	listed := make(map[event.ID]bool)
	for _, entry := range event.Catalogue {
		c.Check(listed[entry.ID], qt.IsFalse, qt.Commentf("event %d is listed twice in the catalogue", entry.ID))
		listed[entry.ID] = true
	}
}
