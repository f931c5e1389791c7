// Package bounds says how large things are before they leave: the state service,
// the workers and the other controllers have limits, and whatever passes one is
// refused there as malformed, again and again. The protocol counts a body in its
// JSON form; here that is reckoned from the MessagePack that is sent, as an upper
// bound, without building the JSON.
package bounds

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
	// KeyMost is the longest key of the state service, in bytes.
	KeyMost = 200
	// TxnMost is the most that one transaction may take, in bytes of JSON.
	TxnMost = 64 << 10
	// BodyMost is the most that a body to or from workers and users may take.
	BodyMost = 64 << 10
	// CondTimes is how many conditions a transaction may have for each change.
	CondTimes = 4
	// between is what JSON puts between two values, or after a key, with the space
	// that some writers add.
	between = 2
	// deepest bounds how deep values may be nested.
	deepest = 64
)

// ErrValue says that bytes are not one MessagePack value without binary parts.
var ErrValue = errors.New("bounds: not a value")

// JSON is an upper bound for the length, in bytes, that a MessagePack value has as
// JSON: with spaces after commas and colons, and with all but ASCII escaped.
func JSON(b []byte) (int, error) {
	n, rest, err := value(b, 0)
	if err == nil && len(rest) > 0 {
		err = ErrValue
	}
	return n, err
}

func value(b []byte, depth int) (int, []byte, error) {
	if len(b) == 0 || depth > deepest {
		return 0, nil, ErrValue
	}
	c, b := b[0], b[1:]
	switch {
	case c <= 0x7f:
		return digits(uint64(c)), b, nil
	case c >= 0xe0:
		return 1 + digits(uint64(-int64(int8(c)))), b, nil
	case c&0xf0 == 0x80:
		return sequence(b, 2*int(c&0x0f), depth)
	case c&0xf0 == 0x90:
		return sequence(b, int(c&0x0f), depth)
	case c&0xe0 == 0xa0:
		return text(b, int(c&0x1f))
	}
	switch c {
	case 0xc0:
		return len("null"), b, nil
	case 0xc2:
		return len("false"), b, nil
	case 0xc3:
		return len("true"), b, nil
	case 0xca, 0xcb:
		u, b, err := number(b, 4<<(c-0xca))
		f := math.Float64frombits(u)
		if c == 0xca {
			f = float64(math.Float32frombits(uint32(u)))
		}
		// One writer has an exponent where another has digits, or adds ".0".
		return max(len(strconv.FormatFloat(f, 'g', -1, 64)), len(strconv.FormatFloat(f, 'f', -1, 64))) + 2, b, err
	case 0xcc, 0xcd, 0xce, 0xcf:
		u, b, err := number(b, 1<<(c-0xcc))
		return digits(u), b, err
	case 0xd0, 0xd1, 0xd2, 0xd3:
		_, b, err := number(b, 1<<(c-0xd0))
		return [...]int{4, 6, 11, 20}[c-0xd0], b, err
	case 0xd9, 0xda, 0xdb:
		u, b, err := number(b, 1<<(c-0xd9))
		if err != nil {
			return 0, nil, err
		}
		return text(b, int(u))
	case 0xdc, 0xdd:
		u, b, err := number(b, 2<<(c-0xdc))
		if err != nil {
			return 0, nil, err
		}
		return sequence(b, int(u), depth)
	case 0xde, 0xdf:
		u, b, err := number(b, 2<<(c-0xde))
		if err != nil {
			return 0, nil, err
		}
		return sequence(b, 2*int(u), depth)
	}
	return 0, nil, ErrValue
}

// sequence is so many values with brackets round them. A map's keys and values
// count alike: a colon with a space takes no more than a comma with one.
func sequence(b []byte, count, depth int) (int, []byte, error) {
	if count > len(b) {
		return 0, nil, ErrValue
	}
	sum := 2 + count*between
	for range count {
		n, rest, err := value(b, depth+1)
		if err != nil {
			return 0, nil, err
		}
		sum, b = sum+n, rest
	}
	return sum, b, nil
}

func text(b []byte, n int) (int, []byte, error) {
	if n > len(b) {
		return 0, nil, ErrValue
	}
	return Text(string(b[:n])), b[n:], nil
}

// Text is an upper bound for a string's length as JSON.
func Text(s string) int {
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

func number(b []byte, n int) (uint64, []byte, error) {
	if len(b) < n {
		return 0, nil, ErrValue
	}
	var full [8]byte
	copy(full[8-n:], b[:n])
	return binary.BigEndian.Uint64(full[:]), b[n:], nil
}

func digits(u uint64) int {
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

// Change is a put of a value, or a removal when Value is nil.
type Change struct {
	Key   string
	Value []byte
}

// changeFrame and condFrame are what the JSON form of a change and of a condition
// take beside key and value, at most: names, braces, a grant or a stamp.
const (
	changeFrame = len(`{"put": , "value": , "permit": 18446744073709551615}, `)
	condFrame   = len(`{"key": , "stamp": 18446744073709551615}, `)
	txnFrame    = len(`{"when": [], "apply": []}`)
)

// ChangeBytes and CondBytes are what a change and a condition take of a
// transaction. A value that is none counts as passing every limit.
func ChangeBytes(c Change) int {
	n := 0
	if c.Value != nil {
		var err error
		if n, err = JSON(c.Value); err != nil {
			return math.MaxInt32
		}
	}
	return changeFrame + Text(c.Key) + n
}

// CondBytes is what a condition on a key takes of a transaction.
func CondBytes(key string) int { return condFrame + Text(key) }

// Txn says what is wrong with a transaction, or nothing: an error names the limit,
// the key and the size.
func (l Limits) Txn(when []string, apply []Change) error {
	if len(apply) > l.Ops {
		return fmt.Errorf("bounds: %d changes in a transaction, at most %d are allowed", len(apply), l.Ops)
	}
	if most := CondTimes * l.Ops; len(when) > most {
		return fmt.Errorf("bounds: %d conditions in a transaction, at most %d are allowed", len(when), most)
	}
	sum := txnFrame
	for _, k := range when {
		if err := key(k); err != nil {
			return err
		}
		sum += CondBytes(k)
	}
	for _, a := range apply {
		if err := key(a.Key); err != nil {
			return err
		}
		if a.Value != nil {
			n, err := JSON(a.Value)
			if err != nil {
				return fmt.Errorf("bounds: key %s: %w", a.Key, err)
			}
			if n > l.ValueBytes {
				return fmt.Errorf("bounds: key %s: a value of %d bytes, at most %d are allowed", a.Key, n, l.ValueBytes)
			}
		}
		sum += ChangeBytes(a)
	}
	if sum > TxnMost {
		return fmt.Errorf("bounds: a transaction of %d bytes, at most %d are allowed", sum, TxnMost)
	}
	return nil
}

func key(k string) error {
	if k == "" || len(k) > KeyMost {
		return fmt.Errorf("bounds: a key of %d bytes, 1 to %d are allowed", len(k), KeyMost)
	}
	if strings.ContainsAny(k, " \t\r\n") {
		return fmt.Errorf("bounds: key %q has a space in it", k)
	}
	return nil
}
