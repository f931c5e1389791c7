package api

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/micahill/micahill/internal/controller"
	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/worker"
	"github.com/vmihailenco/msgpack/v5"
)

// heartbeat passes a worker's heartbeat to the controller. It responds with the controller's
// commands for the worker, or, if another controller owns the worker's machine, with the name of
// the machine owner, to which the worker should send its heartbeats.
func (handlers *handlers) heartbeat(c echo.Context) error {
	body, err := readBody(c)
	if err != nil {
		return err
	}
	if conn, ok := c.Request().Context().Value(connContextKey{}).(net.Conn); ok && handlers.conns.markWorker(conn) {
		c.Response().Header().Set(echo.HeaderConnection, "close")
	}
	var wire worker.Heartbeat
	if err := msgpack.Unmarshal(body, &wire); err != nil {
		return handlers.rejectInput(c, "not a MessagePack map with a report's fields: "+err.Error())
	}
	heartbeat := wire.Decode()
	if err := heartbeat.Validate(); err != nil {
		return handlers.rejectInput(c, "field "+err.Error())
	}
	ctx, cancel := context.WithTimeout(c.Request().Context(), controllerTimeout)
	defer cancel()
	reply, err := ask[message.HeartbeatReply](ctx, handlers.backend, func(reply uint64) message.Command {
		return message.WorkerHeartbeat{Reply: reply, Heartbeat: heartbeat}
	})
	if err != nil {
		return respondBusy(c)
	}
	// The process may have been paused since the controller replied, so the reply's deadline may
	// have passed.
	if _, instead, late := controller.CheckDeadline(reply, time.Now()); late {
		reply = instead.(message.HeartbeatReply)
	}
	switch {
	case reply.Status == http.StatusOK:
		worker.LogCommands(ctx, "command sent in heartbeat reply", heartbeat.Machine, reply.Epoch, reply.Commands)
		return respond(c, http.StatusOK, map[string]any{"epoch": reply.Epoch, "orders": worker.EncodeReply(reply)})
	case reply.MachineOwner != "":
		return respond(c, reply.Status, map[string]any{"steward": reply.MachineOwner})
	}
	return respondError(c, reply.Status, "not the steward")
}
