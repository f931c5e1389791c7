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

// JSONSize returns an upper bound of the length of a MessagePack value as JSON, in bytes. The bound
// assumes spaces after commas and colons, and escapes for all characters other than ASCII. The
// error is ErrValue.
func JSONSize(data []byte) (int, error) {
	size, rest, err := valueSize(data, 0)
	if err == nil && len(rest) > 0 {
		err = ErrValue
	}
	return size, err
}

// valueSize returns the bound for the first value of data, and the bytes after that value. depth
// is the nesting of the value.
func valueSize(data []byte, depth int) (int, []byte, error) {
	if len(data) == 0 || depth > maxDepth {
		return 0, nil, ErrValue
	}
	typeByte, data := data[0], data[1:]
	switch {
	case typeByte <= 0x7f:
		return digitCount(uint64(typeByte)), data, nil
	case typeByte >= 0xe0:
		return 1 + digitCount(uint64(-int64(int8(typeByte)))), data, nil
	case typeByte&0xf0 == 0x80:
		return sequenceSize(data, 2*int(typeByte&0x0f), depth)
	case typeByte&0xf0 == 0x90:
		return sequenceSize(data, int(typeByte&0x0f), depth)
	case typeByte&0xe0 == 0xa0:
		return textSize(data, int(typeByte&0x1f))
	}
	return typedSize(typeByte, data, depth)
}

// typedSize returns the bound for a value whose first byte, typeByte, names its type. data are
// the bytes after typeByte.
func typedSize(typeByte byte, data []byte, depth int) (int, []byte, error) {
	switch typeByte {
	case 0xc0:
		return len("null"), data, nil
	case 0xc2:
		return len("false"), data, nil
	case 0xc3:
		return len("true"), data, nil
	case 0xca, 0xcb:
		bits, data, err := readUint(data, 4<<(typeByte-0xca))
		number := math.Float64frombits(bits)
		if typeByte == 0xca {
			number = float64(math.Float32frombits(uint32(bits)))
		}
		// Some encoders write an exponent where others write digits, or append ".0".
		return max(len(strconv.FormatFloat(number, 'g', -1, 64)), len(strconv.FormatFloat(number, 'f', -1, 64))) + 2, data, err
	case 0xcc, 0xcd, 0xce, 0xcf:
		bits, data, err := readUint(data, 1<<(typeByte-0xcc))
		return digitCount(bits), data, err
	case 0xd0, 0xd1, 0xd2, 0xd3:
		_, data, err := readUint(data, 1<<(typeByte-0xd0))
		return [...]int{4, 6, 11, 20}[typeByte-0xd0], data, err
	case 0xd9, 0xda, 0xdb:
		length, data, err := readUint(data, 1<<(typeByte-0xd9))
		if err != nil {
			return 0, nil, err
		}
		return textSize(data, int(length))
	case 0xdc, 0xdd, 0xde, 0xdf:
		// Arrays, then maps, each with a length of two or four bytes.
		length, data, err := readUint(data, 2<<((typeByte-0xdc)%2))
		if err != nil {
			return 0, nil, err
		}
		if typeByte >= 0xde {
			length *= 2
		}
		return sequenceSize(data, int(length), depth)
	}
	return 0, nil, ErrValue
}

// sequenceSize returns the bound for count values in brackets. The keys and values of a map
// count alike, because a colon with a space takes no more bytes than a comma with a space.
func sequenceSize(data []byte, count, depth int) (int, []byte, error) {
	if count > len(data) {
		return 0, nil, ErrValue
	}
	total := 2 + count*separatorBytes
	for range count {
		size, rest, err := valueSize(data, depth+1)
		if err != nil {
			return 0, nil, err
		}
		total, data = total+size, rest
	}
	return total, data, nil
}

// textSize returns the bound for a string of length bytes at the start of data, and the bytes
// after it.
func textSize(data []byte, length int) (int, []byte, error) {
	if length > len(data) {
		return 0, nil, ErrValue
	}
	return StringSize(string(data[:length])), data[length:], nil
}

// StringSize returns an upper bound of a string's length as JSON, in bytes.
func StringSize(s string) int {
	size := 2
	for _, r := range s {
		switch {
		case r == '"' || r == '\\':
			size += 2
		case r < ' ' || r == utf8.RuneError || r >= 0x7f && r <= 0xffff:
			size += len(`\u0000`)
		case r > 0xffff:
			size += 2 * len(`\u0000`)
		default:
			size++
		}
	}
	return size
}

// readUint reads a big-endian integer of length bytes, and returns the bytes after it.
func readUint(data []byte, length int) (uint64, []byte, error) {
	if len(data) < length {
		return 0, nil, ErrValue
	}
	var full [8]byte
	copy(full[8-length:], data[:length])
	return binary.BigEndian.Uint64(full[:]), data[length:], nil
}

// digitCount returns the number of decimal digits of a number.
func digitCount(number uint64) int {
	count := 1
	for ; number >= 10; number /= 10 {
		count++
	}
	return count
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
func WriteBytes(write Write) int {
	size, err := write.valueBytes()
	if err != nil {
		return math.MaxInt32
	}
	return write.overheadBytes() + size
}

// valueBytes returns an upper bound of the value's length as JSON, in bytes. A delete has no
// value.
func (write Write) valueBytes() (int, error) {
	if write.Value == nil {
		return 0, nil
	}
	return JSONSize(write.Value)
}

// overheadBytes returns the bytes that a write takes in addition to its value.
func (write Write) overheadBytes() int { return writeOverhead + StringSize(write.Key) }

// CompareBytes returns the bytes that a compare of a key adds to a transaction.
func CompareBytes(key string) int { return compareOverhead + StringSize(key) }

// CheckTxn returns an error if a transaction exceeds a limit. The error names the limit, the key
// and the size.
func (limits Limits) CheckTxn(compares []string, writes []Write) error {
	if len(writes) > limits.Ops {
		return fmt.Errorf("sizelimit: %d changes in a transaction: limit %d", len(writes), limits.Ops)
	}
	if maxCompares := ComparesPerOp * limits.Ops; len(compares) > maxCompares {
		return fmt.Errorf("sizelimit: %d conditions in a transaction: limit %d", len(compares), maxCompares)
	}
	total := txnOverhead
	for _, key := range compares {
		if err := checkKey(key); err != nil {
			return err
		}
		total += CompareBytes(key)
	}
	for _, write := range writes {
		if err := checkKey(write.Key); err != nil {
			return err
		}
		size, err := write.valueBytes()
		if err != nil {
			return fmt.Errorf("sizelimit: key %s: %w", write.Key, err)
		}
		if size > limits.ValueBytes {
			return fmt.Errorf("sizelimit: key %s: a value of %d bytes: limit %d", write.Key, size, limits.ValueBytes)
		}
		total += write.overheadBytes() + size
	}
	if total > MaxTxnBytes {
		return fmt.Errorf("sizelimit: a transaction of %d bytes: limit %d", total, MaxTxnBytes)
	}
	return nil
}

// checkKey returns an error if the state service does not accept the key.
func checkKey(key string) error {
	if key == "" || len(key) > MaxKeyBytes {
		return fmt.Errorf("sizelimit: a key of %d bytes: want 1 to %d", len(key), MaxKeyBytes)
	}
	if strings.ContainsAny(key, " \t\r\n") {
		return fmt.Errorf("sizelimit: key %q contains white space", key)
	}
	return nil
}
