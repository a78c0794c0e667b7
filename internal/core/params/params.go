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
	"fuchsiahoist.example/hoist/internal/core/access"
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
	// AdminAddr is where operators connect, by IP number; empty means that this
	// host has no console.
	AdminAddr string `toml:"admin-addr"`
	// PlatformURL is where the platform's services are.
	PlatformURL string `toml:"platform-url"`
	// JoinDelay is how long a new host waits before it claims shards.
	JoinDelay Duration `toml:"settle"`
	// NoticeTime is how long a host that stops goes on accepting requests, so
	// that the balancer and the other hosts notice first.
	NoticeTime Duration `toml:"notice-time"`
	// DrainTime bounds the wait for requests in flight at shutdown.
	DrainTime Duration `toml:"drain-time"`
	// OpenAccess lets everyone in as operator; without it there must be tokens.
	OpenAccess bool `toml:"open-access"`
	// PlainText allows connections without TLS; without it there must be
	// certificate files.
	PlainText bool `toml:"plain-text"`
	// Tokens lists who may call.
	Tokens []access.Entry `toml:"tokens"`
	TLS    TLS            `toml:"tls"`
}

// TLS names the certificate files of the host.
type TLS struct {
	Cert string `toml:"cert"`
	Key  string `toml:"key"`
	// CA signs the certificates of the other hosts.
	CA string `toml:"ca"`
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
		JoinDelay:  Duration(3 * time.Second),
		NoticeTime: Duration(2 * time.Second),
		DrainTime:  Duration(30 * time.Second),
	}
}

// Load reads and checks a settings file.
func Load(path string) (Params, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Params{}, hoist.ConvertError(ErrSettings, err)
	}
	p, err := Parse(string(text))
	return p, merry.Prependf(err, "%s", path)
}

// Parse checks the text of a settings file.
func Parse(text string) (Params, error) {
	p := Default()
	meta, err := toml.Decode(text, &p)
	if err != nil {
		return Params{}, hoist.ConvertError(ErrSettings, err)
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
	check(p.AdminAddr == "" || isAddr(p.AdminAddr), "key %q is %q, expected IP number and port", "admin-addr", p.AdminAddr)
	check(p.JoinDelay >= 0, "key %q is negative", "settle")
	check(p.NoticeTime >= minNotice, "key %q is below 2s", "notice-time")
	check(p.DrainTime > 0, "key %q must be positive", "drain-time")
	hasTLS := p.TLS != TLS{}
	check(p.PlainText != hasTLS, "expected either table %q or %q", "tls", "plain-text = true")
	check(!hasTLS || (p.TLS.Cert != "" && p.TLS.Key != "" && p.TLS.CA != ""), "table %q needs cert, key and ca", "tls")
	check(p.OpenAccess != (len(p.Tokens) > 0), "expected either tables %q or %q", "tokens", "open-access = true")
	return append(out, p.tokenProblems()...)
}

func (p Params) tokenProblems() []string {
	var out []string
	seen := make(map[access.Token]bool)
	for i, t := range p.Tokens {
		problems := t.Check()
		if seen[t.Token] {
			problems = append(problems, "has the token of another entry")
		}
		seen[t.Token] = true
		for _, problem := range problems {
			out = append(out, fmt.Sprintf("tokens[%d] %s", i, problem))
		}
	}
	return out
}

// Access returns who may call this host.
func (p Params) Access() *access.List {
	if p.OpenAccess {
		return access.Open()
	}
	return access.NewList(p.Tokens)
}

func isAddr(addr string) bool {
	_, err := netip.ParseAddrPort(addr)
	return err == nil
}
