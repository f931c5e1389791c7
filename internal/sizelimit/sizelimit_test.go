package sizelimit

import (
	"encoding/json"
	"math"
	"strings"
	"testing"
	"unicode/utf16"
	"unicode/utf8"

	_ "github.com/micahill/micahill/internal/testseed"
	"github.com/vmihailenco/msgpack/v5"
	"pgregory.net/rapid"
)

// anyValue returns a generator of values that a record may contain, nested up to depth levels.
func anyValue(depth int) *rapid.Generator[any] {
	leaf := rapid.OneOf(
		rapid.Just[any](nil), rapid.Bool().AsAny(), rapid.Int64().AsAny(), rapid.Uint64().AsAny(), rapid.Int8().AsAny(),
		rapid.Float64Range(-1e18, 1e18).AsAny(), rapid.String().AsAny(), rapid.StringN(0, 40, 80).AsAny(),
	)
	if depth == 0 {
		return leaf
	}
	return rapid.OneOf(leaf,
		rapid.SliceOfN(anyValue(depth-1), 0, 20).AsAny(),
		rapid.MapOfN(rapid.StringN(0, 12, 24), anyValue(depth-1), 0, 20).AsAny())
}

// TestJSONSizeIsAnUpperBound guards against a bound that is too small: a receiver that encodes JSON
// with spaces or escapes would count more bytes and refuse a message that passed the check here.
func TestJSONSizeIsAnUpperBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := anyValue(3).Draw(t, "value")
		b, err := msgpack.Marshal(v)
		if err != nil {
			t.Fatal(err)
		}
		n, err := JSONSize(b)
		if err != nil {
			t.Fatalf("%v: %v", v, err)
		}
		compact, err := json.Marshal(v)
		if err != nil {
			t.Fatal(err)
		}
		spaced, _ := json.MarshalIndent(v, "", "")
		// Indented JSON has a line end after each comma and bracket. An encoder that writes ASCII
		// only escapes all other characters.
		escaped := len(compact)
		for _, r := range string(compact) {
			if r > 0x7f {
				escaped += 6*len(utf16.Encode([]rune{r})) - utf8.RuneLen(r)
			}
		}
		want := max(len(compact), escaped, len(strings.ReplaceAll(string(spaced), "\n", " "))-strings.Count(string(spaced), "[")-strings.Count(string(spaced), "{"))
		// Go escapes <, > and &, and the receivers' encoders do not.
		want -= 5 * (strings.Count(string(compact), `\u003c`) + strings.Count(string(compact), `\u003e`) + strings.Count(string(compact), `\u0026`))
		if n < want {
			t.Fatalf("JSON: got a bound of %d bytes, want at least %d: %s", n, want, compact)
		}
	})
}

// TestJSONSizeOfArbitraryBytes guards against a panic, or a length without an error, on bytes that are not
// a value.
func TestJSONSizeOfArbitraryBytes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n, err := JSONSize(rapid.SliceOf(rapid.Byte()).Draw(t, "bytes"))
		if err == nil && n <= 0 {
			t.Fatal("JSON: got no length and no error, want one of them")
		}
	})
}

// TestCheckTxn checks that a transaction which exceeds a limit is refused, with an error that
// names the limit.
func TestCheckTxn(t *testing.T) {
	limits := Limits{ValueBytes: 100, Ops: 2}
	valueOf := func(n int) []byte {
		b, err := msgpack.Marshal(map[string]any{"v": strings.Repeat("x", n)})
		if err != nil {
			t.Fatal(err)
		}
		return b
	}
	put := func(k string, n int) []Write { return []Write{{k, valueOf(n)}} }
	for _, test := range []struct {
		name     string
		compares []string
		writes   []Write
		want     string
	}{
		{"fits", []string{"a/b"}, put("a/b", 80), ""},
		{"value too large", nil, put("a/b", 100), "key a/b: a value of"},
		{"too many changes", nil, []Write{{"a", nil}, {"b", nil}, {"c", nil}}, "3 changes"},
		{"too many conditions", make([]string, 9), nil, "9 conditions"},
		{"key too long", nil, put(strings.Repeat("k", MaxKeyBytes+1), 1), "a key of 201 bytes"},
		{"space in key", nil, put("a b", 1), "contains white space"},
		{"binary value", nil, []Write{{"a", []byte{0xc4, 1, 0}}}, "not a MessagePack value"},
	} {
		t.Run(test.name, func(t *testing.T) {
			err := limits.CheckTxn(test.compares, test.writes)
			if test.want == "" != (err == nil) || err != nil && !strings.Contains(err.Error(), test.want) {
				t.Errorf("CheckTxn: got error %v, want %q", err, test.want)
			}
		})
	}
	unlimited := Limits{ValueBytes: math.MaxInt32, Ops: 100}
	if err := unlimited.CheckTxn(nil, put("a", MaxTxnBytes)); err == nil || !strings.Contains(err.Error(), "a transaction of") {
		t.Errorf("large transaction: got error %v, want its size", err)
	}
}
