package record

import (
	"errors"
	"testing"

	"github.com/micahill/micahill/internal/sizelimit"
)

// TestDecodeRecord guards against damaged values that are taken for records, and against decode
// errors without the key or the reason. It also checks that Decode and DecodeRecord agree.
func TestDecodeRecord(t *testing.T) {
	valid := Encode(Leader{Host: "ctl-2", Incarnation: "n-18.1"})
	for _, c := range []struct {
		name      string
		value     []byte
		want      error
		wantValid bool
	}{
		{name: "valid record", value: valid, wantValid: true},
		{name: "empty value", value: nil, want: sizelimit.ErrValue},
		{name: "truncated record", value: valid[:len(valid)-1], want: sizelimit.ErrValue},
		{name: "list with a length beyond the value", value: []byte{0xdd, 0xff, 0xff, 0xff, 0xff}, want: sizelimit.ErrValue},
		{name: "value of another type", value: Encode("ctl-2")},
	} {
		t.Run(c.name, func(t *testing.T) {
			var leader Leader
			err := DecodeRecord(LeaderKey, c.value, &leader)
			if (err == nil) != c.wantValid {
				t.Fatalf("got error %v, want success: %v", err, c.wantValid)
			}
			if got := Decode(c.value, new(Leader)); got != c.wantValid {
				t.Errorf("Decode: got %v, want %v", got, c.wantValid)
			}
			if c.wantValid {
				return
			}
			var decodeErr *DecodeError
			if !errors.As(err, &decodeErr) || decodeErr.Key != LeaderKey || decodeErr.Reason == "" {
				t.Errorf("got error %#v, want a DecodeError of %s with a reason", err, LeaderKey)
			}
			if c.want != nil && !errors.Is(err, c.want) {
				t.Errorf("got error %v, want %v", err, c.want)
			}
		})
	}
}
