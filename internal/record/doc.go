// Package record defines the data that the controllers store in the state service: the keys, the
// records, and their encoding.
//
// Every record is a MessagePack value. The storage format consists of the field tags, the keys, and
// the order of the fields in rows that are stored as lists. It can't change: a running cluster has
// records that an earlier version wrote, and a successor reads the records of its predecessor. The
// golden files in testdata detect a change.
//
// A reader doesn't trust the contents of a record, which may be damaged or written by a newer
// version. It decodes with DecodeRecord, which fails with a DecodeError, and checks the ranges of
// numbers with the record's Validate method, if there is one, before it computes with them.
//
// Packages sharding, migration, ranking and promise encode the records of the shard map, replica
// migrations, rankings and promised dates. This package defines only the keys of these records.
package record
