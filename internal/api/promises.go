package api

import (
	"context"
	"net/http"

	"github.com/labstack/echo/v4"
	"github.com/micahill/micahill/internal/message"
)

// PromiseRoutes adds the route that shows promised dates to the operators' server.
func PromiseRoutes(backend Backend) func(*echo.Echo) {
	return func(e *echo.Echo) {
		e.GET("/promises", func(ec echo.Context) error {
			atRisk := ec.QueryParam("at_risk")
			if atRisk != "" && atRisk != "true" && atRisk != "false" {
				return echo.NewHTTPError(http.StatusBadRequest, "at_risk: want true or false")
			}
			ctx, cancel := context.WithTimeout(ec.Request().Context(), operatorTimeout)
			defer cancel()
			effect, err := backend.Ask(ctx, func(r uint64) message.Command {
				return message.QueryPromises{Reply: r, Job: ec.QueryParam("job"), Class: ec.QueryParam("class"), OnlyAtRisk: atRisk == "true"}
			})
			reply, ok := effect.(message.PromiseReply)
			if err != nil || !ok || !reply.OK {
				return echo.NewHTTPError(http.StatusServiceUnavailable, "not known now: the state service does not answer")
			}
			return ec.JSON(http.StatusOK, reply)
		})
	}
}
