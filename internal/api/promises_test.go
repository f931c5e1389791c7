package api

import (
	"net/http"
	"testing"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/micahill/micahill/internal/message"
	"github.com/vmihailenco/msgpack/v5"
)

// TestPromisedFields: a response has the two fields of a promised date if there is one, and
// neither of them if not.
func TestPromisedFields(t *testing.T) {
	for _, test := range []struct {
		name     string
		revision int
		after    time.Duration
	}{
		{"no date", 0, 0},
		{"second revision", 2, 90500 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			rec := queryWithReply(t, message.UserReply{Status: 200, ID: "job-1", State: "queued", PromisedAfter: test.after, PromiseRevision: test.revision})
			var got struct {
				PromisedS       *float64 `msgpack:"promised_s"`
				PromiseRevision *int     `msgpack:"promise_rev"`
			}
			if err := msgpack.Unmarshal(rec.Body.Bytes(), &got); err != nil {
				t.Fatal(err)
			}
			if test.revision == 0 {
				if got.PromisedS != nil || got.PromiseRevision != nil {
					t.Errorf("got %s, want neither field", rec.Body)
				}
				return
			}
			if got.PromisedS == nil || *got.PromisedS != test.after.Seconds() || got.PromiseRevision == nil || *got.PromiseRevision != test.revision {
				t.Errorf("got %s, want %v and revision %d", rec.Body, test.after, test.revision)
			}
		})
	}
}

// TestLateReplyToUser: a reply that leaves after its deadline, as the process was paused, becomes
// a request to retry.
func TestLateReplyToUser(t *testing.T) {
	for _, test := range []struct {
		name string
		late time.Duration
		want int
	}{
		{"in time", -time.Minute, http.StatusOK},
		{"late", time.Millisecond, http.StatusServiceUnavailable},
	} {
		t.Run(test.name, func(t *testing.T) {
			rec := queryWithReply(t, message.UserReply{Status: 200, ID: "job-1", State: "queued", SendDeadline: time.Now().Add(-test.late)})
			if rec.Code != test.want {
				t.Errorf("status: got %d, want %d", rec.Code, test.want)
			}
			if retry := rec.Header().Get(echo.HeaderRetryAfter); test.want != http.StatusOK && retry == "" {
				t.Error("no Retry-After, want one")
			}
		})
	}
}
