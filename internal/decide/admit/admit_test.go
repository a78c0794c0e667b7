package admit_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"fuchsiahoist.example/hoist/internal/decide/admit"
)

var begin = time.Date(2026, 12, 1, 8, 0, 0, 0, time.UTC)

// client is what the model of the property test knows of a connection.
type client struct {
	phase     admit.Phase
	began     time.Time
	held      admit.Bytes
	isLeaving bool
}

// model drives the clients and keeps what must hold for it.
type model struct {
	*rapid.T
	limits  admit.Limits
	all     *admit.Clients[int]
	clients map[int]*client
	now     time.Time
	last    int
}

func (m *model) held(leavingToo bool) admit.Bytes {
	var sum admit.Bytes
	for _, c := range m.clients {
		if leavingToo || !c.isLeaving {
			sum += c.held
		}
	}
	return sum
}

// evicted checks a victim and marks it.
func (m *model) evicted(k int) {
	c := m.clients[k]
	if c == nil || c.isLeaving || c.phase == admit.Working {
		m.Fatalf("client %d is evicted: %+v", k, c)
	}
	c.isLeaving = true
}

func (m *model) open() {
	m.last++
	hasRoom := len(m.clients) < m.limits.Conns
	victim, verdict := m.all.Open(m.last, m.now)
	if hasRoom != (verdict == admit.Admitted) {
		m.Fatalf("verdict %d with %d connections of %d", verdict, len(m.clients), m.limits.Conns)
	}
	switch verdict {
	case admit.Admitted:
		m.clients[m.last] = &client{phase: admit.Header, began: m.now}
	case admit.Evict:
		isIdle := m.clients[victim].phase == admit.Idle
		for _, c := range m.clients {
			if c.phase == admit.Idle && !c.isLeaving && !isIdle {
				m.Fatalf("client %d is evicted although another is idle", victim)
			}
		}
		m.evicted(victim)
	}
}

func (m *model) hold(k int, n admit.Bytes) {
	c := m.clients[k]
	fits := m.held(true)+n <= m.limits.Memory
	victims, ok := m.all.Hold(k, n, m.now)
	if fits && (len(victims) > 0 || ok == c.isLeaving) {
		m.Fatalf("%d clients are refused although the memory suffices", len(victims))
	}
	cost := func(c *client, more admit.Bytes) float64 { return float64(c.held+more) * m.now.Sub(c.began).Seconds() }
	for _, victim := range victims {
		if c.phase != admit.Working && cost(m.clients[victim], 0) < cost(c, n) {
			m.Fatalf("client %d is evicted for one that holds more for longer", victim)
		}
		m.evicted(victim)
	}
	if ok {
		c.held += n
	}
}

func (m *model) shrink(k int, n admit.Bytes) {
	c := m.clients[k]
	missing := m.all.Shrink(k, n)
	want := max(0, n-c.held)
	if c.isLeaving {
		want = 0
	} else {
		c.held = min(c.held, n)
	}
	if missing != want {
		m.Fatalf("%d bytes are missing, expected %d", missing, want)
	}
}

func (m *model) setPhase(k int, p admit.Phase) {
	c := m.clients[k]
	if m.all.SetPhase(k, p, m.now) == c.isLeaving {
		m.Fatalf("the request of a victim is handled, or that of another refused")
	}
	if c.isLeaving {
		return
	}
	if c.phase == admit.Idle {
		c.began = m.now
	}
	c.phase = p
	if p == admit.Idle {
		c.held = 0
	}
}

func (m *model) check() {
	conns, held := m.all.Usage()
	if conns != len(m.clients) || conns > m.limits.Conns {
		m.Fatalf("%d connections are counted, %d are open, %d allowed", conns, len(m.clients), m.limits.Conns)
	}
	if held != m.held(true) || m.held(false) > m.limits.Memory || held > m.limits.Memory*3/2 {
		m.Fatalf("%d bytes are counted, %d held, %d allowed", held, m.held(true), m.limits.Memory)
	}
}

// TestClientsKeepLimits guards against clients that together exceed a limit, against
// refusals while there is room, and against victims whose request is being handled or
// that have held less for a shorter time than others.
func TestClientsKeepLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := admit.Limits{Conns: rapid.IntRange(1, 6).Draw(t, "conns"), Memory: admit.Bytes(rapid.IntRange(1, 100).Draw(t, "memory"))}
		m := &model{T: t, limits: limits, all: admit.New[int](limits), clients: make(map[int]*client), now: begin}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			m.now = m.now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond)
			if len(m.clients) == 0 || rapid.IntRange(0, 3).Draw(t, "what") == 0 {
				m.open()
			} else {
				m.act()
			}
			m.check()
		}
		for k := range m.clients {
			m.all.Close(k)
			delete(m.clients, k)
		}
		m.check()
	})
}

// act does something with one of the connections.
func (m *model) act() {
	var keys []int
	for k := 1; k <= m.last; k++ {
		if m.clients[k] != nil {
			keys = append(keys, k)
		}
	}
	k := rapid.SampledFrom(keys).Draw(m.T, "client")
	switch rapid.IntRange(0, 4).Draw(m.T, "action") {
	case 0:
		m.all.Close(k)
		delete(m.clients, k)
	case 1:
		m.setPhase(k, admit.Phase(rapid.IntRange(int(admit.Header), int(admit.Answering)).Draw(m.T, "phase")))
	case 2:
		m.shrink(k, admit.Bytes(rapid.IntRange(0, 60).Draw(m.T, "rest")))
	default:
		m.hold(k, admit.Bytes(rapid.IntRange(0, 60).Draw(m.T, "bytes")))
	}
}

// TestSlowAndLargeFirst guards against quick or small requests that are refused while slow
// and large ones hold the memory.
func TestSlowAndLargeFirst(t *testing.T) {
	const second = time.Second
	cases := []struct {
		name   string
		held   [2]admit.Bytes
		age    [2]time.Duration
		victim int
	}{
		{"the larger one of the same age", [2]admit.Bytes{50, 30}, [2]time.Duration{second, second}, 0},
		{"the older one of the same size", [2]admit.Bytes{40, 40}, [2]time.Duration{second, 2 * second}, 1},
		{"an old one that is smaller", [2]admit.Bytes{50, 30}, [2]time.Duration{second, 4 * second}, 1},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			c := admit.New[int](admit.Limits{Conns: 3, Memory: 100})
			for k := range 2 {
				at := begin.Add(-tc.age[k])
				c.Open(k, at)
				c.SetPhase(k, admit.Reading, at)
				_, ok := c.Hold(k, tc.held[k], at)
				is.True(ok)
			}
			c.Open(2, begin)
			victims, ok := c.Hold(2, 30, begin)
			is.True(ok)
			is.Equal(victims, []int{tc.victim})
			is.True(!c.SetPhase(tc.victim, admit.Working, begin)) // its request is not handled
		})
	}
}

// TestLimitsOfHosts guards against limits that leave a host without room for its own work,
// or that clients within the limits of their requests reach.
func TestLimitsOfHosts(t *testing.T) {
	cases := []struct {
		memoryMB, descriptors int
		conns                 int
		memory                admit.Bytes
	}{
		{144, 3075, 921, 18 << 20},
		{284, 3075, 958, 284 << 17},
		{536, 10250, 3350, 67 << 20},
		{64, 400, 66, 8 << 20},
		{8, 210, 32, 2 << 20},
		{0, 0, 4096, 64 << 20},
	}
	for _, tc := range cases {
		is := is.New(t)
		l := admit.LimitsFor(admit.Bytes(tc.memoryMB)<<20, tc.descriptors)
		is.Equal(l, admit.Limits{Conns: tc.conns, Memory: tc.memory})
		is.True(l.DecodeMemory(256<<10) >= admit.DecodeNeed(256<<10)) // the largest submission can be decoded
		is.True(l.ForPeers().Conns <= 256)
	}
}

// TestBufferFollowsBody guards against memory for a body that was announced and has not
// arrived, and against a buffer in which the end of the body does not fit.
func TestBufferFollowsBody(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 300_000).Draw(t, "limit")
		announced := int64(rapid.IntRange(-1, 400_000).Draw(t, "announced"))
		for size := 0; size <= limit; {
			next := admit.NextBuffer(size, announced, limit)
			if next <= size || next > limit+1 || next > max(4096, 2*size, size+1) {
				t.Fatalf("the buffer grows from %d to %d", size, next)
			}
			size = next
		}
	})
}

// TestBodyDeadline guards against a body that trickles in until its request times out, and
// against a deadline that a client within the limits meets.
func TestBodyDeadline(t *testing.T) {
	is := is.New(t)
	end := begin.Add(5 * time.Second)
	is.Equal(admit.BodyDeadline(begin, 0, end), begin.Add(3*time.Second))
	is.Equal(admit.BodyDeadline(begin, 12, end), begin.Add(3*time.Second+12*time.Second/1024)) // 4 bytes a second
	is.Equal(admit.BodyDeadline(begin, 2048, end), end)
	is.Equal(admit.BodyDeadline(begin, 1<<20, begin.Add(100*time.Millisecond)), begin.Add(100*time.Millisecond))
}

// TestPeersInUseAreKept guards against connections between hosts that are closed for new
// ones while calls on them may be in progress, and against ones that are kept for ever.
func TestPeersInUseAreKept(t *testing.T) {
	is := is.New(t)
	limits := admit.LimitsFor(0, 0).ForPeers()
	limits.Conns = 1
	c := admit.New[int](limits)
	_, verdict := c.Open(1, begin)
	is.Equal(verdict, admit.Admitted)
	is.True(c.SetPhase(1, admit.Idle, begin))
	_, verdict = c.Open(2, begin.Add(5*time.Second))
	is.Equal(verdict, admit.Wait)
	victim, verdict := c.Open(2, begin.Add(10*time.Second))
	is.Equal(verdict, admit.Evict)
	is.Equal(victim, 1)
}
