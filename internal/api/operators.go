package api

import (
	"context"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/micahill/micahill/internal/message"
)

// operatorTimeout bounds the wait for replies to operators. It is longer than that for users,
// as a ranking is read and written meanwhile.
const operatorTimeout = 4 * time.Second

// status responds with the controller's status.
func (h *handlers) status(c echo.Context) error {
	ctx, cancel := context.WithTimeout(c.Request().Context(), controllerTimeout)
	defer cancel()
	reply, err := ask[message.StatusReply](ctx, h.backend, func(reply uint64) message.Command { return message.QueryStatus{Reply: reply} })
	if err != nil {
		return respondBusy(c)
	}
	return c.JSON(http.StatusOK, reply)
}

// askForOperator is ask with the operators' timeout.
func askForOperator[T message.Effect](c echo.Context, backend Backend, newCommand func(reply uint64) message.Command) (T, error) {
	ctx, cancel := context.WithTimeout(c.Request().Context(), operatorTimeout)
	defer cancel()
	return ask[T](ctx, backend, newCommand)
}
