// Package access authenticates callers and operators and decides what they may do.
// Everyone presents a bearer token from the settings; tokens are compared in constant
// time and never logged.
//
// # Usage
//
//	l := access.NewList(entries)
//	id, err := l.Authenticate(request)
//	if !id.May(access.Operate) {
//		// refuse
//	}
package access

import (
	"crypto/sha256"
	"crypto/subtle"
	"fmt"
	"log/slog"
	"net/http"
	"strings"

	"github.com/ansel1/merry/v2"

	hoist "fuchsiahoist.example/hoist"
)

// Role determines what the holder of a token may do.
type Role string

// The roles.
const (
	// RoleCaller submits requests for one customer.
	RoleCaller Role = "caller"
	// RoleTeam submits jobs for one team.
	RoleTeam Role = "team"
	// RoleViewer reads everything that operators see.
	RoleViewer Role = "viewer"
	// RoleOperator reads and changes everything.
	RoleOperator Role = "operator"
)

// Action is a kind of call that needs permission.
type Action string

// The actions.
const (
	Submit  Action = "submit"
	View    Action = "view"
	Operate Action = "operate"
)

// Token is a secret bearer token. It prints as "[token]".
type Token string

// String hides the secret.
func (Token) String() string { return "[token]" }

// GoString hides the secret.
func (Token) GoString() string { return "[token]" }

// LogValue hides the secret in logs.
func (Token) LogValue() slog.Value { return slog.StringValue("[token]") }

// Entry assigns a name and a role to the holder of a token.
type Entry struct {
	Name  string `toml:"name"`
	Token Token  `toml:"token"`
	Role  Role   `toml:"role"`
	// Customer is the customer that a caller acts for.
	Customer hoist.CustomerID `toml:"customer"`
	// Team is the team that a submitter of jobs acts for.
	Team hoist.TeamID `toml:"team"`
}

// Identity is an authenticated caller or operator.
type Identity struct {
	Name     string
	Role     Role
	Customer hoist.CustomerID
	Team     hoist.TeamID
}

// May reports whether the identity may do the action.
func (id Identity) May(a Action) bool {
	switch id.Role {
	case RoleOperator:
		return true
	case RoleViewer:
		return a == View
	case RoleCaller, RoleTeam:
		return a == Submit
	default:
		return false
	}
}

// MayActFor reports whether the identity may act for the customer.
func (id Identity) MayActFor(customer hoist.CustomerID) bool {
	return id.Role == RoleOperator || (id.Role == RoleCaller && id.Customer == customer)
}

// MayCharge reports whether the identity may charge jobs to the team.
func (id Identity) MayCharge(team hoist.TeamID) bool {
	return id.Role == RoleOperator || (id.Role == RoleTeam && id.Team == team)
}

// minTokenBytes is the length of the shortest allowed token; 16 random bytes have
// 128 bits.
const minTokenBytes = 16

// Check returns the problems of an entry. They never contain its token.
func (e Entry) Check() []string {
	var out []string
	if e.Name == "" {
		out = append(out, "has no name")
	}
	if len(e.Token) < minTokenBytes {
		out = append(out, fmt.Sprintf("has a token of fewer than %d bytes", minTokenBytes))
	}
	switch e.Role {
	case RoleCaller:
		if e.Customer == "" {
			out = append(out, "has role caller and no customer")
		}
	case RoleTeam:
		if e.Team == "" {
			out = append(out, "has role team and no team")
		}
	case RoleViewer, RoleOperator:
	default:
		out = append(out, fmt.Sprintf("has unknown role %q", e.Role))
	}
	return out
}

// List authenticates the holders of tokens. Its methods may be called
// concurrently.
type List struct {
	entries []hashedEntry
	isOpen  bool
}

// hashedEntry holds the hash of a token. All hashes have the same length, so comparing
// them reveals nothing about the length of the token.
type hashedEntry struct {
	hash     hoist.KeyHash
	identity Identity
}

// NewList returns a list of entries that have passed Check.
func NewList(entries []Entry) *List {
	l := &List{}
	for _, e := range entries {
		l.entries = append(l.entries, hashedEntry{
			hash:     Hash(e.Token),
			identity: Identity{Name: e.Name, Role: e.Role, Customer: e.Customer, Team: e.Team},
		})
	}
	return l
}

// NewOpenList returns a list that authenticates everyone as an operator, for hosts whose
// settings allow open access.
func NewOpenList() *List {
	return &List{isOpen: true}
}

// Authenticate returns the identity of the sender of an HTTP request, according to its
// Authorization header. It returns hoist.ErrDenied if the header has no known token.
func (l *List) Authenticate(r *http.Request) (Identity, error) {
	if l.isOpen {
		return Identity{Name: "open", Role: RoleOperator}, nil
	}
	token, ok := Bearer(r.Header)
	if !ok {
		return Identity{}, merry.Wrap(hoist.ErrDenied, merry.AppendMessage("no bearer token"))
	}
	return l.Find(token)
}

// Bearer returns the token in the Authorization header of a request, and whether there is
// one.
func Bearer(header http.Header) (Token, bool) {
	token, ok := strings.CutPrefix(header.Get("authorization"), "Bearer ")
	return Token(token), ok
}

// Hash returns the hash under which a token is kept and looked up. The time of a lookup by
// it depends only on the hash of the presented token, which its sender cannot steer towards
// the hash of an unknown token, so the time reveals nothing about one.
func Hash(t Token) hoist.KeyHash {
	return sha256.Sum256([]byte(t))
}

// Find returns the identity of the holder of a token, or hoist.ErrDenied if the token is
// unknown. It always compares all entries, so that its time does not reveal which one
// matches.
func (l *List) Find(token Token) (Identity, error) {
	hash := Hash(token)
	found := -1
	for i, e := range l.entries {
		if subtle.ConstantTimeCompare(hash[:], e.hash[:]) == 1 {
			found = i
		}
	}
	if found < 0 {
		return Identity{}, merry.Wrap(hoist.ErrDenied, merry.AppendMessage("unknown token"))
	}
	return l.entries[found].identity, nil
}
