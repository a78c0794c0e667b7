package params_test

import (
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"

	"fuchsiahoist.example/hoist/internal/core/params"
)

const validSettings = `
host = "host-1"
data-centre = "dc1"
entry-addr = "127.0.0.1:7000"
caller-addr = "127.0.0.1:8080"
platform-url = "http://127.0.0.1:80"
open-access = true
plain-text = true
`

// TestParse guards against invalid settings that are accepted, and against errors
// that do not name the invalid key.
func TestParse(t *testing.T) {
	t.Run("valid settings", func(t *testing.T) {
		is := is.New(t)
		p, err := params.Parse(validSettings)
		is.NoErr(err)
		is.Equal(p.Cores, 1)
	})
	bad := []struct {
		name, text, want string
	}{
		{"unknown key", validSettings + "colour = 1\n", `key "colour" does not exist`},
		{"missing key", strings.Replace(validSettings, "host =", "cores = 2 #", 1), `key "host" is missing`},
		{"host name for an address", strings.Replace(validSettings, "127.0.0.1:7000", "localhost:7000", 1), `key "entry-addr" is "localhost:7000"`},
		{"bad duration", validSettings + `settle = "soon"`, "settle"},
		{"bad size", validSettings + "cores = 0\n", `key "cores" is 0`},
		{"no TLS and no plain text", strings.Replace(validSettings, "plain-text = true", "", 1), `either table "tls" or "plain-text = true"`},
		{"TLS without CA", strings.Replace(validSettings, "plain-text = true", "tls = {cert = \"c\", key = \"k\"}", 1), `table "tls" needs cert, key and ca`},
		{"neither tokens nor open access", strings.Replace(validSettings, "open-access = true", "", 1), `either tables "tokens" or "open-access = true"`},
		{"short token", strings.Replace(validSettings, "open-access = true", "", 1) + "[[tokens]]\nname = \"x\"\ntoken = \"short\"\nrole = \"caller\"\n", "tokens[0] has a token of fewer than 16 bytes; tokens[0] has role caller and no customer"},
		{"several invalid keys", "cores = -1\n", `key "cores" is -1, expected 1 to 1024; key "entry-addr"`},
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
	f.Add(validSettings)
	f.Add(validSettings + "[[tokens]]\nname = \"x\"\ntoken = \"0123456789abcdef\"\nrole = \"viewer\"\n")
	f.Add("[tls]\ncert = 1")
	f.Fuzz(func(t *testing.T, text string) {
		p, err := params.Parse(text)
		if err == nil && (p.Host == "" || p.Cores < 1) {
			t.Errorf("Parse accepted invalid settings %+v", p)
		}
		if err != nil && !errors.Is(err, params.ErrSettings) {
			t.Errorf("error %v is not ErrSettings", err)
		}
	})
}
