package api

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/micahill/micahill/internal/message"
	"github.com/vmihailenco/msgpack/v5"
)

// fixedBackend is a core that answers everything the same.
type fixedBackend struct{ reply message.UserReply }

func (c fixedBackend) Healthy() bool { return true }
func (c fixedBackend) Ask(context.Context, func(uint64) message.Command) (message.Effect, error) {
	return c.reply, nil
}

// TestPromisedFields: an answer has the two fields if there is a date, and neither else.
func TestPromisedFields(t *testing.T) {
	for rev, after := range map[int]time.Duration{0: 0, 2: 90500 * time.Millisecond} {
		h := &handlers{backend: fixedBackend{message.UserReply{Status: 200, ID: "job-1", State: "queued", PromisedAfter: after, PromiseRevision: rev}}}
		rec := httptest.NewRecorder()
		c := echo.New().NewContext(httptest.NewRequest(http.MethodGet, "/v2/runs/job-1", nil), rec)
		c.SetParamNames("id")
		c.SetParamValues("job-1")
		if err := h.queryJob(c); err != nil {
			t.Fatal(err)
		}
		var m struct {
			S   *float64 `msgpack:"promised_s"`
			Rev *int     `msgpack:"promise_rev"`
		}
		if err := msgpack.Unmarshal(rec.Body.Bytes(), &m); err != nil {
			t.Fatal(err)
		}
		if rev == 0 && (m.S != nil || m.Rev != nil) || rev > 0 && (m.S == nil || *m.S != 90.5 || m.Rev == nil || *m.Rev != 2) {
			t.Errorf("revision %d: %s", rev, rec.Body)
		}
	}
}

// TestLateAnswerToUser: the core has answered, and the process stood still before that left.
func TestLateAnswerToUser(t *testing.T) {
	for late, status := range map[time.Duration]int{-time.Minute: http.StatusOK, time.Millisecond: http.StatusServiceUnavailable} {
		h := &handlers{backend: fixedBackend{message.UserReply{Status: 200, ID: "job-1", State: "queued", SendDeadline: time.Now().Add(-late)}}}
		rec := httptest.NewRecorder()
		c := echo.New().NewContext(httptest.NewRequest(http.MethodGet, "/v2/runs/job-1", nil), rec)
		c.SetParamNames("id")
		c.SetParamValues("job-1")
		if err := h.queryJob(c); err != nil {
			t.Fatal(err)
		}
		if rec.Code != status || status != 200 && rec.Header().Get(echo.HeaderRetryAfter) == "" {
			t.Errorf("answered %d, come back after %q, want %d", rec.Code, rec.Header().Get(echo.HeaderRetryAfter), status)
		}
	}
}
