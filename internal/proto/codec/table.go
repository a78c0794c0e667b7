package codec

import (
	"encoding/json"

	hoist "fuchsiahoist.example/hoist"
	"fuchsiahoist.example/hoist/internal/proto/wire"
)

// Row converts r for the wire.
func Row(r hoist.Row) wire.Row {
	return wire.Row{Key: string(r.Key), Value: r.Value, Version: int(r.Version), Txn: string(r.Txn)}
}

// ToRow converts r from the wire.
func ToRow(r wire.Row) hoist.Row {
	return hoist.Row{
		Key:     hoist.RowKey(r.Key),
		Value:   r.Value,
		Version: hoist.RowVersion(r.Version),
		Txn:     hoist.TxnID(r.Txn),
	}
}

// Txn converts t for the wire.
func Txn(t hoist.Txn) wire.Txn {
	return wire.Txn{
		Id: string(t.ID),
		Checks: Map(t.Checks, func(c hoist.Check) wire.Check {
			return wire.Check{Key: string(c.Key), Version: int(c.Version)}
		}),
		Puts: Map(t.Puts, func(p hoist.Put) wire.Put {
			return wire.Put{Key: string(p.Key), Value: p.Value, Delete: p.Value == nil}
		}),
	}
}

// ToTxn converts t from the wire.
func ToTxn(t wire.Txn) hoist.Txn {
	return hoist.Txn{
		ID: hoist.TxnID(t.Id),
		Checks: Map(t.Checks, func(c wire.Check) hoist.Check {
			return hoist.Check{Key: hoist.RowKey(c.Key), Version: hoist.RowVersion(c.Version)}
		}),
		Puts: Map(t.Puts, toPut),
	}
}

// toPut converts p from the wire. In the domain a nil value means deletion, so
// an empty value that is to be written becomes an empty slice.
func toPut(p wire.Put) hoist.Put {
	put := hoist.Put{Key: hoist.RowKey(p.Key)}
	if p.Delete {
		return put
	}
	put.Value = p.Value
	if put.Value == nil {
		put.Value = []byte{}
	}
	return put
}

// Listed converts l for the wire.
func Listed(l hoist.HostEntry) wire.Listed {
	return wire.Listed{
		Kind:       string(l.Kind),
		Id:         l.ID,
		Addr:       l.Addr,
		DataCentre: string(l.DataCentre),
		Rack:       nilIfZero(string(l.Rack)),
		Service:    nilIfZero(string(l.Service)),
		Leaving:    l.Leaving,
	}
}

// ToListed converts l from the wire.
func ToListed(l wire.Listed) hoist.HostEntry {
	return hoist.HostEntry{
		Kind:       hoist.HostKind(l.Kind),
		ID:         l.Id,
		Addr:       l.Addr,
		DataCentre: hoist.DataCentreID(l.DataCentre),
		Rack:       hoist.RackID(valueOrZero(l.Rack)),
		Service:    hoist.ServiceName(valueOrZero(l.Service)),
		Leaving:    l.Leaving,
	}
}

// EncodeTableRow encodes v, a wire type, as the value of a row of the table.
func EncodeTableRow[T any](v T) []byte {
	value, err := json.Marshal(v)
	if err != nil {
		// The fields of wire types have only types that json.Marshal accepts.
		panic(err)
	}
	return value
}

// DecodeTableRow decodes the value of a row of the table. It returns
// hoist.ErrInvalid if the value is not a valid encoding of T.
func DecodeTableRow[T any](row hoist.Row) (T, error) {
	var v T
	if err := json.Unmarshal(row.Value, &v); err != nil {
		return v, hoist.ConvertErrorf(hoist.ErrInvalid, err, "row %q", row.Key)
	}
	return v, nil
}
