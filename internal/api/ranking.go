package api

import (
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/ranking"
)

// RankingRoutes adds the routes for the ranking to the operators' server. Reading needs only what
// this controller knows, and so works while the state service is unavailable.
func RankingRoutes(backend Backend) func(*echo.Echo) {
	return func(e *echo.Echo) {
		e.GET("/ranking", func(c echo.Context) error {
			query, err := parseRankingQuery(c)
			if err != nil {
				return err
			}
			return forwardRanking(c, backend, func(reply uint64) message.Command { query.Reply = reply; return query })
		})
		e.POST("/ranking", func(c echo.Context) error {
			set, err := parseSetRanking(c)
			if err != nil {
				return err
			}
			return forwardRanking(c, backend, func(reply uint64) message.Command { set.Reply = reply; return set })
		})
	}
}

// parseRankingQuery reads the parameters of a query. Its errors are HTTP errors.
func parseRankingQuery(c echo.Context) (message.QueryRanking, error) {
	query := message.QueryRanking{Job: c.QueryParam("why"), History: c.QueryParam("history") == "true"}
	if query.Job != "" && !jobIDPattern.MatchString(query.Job) {
		return query, echo.NewHTTPError(http.StatusBadRequest, "why: "+strconv.Quote(query.Job)+" is no job's id: want job- and up to 64 letters, digits, hyphens and underscores")
	}
	return query, nil
}

// parseSetRanking reads the parameters and the body of a change. Its errors are HTTP errors. The
// deadline is ahead of operatorTimeout, so that nothing is written after the operator was told
// that it failed.
func parseSetRanking(c echo.Context) (message.SetRanking, error) {
	b, err := readBody(c)
	if err != nil {
		return message.SetRanking{}, err
	}
	set := message.SetRanking{AnyRevision: c.QueryParam("rev") == "", Deadline: time.Now().Add(operatorTimeout * 3 / 4)}
	if !set.AnyRevision {
		if set.Revision, err = strconv.ParseUint(c.QueryParam("rev"), 10, 64); err != nil {
			return set, echo.NewHTTPError(http.StatusBadRequest, "rev: "+strconv.Quote(c.QueryParam("rev"))+": want a revision, as show gives it")
		}
	}
	if set.Record, err = ranking.Parse(b); err != nil {
		return set, echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	if set.Record.SetBy = c.QueryParam("by"); set.Record.SetBy == "" || len(set.Record.SetBy) > ranking.MaxSetByLen {
		return set, echo.NewHTTPError(http.StatusBadRequest, "by: want a name of 1 to "+strconv.Itoa(ranking.MaxSetByLen)+" bytes")
	}
	return set, nil
}

// forwardRanking passes a command to the controller and responds with its reply.
func forwardRanking(c echo.Context, backend Backend, newCommand func(reply uint64) message.Command) error {
	reply, err := askForOperator[message.RankingReply](c, backend, newCommand)
	if err != nil {
		return echo.NewHTTPError(http.StatusServiceUnavailable, "no answer in time")
	}
	if reply.Status != http.StatusOK {
		return echo.NewHTTPError(reply.Status, reply.Message)
	}
	return c.JSON(http.StatusOK, reply)
}
