package events_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"

	"fuchsiahoist.example/hoist/internal/core/events"
)

// TestCatalogueMatchesPage guards against events that are missing from
// docs/EVENTS.md or differ from it, and against two events with the same number.
func TestCatalogueMatchesPage(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../../docs/EVENTS.md")
	is.NoErr(err)
	seen := make(map[int]bool)
	for _, e := range events.All() {
		row := fmt.Sprintf("| %d | %s | %s |\n", e.Number, e.Level, e.Message)
		if !strings.Contains(string(page), row) {
			t.Errorf("docs/EVENTS.md has no row %q", row)
		}
		if seen[e.Number] {
			t.Errorf("event %d is registered twice", e.Number)
		}
		seen[e.Number] = true
	}
	rows := strings.Count(string(page), "\n| ") - 2
	is.Equal(rows, len(events.All())) // every row of the page is a registered event
}
