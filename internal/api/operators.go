package api

import (
	"context"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/micahill/micahill/internal/message"
)

// operatorTimeout bounds the wait for the controller's reply to an operator. It is longer than
// controllerTimeout, since the controller reads and writes the ranking in the state service before
// it replies to a change of the ranking.
const operatorTimeout = 4 * time.Second

// status responds with the controller's status as JSON.
func (handlers *handlers) status(c echo.Context) error {
	ctx, cancel := context.WithTimeout(c.Request().Context(), controllerTimeout)
	defer cancel()
	reply, err := ask[message.StatusReply](ctx, handlers.backend, func(reply uint64) message.Command { return message.QueryStatus{Reply: reply} })
	if err != nil {
		return respondBusy(c)
	}
	return c.JSON(http.StatusOK, reply)
}

// askForOperator passes a command to the controller and waits up to operatorTimeout for a reply of
// type T.
func askForOperator[T message.Effect](c echo.Context, backend Backend, newCommand func(reply uint64) message.Command) (T, error) {
	ctx, cancel := context.WithTimeout(c.Request().Context(), operatorTimeout)
	defer cancel()
	return ask[T](ctx, backend, newCommand)
}
