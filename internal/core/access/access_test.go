package access_test

import (
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/core/access"
)

const secret = "0123456789abcdef"

// TestAuthenticate guards against unknown tokens that are accepted and against roles that
// allow too much.
func TestAuthenticate(t *testing.T) {
	l := access.NewList([]access.Entry{
		{Name: "packer", Token: secret + "1", Role: access.RoleCaller, Customer: "sauce"},
		{Name: "buyer", Token: secret + "2", Role: access.RoleTeam, Team: "buyers"},
		{Name: "desk", Token: secret + "3", Role: access.RoleViewer},
		{Name: "ops", Token: secret + "4", Role: access.RoleOperator},
	})
	cases := []struct {
		header, name          string
		submit, view, operate bool
		sauce, jam, buyers    bool
	}{
		{"", "", false, false, false, false, false, false},
		{"Basic " + secret + "1", "", false, false, false, false, false, false},
		{"Bearer " + secret, "", false, false, false, false, false, false},
		{"Bearer " + secret + "1", "packer", true, false, false, true, false, false},
		{"Bearer " + secret + "2", "buyer", true, false, false, false, false, true},
		{"Bearer " + secret + "3", "desk", false, true, false, false, false, false},
		{"Bearer " + secret + "4", "ops", true, true, true, true, true, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			id, err := l.Authenticate(&http.Request{Header: http.Header{"Authorization": {c.header}}})
			is.Equal(errors.Is(err, hoist.ErrDenied), c.name == "")
			is.Equal(id.Name, c.name)
			is.Equal([]bool{id.May(access.Submit), id.May(access.View), id.May(access.Operate)}, []bool{c.submit, c.view, c.operate})
			is.Equal([]bool{id.MayActFor("sauce"), id.MayActFor("jam"), id.MayCharge("buyers")}, []bool{c.sauce, c.jam, c.buyers})
		})
	}
}

// TestTokenIsHidden guards against tokens in logs and messages.
func TestTokenIsHidden(t *testing.T) {
	var b strings.Builder
	e := access.Entry{Name: "ops", Token: secret}
	slog.New(slog.NewTextHandler(&b, nil)).Info("x", "token", e.Token, "entry", e)
	fmt.Fprintf(&b, "%v %+v %#v %s %q", e, e, e, e.Token, e.Token)
	b.WriteString(strings.Join(e.Check(), " "))
	if strings.Contains(b.String(), secret) {
		t.Errorf("the token is in %q", b.String())
	}
}
