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

// setRanking sets a ranking by one controller or several at once, and says what each was told.
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
	told := make([]string, len(controllers))
	for k, i := range controllers {
		c := message.SetRanking{Record: mustParseRanking(t, d.Input, fmt.Sprintf("n%d", i)), AnyRevision: !d.HasArg("rev"), Revision: uint64(arg(t, d, "rev", 0))}
		told[k] = "no answer"
		s.world.SetRanking(i, c, func(r message.RankingReply) {
			told[k] = fmt.Sprintf("%d revision %d %s", r.Status, r.Revision, r.Message)
		})
	}
	s.world.Run(durationArg(t, d, "for", 4.5))
	if d.HasArg("quiet") {
		// Which change gets through bad links is luck.
		return ""
	}
	return strings.Join(told, "\n") + "\n"
}

// describeRanking shows the record in the state service, and whether all living controllers
// know it.
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

// explainWaiting asks the owner of a job's team why it waits.
func (s *scenario) explainWaiting(id string) string {
	out := "no answer"
	s.world.controllers[s.world.shardLeaderOf("ops")].request(func(r uint64) message.Command { return message.QueryRanking{Reply: r, Job: id} }, func(e message.Effect) { out = e.(message.RankingReply).Explanation })
	s.world.Run(time.Second)
	// What is free just then is luck.
	out, _, _ = strings.Cut(out, ";")
	return out + "\n"
}

// describeUnfinished counts the jobs that are not done, and tells what was broken.
func (s *scenario) describeUnfinished() string {
	k := 0
	for _, j := range s.world.jobs {
		k += boolInt(j.lastState != "done")
	}
	return strings.Join(append([]string{fmt.Sprint(k)}, s.world.Violations...), "\n") + "\n"
}
