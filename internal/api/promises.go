package api

import (
	"net/http"

	"github.com/labstack/echo/v4"
	"github.com/micahill/micahill/internal/message"
)

// PromiseRoutes returns a function that adds the route for promised completion dates to the
// operators' server.
func PromiseRoutes(backend Backend) func(*echo.Echo) {
	return func(router *echo.Echo) {
		router.GET("/promises", func(c echo.Context) error {
			atRisk := c.QueryParam("at_risk")
			if atRisk != "" && atRisk != "true" && atRisk != "false" {
				return echo.NewHTTPError(http.StatusBadRequest, "at_risk: want true or false")
			}
			reply, err := askForOperator[message.PromiseReply](c, backend, func(reply uint64) message.Command {
				return message.QueryPromises{Reply: reply, Job: c.QueryParam("job"), Class: c.QueryParam("class"), OnlyAtRisk: atRisk == "true"}
			})
			if err != nil || !reply.OK {
				return echo.NewHTTPError(http.StatusServiceUnavailable, "promises unknown: the state service does not respond")
			}
			return c.JSON(http.StatusOK, reply)
		})
	}
}
