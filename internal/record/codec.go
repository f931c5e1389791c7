package record

import (
	"fmt"
	"time"

	"github.com/micahill/micahill/internal/sizelimit"
	"github.com/vmihailenco/msgpack/v5"
)

// DecodeError says that a value of the state service is not the record that its key
// promises.
type DecodeError struct {
	// Key is where the value stands.
	Key string
	// Reason is what is wrong with the value.
	Reason string
	// cause is what the decoder found.
	cause error
}

func (e *DecodeError) Error() string {
	return fmt.Sprintf("record: decode %s: %s", e.Key, e.Reason)
}

// Unwrap returns what the decoder found; sizelimit.ErrValue for a malformed value.
func (e *DecodeError) Unwrap() error { return e.cause }

// Encode returns a record in stored form. It panics on a type that MessagePack can't
// encode, which no record is.
func Encode(v any) []byte {
	b, err := msgpack.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("record: encode %T: %v", v, err))
	}
	return b
}

// DecodeRecord reads the value that stands at a key into v, a pointer to a record. Its
// error is a *DecodeError; v may then be partly filled.
func DecodeRecord(key string, b []byte, v any) error {
	if err := decode(b, v); err != nil {
		return &DecodeError{Key: key, Reason: err.Error(), cause: err}
	}
	return nil
}

// Decode is DecodeRecord for a caller that drops the error: it reports whether v was read.
func Decode(b []byte, v any) bool { return decode(b, v) == nil }

// decode checks a value's structure before it is decoded: the library allocates a list by
// the length that the value states, so that a damaged length could exhaust memory.
func decode(b []byte, v any) error {
	if _, err := sizelimit.JSON(b); err != nil {
		return err
	}
	return msgpack.Unmarshal(b, v)
}

// DurationOfSeconds converts a decimal number of seconds, as records, settings and the
// protocols have it. A caller checks before that the duration can hold it.
func DurationOfSeconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
