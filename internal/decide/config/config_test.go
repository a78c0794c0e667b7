package config_test

import (
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/decide/config"
)

const header = "version = 1\nchange-id = \"c1\"\n"

const cellDoc = header + `
[[customers]]
name = "sauce-packers"
weight = 2
[[teams]]
name = "packing"
max-priority = 10
quota = {cpu-millis = 64000, memory-mib = 65536}
[[services]]
name = "matching"
team = "packing"
replicas = 4
need = {cpu-millis = 4000, memory-mib = 4096}
customers = ["sauce-packers"]
`

// assertProblem checks that an error names a problem with the given key whose reason
// contains reason.
func assertProblem(t *testing.T, err error, key, reason string) {
	t.Helper()
	if !errors.Is(err, config.ErrDocument) {
		t.Fatalf("error %v is not ErrDocument", err)
	}
	for _, p := range config.Problems(err) {
		if p.Key == key && strings.Contains(p.Reason, reason) {
			return
		}
	}
	t.Errorf("error %q has no problem %q with %q", err, key, reason)
}

// TestParse guards against accepting documents that are not valid, and against
// errors that do not name the key concerned.
func TestParse(t *testing.T) {
	cases := []struct{ name, text, key, reason string }{
		{"not TOML", "version = ", "document", "toml"},
		{"no version", `change-id = "c1"`, "version", "is missing"},
		{"no change id", "version = 1", "change-id", "expected 1 to 100 bytes"},
		{"unknown key", header + "colour = 1", "colour", "does not exist"},
		{"unknown nested key", header + "[limits]\nqueue = 1", "limits.queue", "does not exist"},
		{"queue total below customer", header + "[limits]\nqueue-per-customer = 10\nqueue-total = 5", "limits.queue-total", "expected 10 to"},
		{"class missing", header + "[[classes]]\nname = \"quick\"\nwait = \"1s\"\ngood-percent = 99.0", "classes", `no class "patient"`},
		{"objective of 100%", header + "[[classes]]\nname = \"quick\"\nwait = \"1s\"\ngood-percent = 100.0", "classes[0].good-percent", "less than 100"},
		{"customer is listed twice", header + strings.Repeat("[[customers]]\nname = \"a\"\nweight = 1\n", 2), "customers[1].name", "second time"},
		{"team unknown", strings.Replace(cellDoc, `team = "packing"`, `team = "jams"`, 1), "services[0].team", `team "jams" does not exist`},
		{"replicas need more than the quota", strings.Replace(cellDoc, "replicas = 4", "replicas = 40", 1), "services[0].replicas", "the quota of team"},
		{"customer unknown", strings.Replace(cellDoc, `["sauce-packers"]`, `["x"]`, 1), "services[0].customers[0]", `customer "x"`},
		{"negative need", strings.Replace(cellDoc, "cpu-millis = 4000", "cpu-millis = -1", 1), "services[0].need", "expected a positive amount"},
		{"drain of a host", header + "[[drains]]\nkind = \"entry\"\nname = \"h1\"", "drains[0].kind", "expected worker or executor"},
		{"drain is listed twice", header + strings.Repeat("[[drains]]\nkind = \"worker\"\nname = \"w1\"\n", 2), "drains[1].name", "second time"},
		{"report unknown", header + "[[reports]]\nname = \"weather\"", "reports[0].name", "expected one of"},
		{"field unknown", header + "[[reports]]\nname = \"burn\"\ncolumns = [{field = \"x\"}]", "reports[0].columns[0].field", "has no field"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := config.Parse(c.text)
			assertProblem(t, err, c.key, c.reason)
		})
	}
	t.Run("all problems at once", func(t *testing.T) {
		_, err := config.Parse("colour = 1\n[limits]\nretry-percent = 101")
		for _, key := range []string{"version", "change-id", "colour", "limits.retry-percent"} {
			assertProblem(t, err, key, "")
		}
	})
	t.Run("valid document is unchanged by encoding and parsing", func(t *testing.T) {
		is := is.New(t)
		doc, err := config.Parse(cellDoc)
		is.NoErr(err)
		again, err := config.Parse(config.Encode(doc))
		is.NoErr(err)
		is.Equal(again, doc) // encoding and parsing return the same document
	})
}

// TestCheckCell guards against accepting quotas above the capacity of the cell and
// services whose tasks fit on no worker.
func TestCheckCell(t *testing.T) {
	is := is.New(t)
	doc, err := config.Parse(cellDoc)
	is.NoErr(err)
	large := hoist.Resources{CPU: 32_000, Memory: 65536}
	is.NoErr(doc.CheckCell(config.Cell{}))
	is.NoErr(doc.CheckCell(config.Cell{Total: large.Add(large), Workers: []hoist.Resources{large, large}}))
	small := hoist.Resources{CPU: 2000, Memory: 65536}
	err = doc.CheckCell(config.Cell{Total: small, Workers: []hoist.Resources{small}})
	assertProblem(t, err, "teams[0].quota", "the cell holds")
	assertProblem(t, err, "services[0].need", "no worker is that large")
}

// TestDiff guards against a diff that omits a change.
func TestDiff(t *testing.T) {
	is := is.New(t)
	old, err := config.Parse(cellDoc)
	is.NoErr(err)
	updated, err := config.Parse(strings.Replace(strings.Replace(cellDoc, "weight = 2", "weight = 3", 1), "version = 1", "version = 2", 1))
	is.NoErr(err)
	is.Equal(config.Diff(old, updated), []config.Change{{Old: "customers: weight = 2"}, {New: "customers: weight = 3"}})
	is.Equal(len(config.Diff(old, old)), 0)
}

// TestStateNeverReverts guards against a host that returns to an earlier version
// when documents arrive late or twice.
func TestStateNeverReverts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s config.State
		for _, v := range rapid.SliceOf(rapid.Uint64Range(0, 20)).Draw(t, "versions") {
			before := s.Current().Version
			isNew := s.Offer(config.Record{Version: hoist.ConfigVersion(v)})
			after := s.Current().Version
			if after < before || isNew != (after > before) {
				t.Fatalf("offering version %d changed the version from %d to %d", v, before, after)
			}
		}
	})
}

// FuzzParse guards against documents that make Parse panic, and against accepted
// documents that change when they are encoded and parsed again.
func FuzzParse(f *testing.F) {
	f.Add(cellDoc)
	f.Add(header + "[[reports]]\nname = \"burn\"\ncolumns = [{field = \"class\"}]")
	f.Fuzz(func(t *testing.T, text string) {
		doc, err := config.Parse(text)
		if err != nil {
			return
		}
		again, err := config.Parse(config.Encode(doc))
		if err != nil || again.Version != doc.Version || len(config.Diff(doc, again)) > 0 {
			t.Fatalf("document changed when encoded and parsed again: %v", err)
		}
	})
}
