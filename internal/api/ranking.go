package api

import (
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/ranking"
)

// RankingRoutes returns a function that adds the routes for the ranking to the operators' server. A
// query reads only this controller's memory, so it succeeds while the state service is unavailable.
func RankingRoutes(backend Backend) func(*echo.Echo) {
	return func(router *echo.Echo) {
		router.GET("/ranking", func(c echo.Context) error {
			query, err := parseRankingQuery(c)
			if err != nil {
				return err
			}
			return forwardRanking(c, backend, func(reply uint64) message.Command { query.Reply = reply; return query })
		})
		router.POST("/ranking", func(c echo.Context) error {
			set, err := parseSetRanking(c)
			if err != nil {
				return err
			}
			return forwardRanking(c, backend, func(reply uint64) message.Command { set.Reply = reply; return set })
		})
	}
}

// parseRankingQuery parses the parameters of a query for the ranking. Its errors are HTTP errors.
func parseRankingQuery(c echo.Context) (message.QueryRanking, error) {
	query := message.QueryRanking{Job: c.QueryParam("why"), History: c.QueryParam("history") == "true"}
	if query.Job != "" && !jobIDPattern.MatchString(query.Job) {
		return query, echo.NewHTTPError(http.StatusBadRequest, "why: "+strconv.Quote(query.Job)+" is no job's id: want job- and up to 64 letters, digits, hyphens and underscores")
	}
	return query, nil
}

// parseSetRanking parses the parameters and the body of a request to change the ranking. Its errors
// are HTTP errors. The command's deadline is earlier than operatorTimeout, so that the controller
// writes nothing after the operator has been told that the change failed.
func parseSetRanking(c echo.Context) (message.SetRanking, error) {
	body, err := readBody(c)
	if err != nil {
		return message.SetRanking{}, err
	}
	set := message.SetRanking{AnyRevision: c.QueryParam("rev") == "", Deadline: time.Now().Add(operatorTimeout * 3 / 4)}
	if !set.AnyRevision {
		if set.Revision, err = strconv.ParseUint(c.QueryParam("rev"), 10, 64); err != nil {
			return set, echo.NewHTTPError(http.StatusBadRequest, "rev: "+strconv.Quote(c.QueryParam("rev"))+": want a revision, as show gives it")
		}
	}
	if set.Record, err = ranking.Parse(body); err != nil {
		return set, echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	if set.Record.SetBy = c.QueryParam("by"); set.Record.SetBy == "" || len(set.Record.SetBy) > ranking.MaxSetByLen {
		return set, echo.NewHTTPError(http.StatusBadRequest, "by: want a name of 1 to "+strconv.Itoa(ranking.MaxSetByLen)+" bytes")
	}
	return set, nil
}

// forwardRanking passes an operator's command on the ranking to the controller, and responds with the
// controller's reply as JSON.
func forwardRanking(c echo.Context, backend Backend, newCommand func(reply uint64) message.Command) error {
	reply, err := askForOperator[message.RankingReply](c, backend, newCommand)
	if err != nil {
		return echo.NewHTTPError(http.StatusServiceUnavailable, "the controller did not reply in time")
	}
	if reply.Status != http.StatusOK {
		return echo.NewHTTPError(reply.Status, reply.Message)
	}
	return c.JSON(http.StatusOK, reply)
}
