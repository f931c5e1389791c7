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

// jobIDPattern matches valid job IDs.
var jobIDPattern = regexp.MustCompile(`^job-[0-9A-Za-z_-]{1,64}$`)

// submitJob passes a submission to the controller. It also passes on a malformed submission that has
// a valid job ID: if the job is known, the response is the job's state.
func (handlers *handlers) submitJob(c echo.Context) error {
	body, err := readBody(c)
	if err != nil {
		return err
	}
	spec, err := parseJobRequest(body)
	reason := ""
	if err != nil {
		reason = err.Error()
	}
	if spec.ID == "" {
		return handlers.rejectInput(c, reason)
	}
	return handlers.forward(c, func(reply uint64) message.Command {
		return message.SubmitJob{Reply: reply, Spec: spec, MalformedReason: reason}
	})
}

// queryJob responds with a job's state and its numbers of completed and running tasks.
func (handlers *handlers) queryJob(c echo.Context) error {
	id := c.Param("id")
	if !jobIDPattern.MatchString(id) {
		return respondError(c, http.StatusNotFound, "no such job")
	}
	return handlers.forward(c, func(reply uint64) message.Command { return message.QueryJob{Reply: reply, ID: id} })
}

// cancelJob passes the cancellation of a job to the controller, and responds with the job's state.
func (handlers *handlers) cancelJob(c echo.Context) error {
	id := c.Param("id")
	if !jobIDPattern.MatchString(id) {
		return respondError(c, http.StatusNotFound, "no such job")
	}
	return handlers.forward(c, func(reply uint64) message.Command { return message.CancelJob{Reply: reply, ID: id} })
}

// health responds with a 200 if the controller can serve requests, and otherwise with a 503.
func (handlers *handlers) health(c echo.Context) error {
	if !handlers.backend.Healthy() {
		return respondBusy(c)
	}
	return respond(c, http.StatusOK, map[string]any{"status": "ok"})
}

// forward passes a user's command to the controller and responds with the controller's reply.
func (handlers *handlers) forward(c echo.Context, newCommand func(reply uint64) message.Command) error {
	ctx, cancel := context.WithTimeout(c.Request().Context(), controllerTimeout)
	defer cancel()
	reply, err := ask[message.UserReply](ctx, handlers.backend, newCommand)
	if err != nil || ctx.Err() != nil {
		return respondBusy(c)
	}
	// The process may have been paused since the controller replied, so the reply's deadline may
	// have passed.
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
