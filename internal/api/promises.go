package api

import (
	"net/http"

	"github.com/labstack/echo/v4"
	"github.com/micahill/micahill/internal/message"
)

// PromiseRoutes adds the route for promised completion dates to the operators' server.
func PromiseRoutes(backend Backend) func(*echo.Echo) {
	return func(e *echo.Echo) {
		e.GET("/promises", func(c echo.Context) error {
			atRisk := c.QueryParam("at_risk")
			if atRisk != "" && atRisk != "true" && atRisk != "false" {
				return echo.NewHTTPError(http.StatusBadRequest, "at_risk: want true or false")
			}
			reply, err := askForOperator[message.PromiseReply](c, backend, func(reply uint64) message.Command {
				return message.QueryPromises{Reply: reply, Job: c.QueryParam("job"), Class: c.QueryParam("class"), OnlyAtRisk: atRisk == "true"}
			})
			if err != nil || !reply.OK {
				return echo.NewHTTPError(http.StatusServiceUnavailable, "not known now: the state service does not answer")
			}
			return c.JSON(http.StatusOK, reply)
		})
	}
}
