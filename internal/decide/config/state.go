package config

import (
	"fmt"
	"slices"
	"strings"

	hoist "fuchsiahoist.example/hoist"
)

// Record is an accepted version of the configuration.
type Record struct {
	Version  hoist.ConfigVersion
	ChangeID hoist.ChangeID
	// Text is the document as it was accepted.
	Text     string
	Document Document
}

// NewRecord parses the text of an accepted document. It returns an ErrDocument if
// the text is not valid or does not have the given version.
func NewRecord(version hoist.ConfigVersion, text string) (Record, error) {
	doc, err := Parse(text)
	if err != nil {
		return Record{}, err
	}
	if doc.Version != version {
		return Record{}, problemsError([]Problem{{"version", fmt.Sprintf("is %d, expected %d", doc.Version, version)}})
	}
	return Record{Version: version, ChangeID: doc.ChangeID, Text: text, Document: doc}, nil
}

// State holds the version in force on a host. The version never decreases. The
// zero value has version 0 and an empty document.
type State struct {
	current Record
}

// Current returns the version in force.
func (s *State) Current() Record {
	return s.current
}

// Offer makes a record the current one if its version is higher, and reports
// whether it did.
func (s *State) Offer(r Record) bool {
	if r.Version <= s.current.Version {
		return false
	}
	s.current = r
	return true
}

// Change is one line of the difference between the TOML forms of two documents.
type Change struct {
	// Old is empty for a line that was added, New for one that was removed.
	Old, New string
}

// String formats c like a line of a unified diff.
func (c Change) String() string {
	if c.Old == "" {
		return "+ " + c.New
	}
	return "- " + c.Old
}

// Diff returns the differences between two documents, apart from version and change
// id. It matches lines by their longest common subsequence.
func Diff(old, updated Document) []Change {
	old.Version, old.ChangeID = updated.Version, updated.ChangeID
	return diffLines(lines(old), lines(updated))
}

func lines(d Document) []string {
	var out []string
	section := ""
	for line := range strings.Lines(Encode(d)) {
		line = strings.TrimSpace(line)
		switch {
		case line == "":
		case strings.HasPrefix(line, "["):
			section = strings.Trim(line, "[]")
		case section == "":
			out = append(out, line)
		default:
			out = append(out, section+": "+line)
		}
	}
	return out
}

// maxLCSCells bounds the table of lcsLengths to about 32 MiB. Above it, diffLines
// reports all lines as replaced.
const maxLCSCells = 4 << 20

func diffLines(a, b []string) []Change {
	for len(a) > 0 && len(b) > 0 && a[0] == b[0] {
		a, b = a[1:], b[1:]
	}
	for len(a) > 0 && len(b) > 0 && a[len(a)-1] == b[len(b)-1] {
		a, b = a[:len(a)-1], b[:len(b)-1]
	}
	var out []Change
	if len(a)*len(b) > maxLCSCells {
		return replaceAll(a, b)
	}
	common := lcsLengths(a, b)
	i, j := 0, 0
	for i < len(a) || j < len(b) {
		switch {
		case i < len(a) && j < len(b) && a[i] == b[j]:
			i++
			j++
		case j == len(b) || (i < len(a) && common[i+1][j] >= common[i][j+1]):
			out = append(out, Change{Old: a[i]})
			i++
		default:
			out = append(out, Change{New: b[j]})
			j++
		}
	}
	return out
}

// replaceAll returns all lines of a as removed and all lines of b as added.
func replaceAll(a, b []string) []Change {
	out := make([]Change, 0, len(a)+len(b))
	for _, line := range a {
		out = append(out, Change{Old: line})
	}
	for _, line := range b {
		out = append(out, Change{New: line})
	}
	return out
}

// lcsLengths returns, for all i and j, the length of the longest common
// subsequence of a[i:] and b[j:].
func lcsLengths(a, b []string) [][]int {
	common := make([][]int, len(a)+1)
	for i := range common {
		common[i] = make([]int, len(b)+1)
	}
	for i, x := range slices.Backward(a) {
		for j, y := range slices.Backward(b) {
			if x == y {
				common[i][j] = common[i+1][j+1] + 1
			} else {
				common[i][j] = max(common[i+1][j], common[i][j+1])
			}
		}
	}
	return common
}
