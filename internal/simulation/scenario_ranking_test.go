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

// setRanking sends the ranking in the command's input to one or several controllers at once, and returns one
// reply a line. With the argument quiet it returns an empty text.
func (scenario *scenario) setRanking(t *testing.T, command *datadriven.TestData) string {
	var controllers []int
	for _, argument := range command.CmdArgs {
		if argument.Key == "node" {
			for _, v := range argument.Vals {
				var i int
				if _, err := fmt.Sscan(v, &i); err != nil {
					command.Fatalf(t, "node: %v", err)
				}
				controllers = append(controllers, i)
			}
		}
	}
	replies := make([]string, len(controllers))
	for k, i := range controllers {
		request := message.SetRanking{Record: mustParseRanking(t, command.Input, fmt.Sprintf("n%d", i)), AnyRevision: !command.HasArg("rev"), Revision: uint64(arg(t, command, "rev", 0))}
		replies[k] = "no answer"
		scenario.world.SetRanking(i, request, func(reply message.RankingReply) {
			replies[k] = fmt.Sprintf("%d revision %d %s", reply.Status, reply.Revision, reply.Message)
		})
	}
	scenario.world.Run(durationArg(t, command, "for", 4.5))
	if command.HasArg("quiet") {
		// Over faulty links, the change that succeeds is random.
		return ""
	}
	return strings.Join(replies, "\n") + "\n"
}

// describeRanking returns a line with the stored ranking and with the number of running controllers that use
// another revision.
func (scenario *scenario) describeRanking(t *testing.T) string {
	stored := scenario.world.state.records["ctl/ranking"]
	if stored == nil {
		return "none\n"
	}
	rec, err := ranking.Decode(stored.value)
	if err != nil {
		return err.Error() + "\n"
	}
	var names []string
	for _, class := range rec.Classes {
		names = append(names, class.Name)
	}
	behind := 0
	for i, process := range scenario.world.controllers {
		if !process.alive {
			continue
		}
		scenario.world.controllers[i].request(func(reply uint64) message.Command { return message.QueryRanking{Reply: reply} }, func(effect message.Effect) {
			if effect.(message.RankingReply).Revision != rec.Revision {
				behind++
			}
		})
	}
	scenario.world.Run(time.Second)
	return fmt.Sprintf("revision %d by %s: %s; %d behind\n", rec.Revision, rec.SetBy, strings.Join(names, ", "), behind)
}

// explainWaiting returns the explanation of the shard leader of team ops why a job waits, without the free
// capacity.
func (scenario *scenario) explainWaiting(id string) string {
	explanation := "no answer"
	scenario.world.controllers[scenario.world.shardLeaderOf("ops")].request(func(reply uint64) message.Command { return message.QueryRanking{Reply: reply, Job: id} }, func(effect message.Effect) { explanation = effect.(message.RankingReply).Explanation })
	scenario.world.Run(time.Second)
	// The text after the semicolon says which capacity is free at this moment, which is random.
	explanation, _, _ = strings.Cut(explanation, ";")
	return explanation + "\n"
}

// describeUnfinished returns the number of jobs that are not done, followed by the violations, one a line.
func (scenario *scenario) describeUnfinished() string {
	unfinished := 0
	for _, job := range scenario.world.jobs {
		unfinished += boolInt(job.lastState != "done")
	}
	return strings.Join(append([]string{fmt.Sprint(unfinished)}, scenario.world.Violations...), "\n") + "\n"
}
