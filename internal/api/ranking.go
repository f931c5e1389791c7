package api

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/ranking"
)

// operatorTimeout bounds the wait for what an operator asks, such as for a ranking to be
// read and written; he waits longer than a user.
const operatorTimeout = 4 * time.Second

// RankingRoutes adds the routes for the order of work to the operators' server. Those for
// reading answer from what this controller knows, also while the state service is away.
func RankingRoutes(backend Backend) func(*echo.Echo) {
	forward := func(ec echo.Context, newCommand func(reply uint64) message.Command) error {
		ctx, cancel := context.WithTimeout(ec.Request().Context(), operatorTimeout)
		defer cancel()
		e, err := backend.Ask(ctx, newCommand)
		r, ok := e.(message.RankingReply)
		if err != nil || !ok {
			return echo.NewHTTPError(http.StatusServiceUnavailable, "no answer in time")
		}
		if r.Status != http.StatusOK {
			return echo.NewHTTPError(r.Status, r.Message)
		}
		return ec.JSON(http.StatusOK, r)
	}
	return func(e *echo.Echo) {
		e.GET("/ranking", func(ec echo.Context) error {
			query := message.QueryRanking{Job: ec.QueryParam("why"), History: ec.QueryParam("history") == "true"}
			if query.Job != "" && !jobIDPattern.MatchString(query.Job) {
				return echo.NewHTTPError(http.StatusBadRequest, "why: "+strconv.Quote(query.Job)+" is no job's id: want job- and up to 64 letters, digits, hyphens and underscores")
			}
			return forward(ec, func(reply uint64) message.Command { query.Reply = reply; return query })
		})
		e.POST("/ranking", func(ec echo.Context) error {
			b, err := readBody(ec)
			if err != nil {
				return err
			}
			set := message.SetRanking{AnyRevision: ec.QueryParam("rev") == "", Deadline: time.Now().Add(operatorTimeout * 3 / 4)}
			if !set.AnyRevision {
				if set.Revision, err = strconv.ParseUint(ec.QueryParam("rev"), 10, 64); err != nil {
					return echo.NewHTTPError(http.StatusBadRequest, "rev: "+strconv.Quote(ec.QueryParam("rev"))+": want a revision, as show gives it")
				}
			}
			if set.Record, err = ranking.Parse(b); err != nil {
				return echo.NewHTTPError(http.StatusBadRequest, err.Error())
			}
			if set.Record.SetBy = ec.QueryParam("by"); set.Record.SetBy == "" || len(set.Record.SetBy) > ranking.MaxSetByLen {
				return echo.NewHTTPError(http.StatusBadRequest, "by: want a name of 1 to "+strconv.Itoa(ranking.MaxSetByLen)+" bytes")
			}
			return forward(ec, func(reply uint64) message.Command { set.Reply = reply; return set })
		})
	}
}
