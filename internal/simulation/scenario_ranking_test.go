package simulation

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/ranking"
)

// setRanking sets a ranking at one controller or at several at once, and prints their replies.
func (s *scenario) setRanking(t *testing.T, d *datadriven.TestData) string {
	var controllers []int
	for _, c := range d.CmdArgs {
		if c.Key == "node" {
			for _, v := range c.Vals {
				var i int
				if _, err := fmt.Sscan(v, &i); err != nil {
					d.Fatalf(t, "node: %v", err)
				}
				controllers = append(controllers, i)
			}
		}
	}
	replies := make([]string, len(controllers))
	for k, i := range controllers {
		c := message.SetRanking{Record: mustParseRanking(t, d.Input, fmt.Sprintf("n%d", i)), AnyRevision: !d.HasArg("rev"), Revision: uint64(arg(t, d, "rev", 0))}
		replies[k] = "no answer"
		s.world.SetRanking(i, c, func(r message.RankingReply) {
			replies[k] = fmt.Sprintf("%d revision %d %s", r.Status, r.Revision, r.Message)
		})
	}
	s.world.Run(durationArg(t, d, "for", 4.5))
	if d.HasArg("quiet") {
		// Which change gets through bad links is random.
		return ""
	}
	return strings.Join(replies, "\n") + "\n"
}

// describeRanking prints the stored ranking, and how many running controllers do not know it.
func (s *scenario) describeRanking(t *testing.T) string {
	row := s.world.state.records["ctl/ranking"]
	if row == nil {
		return "none\n"
	}
	rec, err := ranking.Decode(row.value)
	if err != nil {
		return err.Error() + "\n"
	}
	var names []string
	for _, c := range rec.Classes {
		names = append(names, c.Name)
	}
	behind := 0
	for i, p := range s.world.controllers {
		if !p.alive {
			continue
		}
		s.world.controllers[i].request(func(r uint64) message.Command { return message.QueryRanking{Reply: r} }, func(e message.Effect) {
			if e.(message.RankingReply).Revision != rec.Revision {
				behind++
			}
		})
	}
	s.world.Run(time.Second)
	return fmt.Sprintf("revision %d by %s: %s; %d behind\n", rec.Revision, rec.SetBy, strings.Join(names, ", "), behind)
}

// explainWaiting asks the shard leader of team ops why a job waits.
func (s *scenario) explainWaiting(id string) string {
	out := "no answer"
	s.world.controllers[s.world.shardLeaderOf("ops")].request(func(r uint64) message.Command { return message.QueryRanking{Reply: r, Job: id} }, func(e message.Effect) { out = e.(message.RankingReply).Explanation })
	s.world.Run(time.Second)
	// What is free at this moment is random.
	out, _, _ = strings.Cut(out, ";")
	return out + "\n"
}

// describeUnfinished prints how many jobs are not done, and the violations.
func (s *scenario) describeUnfinished() string {
	k := 0
	for _, j := range s.world.jobs {
		k += boolInt(j.lastState != "done")
	}
	return strings.Join(append([]string{fmt.Sprint(k)}, s.world.Violations...), "\n") + "\n"
}
