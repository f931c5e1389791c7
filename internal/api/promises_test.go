package api

import (
	"net/http"
	"testing"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/micahill/micahill/internal/message"
	"github.com/vmihailenco/msgpack/v5"
)

// TestPromisedFields checks that the response for a job with a promised date has both of its fields,
// and that the response for a job without one has neither. A client would take a zero for a date.
func TestPromisedFields(t *testing.T) {
	for _, test := range []struct {
		name     string
		revision int
		after    time.Duration
	}{
		{"no promised date", 0, 0},
		{"second revision of the date", 2, 90500 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			recorder := queryWithReply(t, message.UserReply{Status: 200, ID: "job-1", State: "queued", PromisedAfter: test.after, PromiseRevision: test.revision})
			var got struct {
				PromisedS       *float64 `msgpack:"promised_s"`
				PromiseRevision *int     `msgpack:"promise_rev"`
			}
			if err := msgpack.Unmarshal(recorder.Body.Bytes(), &got); err != nil {
				t.Fatal(err)
			}
			if test.revision == 0 {
				if got.PromisedS != nil || got.PromiseRevision != nil {
					t.Errorf("got %s, want neither promised_s nor promise_rev", recorder.Body)
				}
				return
			}
			if got.PromisedS == nil || *got.PromisedS != test.after.Seconds() || got.PromiseRevision == nil || *got.PromiseRevision != test.revision {
				t.Errorf("got %s, want %v and revision %d", recorder.Body, test.after, test.revision)
			}
		})
	}
}

// TestLateReplyToUser checks that a reply whose deadline has passed, because the process was paused,
// is replaced by a 503 that asks the user to retry. The job's state in the late reply may be stale:
// another controller may have reported a newer state to users in the meantime.
func TestLateReplyToUser(t *testing.T) {
	for _, test := range []struct {
		name string
		late time.Duration
		want int
	}{
		{"before the deadline", -time.Minute, http.StatusOK},
		{"after the deadline", time.Millisecond, http.StatusServiceUnavailable},
	} {
		t.Run(test.name, func(t *testing.T) {
			recorder := queryWithReply(t, message.UserReply{Status: 200, ID: "job-1", State: "queued", SendDeadline: time.Now().Add(-test.late)})
			if recorder.Code != test.want {
				t.Errorf("status: got %d, want %d", recorder.Code, test.want)
			}
			if retry := recorder.Header().Get(echo.HeaderRetryAfter); test.want != http.StatusOK && retry == "" {
				t.Error("no Retry-After, want one")
			}
		})
	}
}
