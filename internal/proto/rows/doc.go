// Package rows holds the types of the rows that the plan scheduler keeps in the
// platform's store, and of the messages of package helper: requests for advice
// and health checks between hosts. The types are generated from
// rows.schema.json.
//
// # Usage
//
// Package codec converts between these types and the domain:
//
//	value := codec.EncodePlan(plan)
//	plan, err := codec.DecodePlan(id, value)
package rows
