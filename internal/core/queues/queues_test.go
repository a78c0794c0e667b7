package queues_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/core/queues"
)

// script is a source that plays a list of answers and then waits.
type script struct {
	answers []answer
	asked   []hoist.RowVersion
}

type answer struct {
	config hoist.QueueConfig
	err    error
}

func (s *script) Config(ctx context.Context, after hoist.RowVersion, _ time.Duration) (hoist.QueueConfig, hoist.RowVersion, error) {
	s.asked = append(s.asked, after)
	if len(s.answers) == 0 {
		<-ctx.Done()
		return hoist.QueueConfig{}, after, hoist.ErrUnavailable
	}
	a := s.answers[0]
	s.answers = s.answers[1:]
	return a.config, hoist.RowVersion(len(s.asked)), a.err
}

func version(v hoist.ConfigVersion, prefixes ...string) answer {
	c := hoist.QueueConfig{Version: v}
	for _, p := range prefixes {
		c.Queues = append(c.Queues, hoist.QueueEntry{Queue: hoist.Queue{Name: hoist.QueueName(p)}, HostName: "h", Prefix: p})
	}
	return answer{config: c}
}

// follow plays answers to a follower and returns it as it is after a while.
func follow(answers ...answer) (*queues.Follower, *script) {
	s := &script{answers: answers}
	f := &queues.Follower{Source: s}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	f.Run(ctx)
	return f, s
}

// TestFollower guards against an older configuration after a newer one, and
// against gaps after an outage.
func TestFollower(t *testing.T) {
	cases := []struct {
		name    string
		answers []answer
		want    hoist.ConfigVersion
	}{
		{"none yet", nil, 0},
		{"the newest", []answer{version(3), version(7)}, 7},
		{"never an older one", []answer{version(7), version(3)}, 7},
		{"no change", []answer{version(3), {}}, 3},
		{"after a failure", []answer{version(3), {err: hoist.ErrUnavailable}, version(4)}, 4},
		{"after a lost history", []answer{version(3), {err: hoist.ErrHistoryLost}, version(9)}, 9},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, s := follow(tc.answers...)
				is.New(t).Equal(f.Version(), tc.want)
				if tc.name == "after a lost history" {
					is.New(t).Equal(s.asked[2], hoist.RowVersion(0)) // everything is read anew
				}
			})
		})
	}
}

// TestFind guards against submissions that reach another queue.
func TestFind(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		none, _ := follow()
		_, err := none.Find("h", "/a/1")
		is.True(errors.Is(err, hoist.ErrUnavailable))
		f, _ := follow(version(1, "/a/", "/a/b/"))
		for path, want := range map[string]hoist.QueueName{"/a/1": "/a/", "/a/b/1": "/a/b/", "/a/b": "/a/"} {
			q, err := f.Find("h", path)
			is.NoErr(err)
			is.Equal(q.Name, want)
		}
		for _, miss := range [][2]string{{"h", "/c/1"}, {"other", "/a/1"}} {
			_, err := f.Find(miss[0], miss[1])
			is.True(errors.Is(err, hoist.ErrNotFound))
		}
	})
}
