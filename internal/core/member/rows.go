package member

import (
	"context"
	"fmt"
	"strconv"
	"strings"

	"github.com/ansel1/merry/v2"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/core/events"
	"fuchsiahoist.example/hoist/internal/decide/owner"
	"fuchsiahoist.example/hoist/internal/peer/table"
	"fuchsiahoist.example/hoist/internal/proto/codec"
	"fuchsiahoist.example/hoist/internal/proto/wire"
)

// Keys of the rows that this package reads and writes. The generation row is
// written with every change of a shard row, so that hosts read the shard rows
// only after a change.
const (
	memberPrefix  hoist.RowKey = "member/"
	shardPrefix   hoist.RowKey = "shard/"
	generationKey hoist.RowKey = "shard-generation"
)

func memberKey(host hoist.HostID) hoist.RowKey {
	return memberPrefix + hoist.RowKey(host)
}

func shardKey(shard hoist.ShardID) hoist.RowKey {
	return shardPrefix + hoist.RowKey(fmt.Sprintf("%03d", shard))
}

func shardOfKey(key hoist.RowKey) (hoist.ShardID, error) {
	n, err := strconv.ParseUint(strings.TrimPrefix(string(key), string(shardPrefix)), 10, 16)
	if err != nil || n >= hoist.NumShards {
		return 0, merry.Wrap(hoist.ErrInvalid, merry.PrependMessagef("row key %q does not name a shard", key))
	}
	return hoist.ShardID(n), nil
}

// txnID returns a transaction id that is unique in the cell. The random number
// of the process distinguishes two processes that have not joined yet.
func (m *Manager) txnID() hoist.TxnID {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.txnCount++
	return hoist.TxnID(fmt.Sprintf("%s/%d/%016x/%d", m.Member.Host, m.epoch, m.processNonce, m.txnCount))
}

func (m *Manager) commit(ctx context.Context, txn hoist.Txn) error {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	return table.CommitResolved(ctx, m.Table, txn)
}

func (m *Manager) scan(ctx context.Context, prefix hoist.RowKey) ([]hoist.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	return m.Table.Scan(ctx, prefix)
}

// memberRow is a decoded member row with its version and last writer.
type memberRow struct {
	member  hoist.Member
	version hoist.RowVersion
	txn     hoist.TxnID
}

func (m *Manager) scanMembers(ctx context.Context) ([]memberRow, error) {
	rows, err := m.scan(ctx, memberPrefix)
	if err != nil {
		return nil, err
	}
	var out []memberRow
	for _, row := range rows {
		w, err := codec.DecodeTableRow[wire.Member](row)
		if err != nil {
			events.RowUnreadable.Log(ctx, m.Log, "error", err)
			continue
		}
		out = append(out, memberRow{codec.ToMember(w), row.Version, row.Txn})
	}
	return out, m.resolveElectorates(ctx, out)
}

// memberPut returns the write of a member row, which carries the digest of its
// electorate. The row of the electorate must be in the table or in the same
// transaction.
func memberPut(member hoist.Member) hoist.Put {
	member.Electorate = []hoist.VoterID{hoist.VoterID(digestOf(member.Electorate))}
	return hoist.Put{Key: memberKey(member.Host), Value: codec.EncodeTableRow(codec.Member(member))}
}

func shardPut(shard hoist.ShardID, s owner.ShardState) hoist.Put {
	value := wire.ShardRow{Owner: string(s.Owner), Epoch: int(s.Epoch), Term: int(s.Term)}
	return hoist.Put{Key: shardKey(shard), Value: codec.EncodeTableRow(value)}
}

func decodeShard(row hoist.Row) (hoist.ShardID, owner.ShardState, error) {
	shard, err := shardOfKey(row.Key)
	if err != nil {
		return 0, owner.ShardState{}, err
	}
	w, err := codec.DecodeTableRow[wire.ShardRow](row)
	if err != nil {
		return 0, owner.ShardState{}, err
	}
	return shard, owner.ShardState{
		Owner:   hoist.HostID(w.Owner),
		Epoch:   hoist.Epoch(w.Epoch),
		Term:    hoist.Term(w.Term),
		Version: row.Version,
	}, nil
}
