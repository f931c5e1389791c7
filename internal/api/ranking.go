package api

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/micahill/micahill/internal/core"
	"github.com/micahill/micahill/internal/ranking"
)

// operatorPatience bounds the wait for what an operator asks, such as for a ranking to be
// read and written; he waits longer than a user.
const operatorPatience = 4 * time.Second

// Ranking adds the routes for the order of work to the operators' server. Those for
// reading answer from what this controller knows, also while the state service is away.
func Ranking(c Core) func(*echo.Echo) {
	ask := func(ec echo.Context, mk func(reply uint64) core.Command) error {
		ctx, cancel := context.WithTimeout(ec.Request().Context(), operatorPatience)
		defer cancel()
		e, err := c.Ask(ctx, mk)
		r, ok := e.(core.RankingReply)
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
			q := core.QueryRanking{Job: ec.QueryParam("why"), History: ec.QueryParam("history") == "true"}
			if q.Job != "" && !idForm.MatchString(q.Job) {
				return echo.NewHTTPError(http.StatusBadRequest, "why: "+strconv.Quote(q.Job)+" is no job's id: want job- and up to 64 letters, digits, hyphens and underscores")
			}
			return ask(ec, func(reply uint64) core.Command { q.Reply = reply; return q })
		})
		e.POST("/ranking", func(ec echo.Context) error {
			b, err := body(ec)
			if err != nil {
				return err
			}
			s := core.SetRanking{AnyRevision: ec.QueryParam("rev") == "", Deadline: time.Now().Add(operatorPatience * 3 / 4)}
			if !s.AnyRevision {
				if s.Revision, err = strconv.ParseUint(ec.QueryParam("rev"), 10, 64); err != nil {
					return echo.NewHTTPError(http.StatusBadRequest, "rev: "+strconv.Quote(ec.QueryParam("rev"))+": want a revision, as show gives it")
				}
			}
			if s.Record, err = ranking.Parse(b); err != nil {
				return echo.NewHTTPError(http.StatusBadRequest, err.Error())
			}
			if s.Record.SetBy = ec.QueryParam("by"); s.Record.SetBy == "" || len(s.Record.SetBy) > ranking.MaxSetByLen {
				return echo.NewHTTPError(http.StatusBadRequest, "by: want a name of 1 to "+strconv.Itoa(ranking.MaxSetByLen)+" bytes")
			}
			return ask(ec, func(reply uint64) core.Command { s.Reply = reply; return s })
		})
	}
}
