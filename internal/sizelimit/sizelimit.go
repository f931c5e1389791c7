// Package sizelimit measures messages and transactions before they are sent. The state service,
// the workers and the other controllers have limits, and refuse a message that exceeds one as
// malformed each time it is sent. The protocol counts a body's bytes in its JSON form. The
// package computes an upper bound of that size from the MessagePack that is sent, without
// building the JSON.
package sizelimit

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
	"unicode/utf8"
)

const (
	// MaxKeyBytes is the length of the longest key that the state service accepts, in bytes.
	MaxKeyBytes = 200
	// MaxTxnBytes is the size of the largest transaction, in bytes of JSON.
	MaxTxnBytes = 64 << 10
	// MaxBodyBytes is the size of the largest body to or from workers and users, in bytes of
	// JSON.
	MaxBodyBytes = 64 << 10
	// ComparesPerOp is the number of compares that a transaction may have for each operation of
	// Limits.Ops.
	ComparesPerOp = 4
	// separatorBytes is the size of the separator between two values or after a key in JSON,
	// including the space that some encoders add.
	separatorBytes = 2
	// maxDepth is the deepest nesting of values.
	maxDepth = 64
)

// ErrValue reports that bytes are not exactly one MessagePack value without binary parts.
var ErrValue = errors.New("sizelimit: not a MessagePack value without binary parts")

// JSON returns an upper bound of the length of a MessagePack value as JSON, in bytes. The bound
// assumes spaces after commas and colons, and escapes for all characters other than ASCII. The
// error is ErrValue.
func JSON(b []byte) (int, error) {
	n, rest, err := valueSize(b, 0)
	if err == nil && len(rest) > 0 {
		err = ErrValue
	}
	return n, err
}

// valueSize returns the bound for the first value of b, and the bytes after that value. depth is
// the nesting of the value.
func valueSize(b []byte, depth int) (int, []byte, error) {
	if len(b) == 0 || depth > maxDepth {
		return 0, nil, ErrValue
	}
	c, b := b[0], b[1:]
	switch {
	case c <= 0x7f:
		return digitCount(uint64(c)), b, nil
	case c >= 0xe0:
		return 1 + digitCount(uint64(-int64(int8(c)))), b, nil
	case c&0xf0 == 0x80:
		return sequenceSize(b, 2*int(c&0x0f), depth)
	case c&0xf0 == 0x90:
		return sequenceSize(b, int(c&0x0f), depth)
	case c&0xe0 == 0xa0:
		return textSize(b, int(c&0x1f))
	}
	return typedSize(c, b, depth)
}

// typedSize returns the bound for a value whose first byte c names its type. b are the bytes
// after c.
func typedSize(c byte, b []byte, depth int) (int, []byte, error) {
	switch c {
	case 0xc0:
		return len("null"), b, nil
	case 0xc2:
		return len("false"), b, nil
	case 0xc3:
		return len("true"), b, nil
	case 0xca, 0xcb:
		u, b, err := readUint(b, 4<<(c-0xca))
		f := math.Float64frombits(u)
		if c == 0xca {
			f = float64(math.Float32frombits(uint32(u)))
		}
		// Some encoders write an exponent where others write digits, or append ".0".
		return max(len(strconv.FormatFloat(f, 'g', -1, 64)), len(strconv.FormatFloat(f, 'f', -1, 64))) + 2, b, err
	case 0xcc, 0xcd, 0xce, 0xcf:
		u, b, err := readUint(b, 1<<(c-0xcc))
		return digitCount(u), b, err
	case 0xd0, 0xd1, 0xd2, 0xd3:
		_, b, err := readUint(b, 1<<(c-0xd0))
		return [...]int{4, 6, 11, 20}[c-0xd0], b, err
	case 0xd9, 0xda, 0xdb:
		n, b, err := readUint(b, 1<<(c-0xd9))
		if err != nil {
			return 0, nil, err
		}
		return textSize(b, int(n))
	case 0xdc, 0xdd, 0xde, 0xdf:
		// Arrays, then maps, each with a length of two or four bytes.
		n, b, err := readUint(b, 2<<((c-0xdc)%2))
		if err != nil {
			return 0, nil, err
		}
		if c >= 0xde {
			n *= 2
		}
		return sequenceSize(b, int(n), depth)
	}
	return 0, nil, ErrValue
}

// sequenceSize returns the bound for count values in brackets. The keys and values of a map
// count alike, because a colon with a space takes no more bytes than a comma with a space.
func sequenceSize(b []byte, count, depth int) (int, []byte, error) {
	if count > len(b) {
		return 0, nil, ErrValue
	}
	total := 2 + count*separatorBytes
	for range count {
		n, rest, err := valueSize(b, depth+1)
		if err != nil {
			return 0, nil, err
		}
		total, b = total+n, rest
	}
	return total, b, nil
}

// textSize returns the bound for a string of n bytes at the start of b, and the bytes after it.
func textSize(b []byte, n int) (int, []byte, error) {
	if n > len(b) {
		return 0, nil, ErrValue
	}
	return StringSize(string(b[:n])), b[n:], nil
}

// StringSize returns an upper bound of a string's length as JSON, in bytes.
func StringSize(s string) int {
	n := 2
	for _, r := range s {
		switch {
		case r == '"' || r == '\\':
			n += 2
		case r < ' ' || r == utf8.RuneError || r >= 0x7f && r <= 0xffff:
			n += len(`\u0000`)
		case r > 0xffff:
			n += 2 * len(`\u0000`)
		default:
			n++
		}
	}
	return n
}

// readUint reads a big-endian integer of n bytes, and returns the bytes after it.
func readUint(b []byte, n int) (uint64, []byte, error) {
	if len(b) < n {
		return 0, nil, ErrValue
	}
	var full [8]byte
	copy(full[8-n:], b[:n])
	return binary.BigEndian.Uint64(full[:]), b[n:], nil
}

// digitCount returns the number of decimal digits of u.
func digitCount(u uint64) int {
	n := 1
	for ; u >= 10; u /= 10 {
		n++
	}
	return n
}

// Limits are the configurable limits of the state service.
type Limits struct {
	// ValueBytes is the size of the largest value, in bytes of JSON. Ops is the largest number
	// of puts and deletes in a transaction.
	ValueBytes int
	Ops        int
}

// Write puts a value, or deletes the key if Value is nil.
type Write struct {
	Key   string
	Value []byte
}

// writeOverhead and compareOverhead bound the bytes that a write and a compare take in JSON in
// addition to key and value: field names, braces, a lease or a mod revision. txnOverhead is the
// size of an empty transaction.
const (
	writeOverhead   = len(`{"put": , "value": , "permit": 18446744073709551615}, `)
	compareOverhead = len(`{"key": , "stamp": 18446744073709551615}, `)
	txnOverhead     = len(`{"when": [], "apply": []}`)
)

// WriteBytes returns the bytes that a write adds to a transaction. A malformed value counts as
// exceeding every limit.
func WriteBytes(w Write) int {
	n, err := w.valueBytes()
	if err != nil {
		return math.MaxInt32
	}
	return w.overheadBytes() + n
}

// valueBytes returns an upper bound of the value's length as JSON, in bytes. A delete has no
// value.
func (w Write) valueBytes() (int, error) {
	if w.Value == nil {
		return 0, nil
	}
	return JSON(w.Value)
}

// overheadBytes returns the bytes that a write takes in addition to its value.
func (w Write) overheadBytes() int { return writeOverhead + StringSize(w.Key) }

// CompareBytes returns the bytes that a compare of a key adds to a transaction.
func CompareBytes(key string) int { return compareOverhead + StringSize(key) }

// CheckTxn returns an error if a transaction exceeds a limit. The error names the limit, the key
// and the size.
func (l Limits) CheckTxn(compares []string, writes []Write) error {
	if len(writes) > l.Ops {
		return fmt.Errorf("sizelimit: %d changes in a transaction: limit %d", len(writes), l.Ops)
	}
	if maxCompares := ComparesPerOp * l.Ops; len(compares) > maxCompares {
		return fmt.Errorf("sizelimit: %d conditions in a transaction: limit %d", len(compares), maxCompares)
	}
	total := txnOverhead
	for _, k := range compares {
		if err := checkKey(k); err != nil {
			return err
		}
		total += CompareBytes(k)
	}
	for _, write := range writes {
		if err := checkKey(write.Key); err != nil {
			return err
		}
		n, err := write.valueBytes()
		if err != nil {
			return fmt.Errorf("sizelimit: key %s: %w", write.Key, err)
		}
		if n > l.ValueBytes {
			return fmt.Errorf("sizelimit: key %s: a value of %d bytes: limit %d", write.Key, n, l.ValueBytes)
		}
		total += write.overheadBytes() + n
	}
	if total > MaxTxnBytes {
		return fmt.Errorf("sizelimit: a transaction of %d bytes: limit %d", total, MaxTxnBytes)
	}
	return nil
}

// checkKey returns an error if the state service does not accept the key.
func checkKey(k string) error {
	if k == "" || len(k) > MaxKeyBytes {
		return fmt.Errorf("sizelimit: a key of %d bytes: want 1 to %d", len(k), MaxKeyBytes)
	}
	if strings.ContainsAny(k, " \t\r\n") {
		return fmt.Errorf("sizelimit: key %q contains white space", k)
	}
	return nil
}
