// Package params reads the settings of a daemon from a TOML file. Every key is
// checked; an unknown key or a bad value is an error that names it.
//
// # Usage
//
//	p, err := params.Load("hoistd.toml")
//
// An example file is in docs/settings.md.
package params

import (
	"fmt"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/ansel1/merry/v2"

	hoist "fuchsiahoist.example/hoist"
)

// ErrSettings reports a settings file that cannot be used. The message names
// the file and every bad key.
var ErrSettings = merry.Sentinel("bad settings")

// Params are the settings of one daemon.
type Params struct {
	// Host is the id of this host in the cell.
	Host hoist.HostID `toml:"host"`
	// DataCentre is where this host is.
	DataCentre hoist.DataCentreID `toml:"data-centre"`
	// Cores is the size of this host; it owns shards in proportion.
	Cores int `toml:"cores"`
	// EntryAddr is where other hosts connect, by IP number.
	EntryAddr string `toml:"entry-addr"`
	// CallerAddr is where callers connect, by IP number.
	CallerAddr string `toml:"caller-addr"`
	// PlatformURL is where the platform's services are.
	PlatformURL string `toml:"platform-url"`
	// Settle is how long a new host waits before it claims shards.
	Settle Duration `toml:"settle"`
	// NoticeTime is how long a host that stops goes on accepting requests, so
	// that the balancer and the other hosts notice first.
	NoticeTime Duration `toml:"notice-time"`
	// DrainTime bounds the wait for requests in flight at shutdown.
	DrainTime Duration `toml:"drain-time"`
}

// minNotice is the shortest notice time: the other hosts read the new owners of
// a host's shards from the table within 1.3 s, and send requests to the host
// until then.
const minNotice = Duration(2 * time.Second)

// Duration is a time.Duration that is written like "1.5s".
type Duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	*d = Duration(v)
	return err
}

// Default returns the settings that a file need not give.
func Default() Params {
	return Params{
		Cores:      1,
		Settle:     Duration(3 * time.Second),
		NoticeTime: Duration(2 * time.Second),
		DrainTime:  Duration(30 * time.Second),
	}
}

// Load reads and checks a settings file.
func Load(path string) (Params, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Params{}, hoist.Turn(ErrSettings, err)
	}
	p, err := Parse(string(text))
	return p, merry.Prependf(err, "%s", path)
}

// Parse checks the text of a settings file.
func Parse(text string) (Params, error) {
	p := Default()
	meta, err := toml.Decode(text, &p)
	if err != nil {
		return Params{}, hoist.Turn(ErrSettings, err)
	}
	problems := p.problems()
	for _, key := range meta.Undecoded() {
		problems = append(problems, fmt.Sprintf("key %q does not exist", key))
	}
	if len(problems) > 0 {
		return Params{}, merry.Wrap(ErrSettings, merry.AppendMessage(strings.Join(problems, "; ")))
	}
	return p, nil
}

func (p Params) problems() []string {
	var out []string
	check := func(ok bool, format string, args ...any) {
		if !ok {
			out = append(out, fmt.Sprintf(format, args...))
		}
	}
	check(p.Host != "", "key %q is missing", "host")
	check(p.DataCentre != "", "key %q is missing", "data-centre")
	check(p.Cores >= 1 && p.Cores <= 1024, "key %q is %d, expected 1 to 1024", "cores", p.Cores)
	check(isAddr(p.EntryAddr), "key %q is %q, expected IP number and port", "entry-addr", p.EntryAddr)
	check(isAddr(p.CallerAddr), "key %q is %q, expected IP number and port", "caller-addr", p.CallerAddr)
	check(strings.HasPrefix(p.PlatformURL, "http"), "key %q is %q, expected a URL", "platform-url", p.PlatformURL)
	check(p.Settle >= 0, "key %q is negative", "settle")
	check(p.NoticeTime >= minNotice, "key %q is below 2s", "notice-time")
	check(p.DrainTime > 0, "key %q must be positive", "drain-time")
	return out
}

func isAddr(addr string) bool {
	_, err := netip.ParseAddrPort(addr)
	return err == nil
}
