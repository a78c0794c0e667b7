// Package rows holds the types of the rows that the scheduler of plans keeps in
// the platform's store, and of the messages with which hosts ask each other for
// advice. It is generated from rows.schema.json.
//
// # Usage
//
// Package codec converts between these types and the domain:
//
//	value, err := codec.EncodePlan(plan)
//	plan, err := codec.DecodePlan(id, value)
package rows
