// Package record defines what the controllers keep in the state service: the keys, the
// records behind them, and their encoding.
//
// Every record is a MessagePack value. The field tags, the keys and the order of fields in
// rows that are stored as lists are the storage format: a running cluster has records that
// an earlier version wrote, and a successor reads what its predecessor wrote, so they can't
// change. The golden files below testdata pin them.
//
// What a record holds is never trusted: it may be damaged, or written by a newer version.
// A reader decodes with DecodeRecord, which fails with a DecodeError, and checks the ranges
// of numbers with the record's Validate, where it has one, before it computes with them.
//
// The records of the shard map, replica migrations, rankings and promise totals are
// encoded by the packages that own them (sharding, migration, ranking, promise); only their
// keys are here.
package record
