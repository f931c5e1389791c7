// Package sizelimit says how large things are before they leave: the state service,
// the workers and the other controllers have limits, and whatever passes one is
// refused there as malformed, again and again. The protocol counts a body in its
// JSON form; here that is reckoned from the MessagePack that is sent, as an upper
// bound, without building the JSON.
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
	// MaxKeyBytes is the longest key of the state service, in bytes.
	MaxKeyBytes = 200
	// MaxTxnBytes is the most that one transaction may take, in bytes of JSON.
	MaxTxnBytes = 64 << 10
	// MaxBodyBytes is the most that a body to or from workers and users may take.
	MaxBodyBytes = 64 << 10
	// ComparesPerOp is how many conditions a transaction may have for each change.
	ComparesPerOp = 4
	// separatorBytes is what JSON puts between two values, or after a key, with the space
	// that some writers add.
	separatorBytes = 2
	// maxDepth bounds how deep values may be nested.
	maxDepth = 64
)

// ErrValue says that bytes are not one MessagePack value without binary parts.
var ErrValue = errors.New("bounds: not a value")

// JSON is an upper bound for the length, in bytes, that a MessagePack value has as
// JSON: with spaces after commas and colons, and with all but ASCII escaped.
func JSON(b []byte) (int, error) {
	n, rest, err := valueSize(b, 0)
	if err == nil && len(rest) > 0 {
		err = ErrValue
	}
	return n, err
}

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
		// One writer has an exponent where another has digits, or adds ".0".
		return max(len(strconv.FormatFloat(f, 'g', -1, 64)), len(strconv.FormatFloat(f, 'f', -1, 64))) + 2, b, err
	case 0xcc, 0xcd, 0xce, 0xcf:
		u, b, err := readUint(b, 1<<(c-0xcc))
		return digitCount(u), b, err
	case 0xd0, 0xd1, 0xd2, 0xd3:
		_, b, err := readUint(b, 1<<(c-0xd0))
		return [...]int{4, 6, 11, 20}[c-0xd0], b, err
	case 0xd9, 0xda, 0xdb:
		u, b, err := readUint(b, 1<<(c-0xd9))
		if err != nil {
			return 0, nil, err
		}
		return textSize(b, int(u))
	case 0xdc, 0xdd:
		u, b, err := readUint(b, 2<<(c-0xdc))
		if err != nil {
			return 0, nil, err
		}
		return sequenceSize(b, int(u), depth)
	case 0xde, 0xdf:
		u, b, err := readUint(b, 2<<(c-0xde))
		if err != nil {
			return 0, nil, err
		}
		return sequenceSize(b, 2*int(u), depth)
	}
	return 0, nil, ErrValue
}

// sequenceSize is so many values with brackets round them. A map's keys and values
// count alike: a colon with a space takes no more than a comma with one.
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

func textSize(b []byte, n int) (int, []byte, error) {
	if n > len(b) {
		return 0, nil, ErrValue
	}
	return StringSize(string(b[:n])), b[n:], nil
}

// StringSize is an upper bound for a string's length as JSON.
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

func readUint(b []byte, n int) (uint64, []byte, error) {
	if len(b) < n {
		return 0, nil, ErrValue
	}
	var full [8]byte
	copy(full[8-n:], b[:n])
	return binary.BigEndian.Uint64(full[:]), b[n:], nil
}

func digitCount(u uint64) int {
	n := 1
	for ; u >= 10; u /= 10 {
		n++
	}
	return n
}

// Limits are those of the state service.
type Limits struct {
	// ValueBytes is the most for one value, in bytes of JSON, and Ops the most puts
	// and removals in a transaction.
	ValueBytes int
	Ops        int
}

// Write is a put of a value, or a removal when Value is nil.
type Write struct {
	Key   string
	Value []byte
}

// writeOverhead and compareOverhead are what the JSON form of a change and of a condition
// take beside key and value, at most: names, braces, a grant or a stamp.
const (
	writeOverhead   = len(`{"put": , "value": , "permit": 18446744073709551615}, `)
	compareOverhead = len(`{"key": , "stamp": 18446744073709551615}, `)
	txnOverhead     = len(`{"when": [], "apply": []}`)
)

// WriteBytes and CompareBytes are what a change and a condition take of a
// transaction. A value that is none counts as passing every limit.
func WriteBytes(c Write) int {
	n := 0
	if c.Value != nil {
		var err error
		if n, err = JSON(c.Value); err != nil {
			return math.MaxInt32
		}
	}
	return writeOverhead + StringSize(c.Key) + n
}

// CompareBytes is what a condition on a key takes of a transaction.
func CompareBytes(key string) int { return compareOverhead + StringSize(key) }

// CheckTxn says what is wrong with a transaction, or nothing: an error names the limit,
// the key and the size.
func (l Limits) CheckTxn(compares []string, writes []Write) error {
	if len(writes) > l.Ops {
		return fmt.Errorf("bounds: %d changes in a transaction, at most %d are allowed", len(writes), l.Ops)
	}
	if maxCompares := ComparesPerOp * l.Ops; len(compares) > maxCompares {
		return fmt.Errorf("bounds: %d conditions in a transaction, at most %d are allowed", len(compares), maxCompares)
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
		if write.Value != nil {
			n, err := JSON(write.Value)
			if err != nil {
				return fmt.Errorf("bounds: key %s: %w", write.Key, err)
			}
			if n > l.ValueBytes {
				return fmt.Errorf("bounds: key %s: a value of %d bytes, at most %d are allowed", write.Key, n, l.ValueBytes)
			}
		}
		total += WriteBytes(write)
	}
	if total > MaxTxnBytes {
		return fmt.Errorf("bounds: a transaction of %d bytes, at most %d are allowed", total, MaxTxnBytes)
	}
	return nil
}

func checkKey(k string) error {
	if k == "" || len(k) > MaxKeyBytes {
		return fmt.Errorf("bounds: a key of %d bytes, 1 to %d are allowed", len(k), MaxKeyBytes)
	}
	if strings.ContainsAny(k, " \t\r\n") {
		return fmt.Errorf("bounds: key %q has a space in it", k)
	}
	return nil
}
