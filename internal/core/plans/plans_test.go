package plans

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestChangesNothingWaitsForAreDelayed guards against a slow store that is kept busy
// with changes that nothing waits for.
func TestChangesNothingWaitsForAreDelayed(t *testing.T) {
	began := time.Date(2026, 12, 1, 8, 0, 0, 0, time.UTC)
	for _, c := range []struct {
		name  string
		took  time.Duration
		after time.Duration
		want  bool
	}{
		{"fast store, all changes were included recently", 7 * time.Millisecond, 200 * time.Millisecond, false},
		{"fast store, all changes are due", 7 * time.Millisecond, 250 * time.Millisecond, true},
		{"slow store, all changes were included recently", 700 * time.Millisecond, 2 * time.Second, false},
		{"slow store, all changes are due", 700 * time.Millisecond, 2800 * time.Millisecond, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			rec := recorder{took: c.took, lastAll: began}
			now := began.Add(c.after)
			is.New(t).Equal(rec.includesAll(now), c.want)
			is.New(t).Equal(rec.lastAll.Equal(now), c.want)
		})
	}
}
