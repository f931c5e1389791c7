package api

import (
	"context"
	"net/http"

	"github.com/labstack/echo/v4"
	"github.com/micahill/micahill/internal/core"
)

// Promises adds the route that shows promised dates to the operators' server.
func Promises(c Core) func(*echo.Echo) {
	return func(e *echo.Echo) {
		e.GET("/promises", func(ec echo.Context) error {
			risk := ec.QueryParam("at_risk")
			if risk != "" && risk != "true" && risk != "false" {
				return echo.NewHTTPError(http.StatusBadRequest, "at_risk: want true or false")
			}
			ctx, cancel := context.WithTimeout(ec.Request().Context(), operatorPatience)
			defer cancel()
			x, err := c.Ask(ctx, func(r uint64) core.Command {
				return core.QueryPromises{Reply: r, Job: ec.QueryParam("job"), Class: ec.QueryParam("class"), OnlyAtRisk: risk == "true"}
			})
			p, ok := x.(core.PromiseReply)
			if err != nil || !ok || !p.OK {
				return echo.NewHTTPError(http.StatusServiceUnavailable, "not known now: the state service does not answer")
			}
			return ec.JSON(http.StatusOK, p)
		})
	}
}
