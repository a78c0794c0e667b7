// Package params reads the settings of a daemon from a TOML file. It checks every
// key; the error names each key that is unknown or has an invalid value.
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
// the file and every invalid key.
var ErrSettings = merry.Sentinel("bad settings")

// Params are the settings of one daemon.
type Params struct {
	// Host is the id of this host in the cell.
	Host hoist.HostID `toml:"host"`
	// DataCentre is the data centre of this host.
	DataCentre hoist.DataCentreID `toml:"data-centre"`
	// Cores is the number of cores of this host. The host owns shards in
	// proportion to it.
	Cores int `toml:"cores"`
	// EntryAddr is the IP address and port at which other hosts connect.
	EntryAddr string `toml:"entry-addr"`
	// CallerAddr is the IP address and port at which callers connect.
	CallerAddr string `toml:"caller-addr"`
	// AdminAddr is the IP address and port at which operators connect. If it is
	// empty, this host has no console.
	AdminAddr string `toml:"admin-addr"`
	// PlatformURL is the base URL of the platform's services.
	PlatformURL string `toml:"platform-url"`
	// JoinDelay is how long a new host waits before it claims shards.
	JoinDelay Duration `toml:"settle"`
	// NoticeTime is how long a stopping host continues to accept requests, so that
	// the balancer and the other hosts learn first that it is stopping.
	NoticeTime Duration `toml:"notice-time"`
	// DrainTime bounds the wait for requests in flight at shutdown.
	DrainTime Duration `toml:"drain-time"`
	// OpenAccess gives everyone the rights of an operator. Without it, Tokens must
	// not be empty.
	OpenAccess bool `toml:"open-access"`
	// PlainText makes connections use no TLS. Without it, TLS must name the
	// certificate files.
	PlainText bool `toml:"plain-text"`
	// Tokens lists the accepted tokens and their roles.
	Tokens []access.Entry `toml:"tokens"`
	TLS    TLS            `toml:"tls"`
}

// TLS names the certificate files of the host.
type TLS struct {
	Cert string `toml:"cert"`
	Key  string `toml:"key"`
	// CA is the file of the certificate authority that signs the certificates of
	// the other hosts.
	CA string `toml:"ca"`
}

// minNoticeTime is the shortest notice time. The other hosts read the new owners of
// a host's shards from the table within 1.3 s and send requests to the host until
// then.
const minNoticeTime = Duration(2 * time.Second)

// Duration is a time.Duration that a settings file writes like "1.5s".
type Duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	*d = Duration(v)
	return err
}

// Default returns the values of the settings that a file may omit.
func Default() Params {
	return Params{
		Cores:      1,
		JoinDelay:  Duration(3 * time.Second),
		NoticeTime: Duration(2 * time.Second),
		DrainTime:  Duration(30 * time.Second),
	}
}

// Load reads and checks a settings file. The error is ErrSettings.
func Load(path string) (Params, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Params{}, hoist.ConvertError(ErrSettings, err)
	}
	p, err := Parse(string(text))
	return p, merry.Prependf(err, "%s", path)
}

// Parse parses and checks the text of a settings file. The error is ErrSettings.
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
	check(isAddr(p.EntryAddr), "key %q is %q, expected an IP address and port", "entry-addr", p.EntryAddr)
	check(isAddr(p.CallerAddr), "key %q is %q, expected an IP address and port", "caller-addr", p.CallerAddr)
	check(strings.HasPrefix(p.PlatformURL, "http"), "key %q is %q, expected a URL", "platform-url", p.PlatformURL)
	check(p.AdminAddr == "" || isAddr(p.AdminAddr), "key %q is %q, expected an IP address and port", "admin-addr", p.AdminAddr)
	check(p.JoinDelay >= 0, "key %q is negative", "settle")
	check(p.NoticeTime >= minNoticeTime, "key %q is below 2s", "notice-time")
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
			problems = append(problems, "has the same token as another entry")
		}
		seen[t.Token] = true
		for _, problem := range problems {
			out = append(out, fmt.Sprintf("tokens[%d] %s", i, problem))
		}
	}
	return out
}

// Access returns the list of tokens that this host accepts.
func (p Params) Access() *access.List {
	if p.OpenAccess {
		return access.NewOpenList()
	}
	return access.NewList(p.Tokens)
}

func isAddr(addr string) bool {
	_, err := netip.ParseAddrPort(addr)
	return err == nil
}
