package record

import (
	"fmt"
	"time"

	"github.com/micahill/micahill/internal/sizelimit"
	"github.com/vmihailenco/msgpack/v5"
)

// DecodeError means that a value in the state service is not a record of the type that belongs to
// its key.
type DecodeError struct {
	// Key is the key of the value.
	Key string
	// Reason is why the value can't be decoded.
	Reason string
	// cause is the decoder's error.
	cause error
}

// Error returns the key and the reason.
func (e *DecodeError) Error() string {
	return fmt.Sprintf("record: decode %s: %s", e.Key, e.Reason)
}

// Unwrap returns the decoder's error. It is sizelimit.ErrValue for malformed MessagePack.
func (e *DecodeError) Unwrap() error { return e.cause }

// Encode returns the stored form of a record. It panics if MessagePack can't encode the type of v,
// which is the case for no record.
func Encode(v any) []byte {
	b, err := msgpack.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("record: encode %T: %v", v, err))
	}
	return b
}

// DecodeRecord decodes the value of a key into v, a pointer to a record. Its error is a
// *DecodeError; v may then be partly filled.
func DecodeRecord(key string, b []byte, v any) error {
	if err := decode(b, v); err != nil {
		return &DecodeError{Key: key, Reason: err.Error(), cause: err}
	}
	return nil
}

// Decode is like DecodeRecord, but only reports whether it has decoded the value.
func Decode(b []byte, v any) bool { return decode(b, v) == nil }

// decode decodes a value after a check of its structure. Without the check a damaged length could
// exhaust memory, since the library allocates a list of the length that the value states.
func decode(b []byte, v any) error {
	if _, err := sizelimit.JSONSize(b); err != nil {
		return err
	}
	return msgpack.Unmarshal(b, v)
}

// DurationOfSeconds converts a decimal number of seconds, the unit of records, settings and the
// protocols, to a duration. The caller must have checked that a duration can hold the number.
func DurationOfSeconds(seconds float64) time.Duration {
	return time.Duration(seconds * float64(time.Second))
}
