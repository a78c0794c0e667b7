package params_test

import (
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"

	"fuchsiahoist.example/hoist/internal/core/params"
)

const good = `
host = "host-1"
data-centre = "dc1"
entry-addr = "127.0.0.1:7000"
caller-addr = "127.0.0.1:8080"
platform-url = "http://127.0.0.1:80"
open-access = true
plain-text = true
`

// TestParse guards against settings that are accepted but not meant.
func TestParse(t *testing.T) {
	t.Run("good", func(t *testing.T) {
		is := is.New(t)
		p, err := params.Parse(good)
		is.NoErr(err)
		is.Equal(p.Cores, 1)
	})
	bad := []struct {
		name, text, want string
	}{
		{"unknown key", good + "colour = 1\n", `key "colour" does not exist`},
		{"missing key", strings.Replace(good, "host =", "cores = 2 #", 1), `key "host" is missing`},
		{"host name for an address", strings.Replace(good, "127.0.0.1:7000", "localhost:7000", 1), `key "entry-addr" is "localhost:7000"`},
		{"bad duration", good + `settle = "soon"`, "settle"},
		{"bad size", good + "cores = 0\n", `key "cores" is 0`},
		{"no TLS and no plain text", strings.Replace(good, "plain-text = true", "", 1), `either table "tls" or "plain-text = true"`},
		{"TLS without CA", strings.Replace(good, "plain-text = true", "tls = {cert = \"c\", key = \"k\"}", 1), `table "tls" needs cert, key and ca`},
		{"nobody may call", strings.Replace(good, "open-access = true", "", 1), `either tables "tokens" or "open-access = true"`},
		{"short token", strings.Replace(good, "open-access = true", "", 1) + "[[tokens]]\nname = \"x\"\ntoken = \"short\"\nrole = \"caller\"\n", "tokens[0] has a token of fewer than 16 bytes; tokens[0] has role caller and no customer"},
		{"several at once", "cores = -1\n", `key "cores" is -1, expected 1 to 1024; key "entry-addr"`},
	}
	for _, c := range bad {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			_, err := params.Parse(c.text)
			is.True(errors.Is(err, params.ErrSettings)) // the error is ErrSettings
			if !strings.Contains(err.Error(), c.want) {
				t.Errorf("error %q does not contain %q", err, c.want)
			}
		})
	}
}

// FuzzParse guards against settings that crash the daemon, and against errors
// that are not ErrSettings.
func FuzzParse(f *testing.F) {
	f.Add(good)
	f.Add(good + "[[tokens]]\nname = \"x\"\ntoken = \"0123456789abcdef\"\nrole = \"viewer\"\n")
	f.Add("[tls]\ncert = 1")
	f.Fuzz(func(t *testing.T, text string) {
		p, err := params.Parse(text)
		if err == nil && (p.Host == "" || p.Cores < 1) {
			t.Errorf("accepted %+v", p)
		}
		if err != nil && !errors.Is(err, params.ErrSettings) {
			t.Errorf("error %v is not ErrSettings", err)
		}
	})
}
