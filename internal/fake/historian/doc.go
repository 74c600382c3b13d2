// Package historian is a consistency checker: it checks recorded histories
// against the guarantees of section 1.2 of docs/design.md, where G1 to G10 are
// their numbers.
//
// A trial adds typed records to a [History] while it runs, and calls
// [History.Check] at its end. All times are durations since the start of the
// trial on one monotonic clock. Each write adds a unique value to the set of a
// key, and a read returns the set, so that the presence of every single write
// can be checked.
//
// The check is deterministic: it keeps no state between calls and reports
// violations in a fixed order.
package historian
