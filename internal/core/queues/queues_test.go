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

// scriptedSource is a source that returns a list of answers in order, and then blocks
// until ctx ends.
type scriptedSource struct {
	answers   []answer
	requested []hoist.RowVersion
}

type answer struct {
	config hoist.QueueConfig
	err    error
}

func (s *scriptedSource) Config(ctx context.Context, after hoist.RowVersion, _ time.Duration) (hoist.QueueConfig, hoist.RowVersion, error) {
	s.requested = append(s.requested, after)
	if len(s.answers) == 0 {
		<-ctx.Done()
		return hoist.QueueConfig{}, after, hoist.ErrUnavailable
	}
	a := s.answers[0]
	s.answers = s.answers[1:]
	return a.config, hoist.RowVersion(len(s.requested)), a.err
}

func version(v hoist.ConfigVersion, prefixes ...string) answer {
	c := hoist.QueueConfig{Version: v}
	for _, p := range prefixes {
		c.Queues = append(c.Queues, hoist.QueueEntry{Queue: hoist.Queue{Name: hoist.QueueName(p)}, HostName: "h", Prefix: p})
	}
	return answer{config: c}
}

// runFollower runs a follower for a second on a source with the given answers.
func runFollower(answers ...answer) (*queues.Follower, *scriptedSource) {
	s := &scriptedSource{answers: answers}
	f := &queues.Follower{Source: s}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	f.Run(ctx)
	return f, s
}

// TestFollowerKeepsNewestVersion guards against an older configuration that replaces
// a newer one, and against changes that are missed after an outage.
func TestFollowerKeepsNewestVersion(t *testing.T) {
	cases := []struct {
		name    string
		answers []answer
		want    hoist.ConfigVersion
	}{
		{"no configuration yet", nil, 0},
		{"newest version", []answer{version(3), version(7)}, 7},
		{"older version is ignored", []answer{version(7), version(3)}, 7},
		{"no change", []answer{version(3), {}}, 3},
		{"version after a failure", []answer{version(3), {err: hoist.ErrUnavailable}, version(4)}, 4},
		{"after a lost history", []answer{version(3), {err: hoist.ErrHistoryLost}, version(9)}, 9},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, s := runFollower(tc.answers...)
				is.New(t).Equal(f.Version(), tc.want)
				if tc.name == "after a lost history" {
					is.New(t).Equal(s.requested[2], hoist.RowVersion(0)) // the follower reads the whole configuration again
				}
			})
		})
	}
}

// TestFind guards against submissions that are assigned to the wrong queue.
func TestFind(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		empty, _ := runFollower()
		_, err := empty.Find("h", "/a/1")
		is.True(errors.Is(err, hoist.ErrUnavailable))
		f, _ := runFollower(version(1, "/a/", "/a/b/"))
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
