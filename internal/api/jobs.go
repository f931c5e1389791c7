package api

import (
	"context"
	"net/http"
	"regexp"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/micahill/micahill/internal/controller"
	"github.com/micahill/micahill/internal/message"
)

// jobIDPattern is the form of job IDs.
var jobIDPattern = regexp.MustCompile(`^job-[0-9A-Za-z_-]{1,64}$`)

// submitJob passes a submission on. A malformed one goes to the controller too if it has an ID:
// if that job is known, the response is its state.
func (h *handlers) submitJob(c echo.Context) error {
	b, err := readBody(c)
	if err != nil {
		return err
	}
	spec, err := parseJobRequest(b)
	reason := ""
	if err != nil {
		reason = err.Error()
	}
	if spec.ID == "" {
		return h.rejectInput(c, reason)
	}
	return h.forward(c, func(reply uint64) message.Command {
		return message.SubmitJob{Reply: reply, Spec: spec, MalformedReason: reason}
	})
}

func (h *handlers) queryJob(c echo.Context) error {
	id := c.Param("id")
	if !jobIDPattern.MatchString(id) {
		return respondError(c, http.StatusNotFound, "no such job")
	}
	return h.forward(c, func(reply uint64) message.Command { return message.QueryJob{Reply: reply, ID: id} })
}

func (h *handlers) cancelJob(c echo.Context) error {
	id := c.Param("id")
	if !jobIDPattern.MatchString(id) {
		return respondError(c, http.StatusNotFound, "no such job")
	}
	return h.forward(c, func(reply uint64) message.Command { return message.CancelJob{Reply: reply, ID: id} })
}

func (h *handlers) health(c echo.Context) error {
	if !h.backend.Healthy() {
		return respondBusy(c)
	}
	return respond(c, http.StatusOK, map[string]any{"status": "ok"})
}

// forward passes a user's command to the controller and responds with its reply.
func (h *handlers) forward(c echo.Context, newCommand func(reply uint64) message.Command) error {
	ctx, cancel := context.WithTimeout(c.Request().Context(), controllerTimeout)
	defer cancel()
	reply, err := ask[message.UserReply](ctx, h.backend, newCommand)
	if err != nil || ctx.Err() != nil {
		return respondBusy(c)
	}
	// The process may have been paused since the controller replied.
	if _, instead, late := controller.CheckDeadline(reply, time.Now()); late {
		reply = instead.(message.UserReply)
	}
	if reply.RetryAfter > 0 {
		c.Response().Header().Set(echo.HeaderRetryAfter, strconv.Itoa(max(1, int((reply.RetryAfter+time.Second-1)/time.Second))))
	}
	if reply.State == "" {
		return respondError(c, reply.Status, reply.Message)
	}
	body := map[string]any{"id": reply.ID, "status": reply.State}
	if c.Request().Method == http.MethodGet {
		body["done"], body["running"] = reply.Done, reply.Running
	}
	if reply.PromiseRevision > 0 {
		body["promised_s"], body["promise_rev"] = reply.PromisedAfter.Seconds(), reply.PromiseRevision
	}
	return respond(c, reply.Status, body)
}
