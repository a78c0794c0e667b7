package member

import (
	"context"
	"fmt"
	"strings"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/core/events"
	"fuchsiahoist.example/hoist/internal/proto/codec"
)

// electoratePrefix is followed by the digest of the electorate that the row
// lists. Such a row never changes. Member rows carry the digest instead of the
// list, since every host reads all member rows in each round and the lists grow
// with the square of the cell.
const electoratePrefix hoist.RowKey = "electorate/"

// digest identifies an electorate by the hash of its list of voters.
type digest string

func digestOf(electorate []hoist.VoterID) digest {
	list := strings.Join(codec.Strings(electorate), "\n")
	return digest(fmt.Sprintf("%016x", uint64(hoist.DigestOf([]byte(list)))))
}

// electorateDigest returns the digest that a member row carries, or "" if it
// carries none.
func electorateDigest(member hoist.Member) digest {
	if len(member.Electorate) != 1 {
		return ""
	}
	return digest(member.Electorate[0])
}

func electoratePut(electorate []hoist.VoterID) hoist.Put {
	key := electoratePrefix + hoist.RowKey(digestOf(electorate))
	return hoist.Put{Key: key, Value: codec.EncodeTableRow(electorate)}
}

// resolveElectorates replaces the digests in rows by the electorates. An
// electorate that the table does not have stays empty, so that nobody has a
// majority of it.
func (m *Manager) resolveElectorates(ctx context.Context, rows []memberRow) error {
	known, missing := m.knownElectorates(rows)
	if len(missing) > 0 {
		ctx, cancel := context.WithTimeout(ctx, tableTimeout)
		defer cancel()
		read, err := m.Table.Read(ctx, missing...)
		if err != nil {
			return err
		}
		for _, row := range read {
			electorate, err := codec.DecodeTableRow[[]hoist.VoterID](row)
			if err != nil {
				events.RowUnreadable.Log(ctx, m.Log, "error", err)
				continue
			}
			known[digest(strings.TrimPrefix(string(row.Key), string(electoratePrefix)))] = electorate
		}
	}
	for i := range rows {
		rows[i].member.Electorate = known[electorateDigest(rows[i].member)]
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.electorates = known
	return nil
}

// knownElectorates returns the electorates of rows that this host has read
// before, and the keys of the others.
func (m *Manager) knownElectorates(rows []memberRow) (map[digest][]hoist.VoterID, []hoist.RowKey) {
	m.mu.Lock()
	defer m.mu.Unlock()
	known := make(map[digest][]hoist.VoterID)
	isMissing := make(map[digest]bool)
	var missing []hoist.RowKey
	for _, row := range rows {
		d := electorateDigest(row.member)
		if electorate, ok := m.electorates[d]; ok {
			known[d] = electorate
		} else if !isMissing[d] {
			isMissing[d] = true
			missing = append(missing, electoratePrefix+hoist.RowKey(d))
		}
	}
	return known, missing
}
