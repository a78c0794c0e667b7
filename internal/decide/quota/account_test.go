package quota_test

import (
	"math"
	"testing"

	"github.com/matryer/is"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/decide/quota"
)

// TestStartable guards against starts beyond a quota, against a resource without a limit
// that counts as used up, and against a task that waits forever as it is larger than the
// whole quota.
func TestStartable(t *testing.T) {
	need := hoist.Resources{CPU: 1000, Memory: 100}
	cases := []struct {
		name    string
		quota   hoist.Resources
		running int
		want    int
	}{
		{"rest of the quota", hoist.Resources{CPU: 4500}, 2, 2},
		{"quota used up exactly", hoist.Resources{CPU: 2000}, 2, 0},
		{"quota exceeded", hoist.Resources{CPU: 1500}, 2, 0},
		{"the resource that is shortest", hoist.Resources{CPU: 9000, Memory: 350}, 2, 1},
		{"exceeded resource that the task does not need", hoist.Resources{CPU: 9000, Memory: 150, Accel: 1}, 2, 0},
		{"no limits", hoist.Resources{}, 2, math.MaxInt32},
		{"larger than the quota, alone", hoist.Resources{CPU: 500}, 0, 1},
		{"larger than the quota, not alone", hoist.Resources{CPU: 500}, 1, 0},
		{"larger than the rest, team below half", hoist.Resources{CPU: 4500, Memory: 250}, 1, 1},
		{"larger than the rest, team at half of one resource", hoist.Resources{CPU: 4500, Memory: 200}, 1, 1},
		{"larger than the rest, team above half of one resource", hoist.Resources{CPU: 4500, Memory: 199}, 1, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var a quota.Account
			a.SetLimit(quota.LimitOf(c.quota))
			for range c.running {
				a.Charge(need)
			}
			if c.running > 0 && c.quota.CPU > 2*need.CPU*hoist.MilliCPU(c.running) {
				a.ExpectStart()
				is.Equal(a.Startable(need), a.Room(need)) // a start that arrives late
				a.SettleStart()
			}
			is.Equal(a.Startable(need), c.want)
			is.True(c.want == 0 || a.CanStart(need, c.want))
			is.True(!a.CanStart(need, c.want+1) || c.want == math.MaxInt32)
		})
	}
}
