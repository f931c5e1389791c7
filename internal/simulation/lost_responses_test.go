package simulation

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/micahill/micahill/internal/controller"
	"github.com/micahill/micahill/internal/message"
)

// lostResponses loses the responses to a random fraction of the transactions. The transaction itself is
// applied, but whatever the state service sends to its sender at that moment is lost: the response to the
// transaction, and the response of a watch.
type lostResponses struct {
	// fraction is the probability, from 0 to 1, that the response to a transaction is lost.
	fraction float64
	// senderByKey holds the senders of the chosen transactions by the first key that the transaction writes.
	senderByKey map[string]string
	// lost counts the lost responses by the kind of record.
	lost map[string]int
}

// loseResponses makes a world lose the responses to a fraction of the transactions from this moment on.
func loseResponses(world *World, seed uint64, fraction float64) *lostResponses {
	responses := &lostResponses{fraction: fraction, senderByKey: map[string]string{}, lost: map[string]int{}}
	rng := rand.New(rand.NewPCG(seed, 404))
	world.crashCondition = func(process *controllerProcess, effect message.Effect) bool {
		if request, ok := effect.(message.StoreRequest); ok && request.Kind == message.OpTxn && len(request.Writes) > 0 && rng.Float64() < responses.fraction {
			responses.senderByKey[request.Writes[0].Key] = process.name
		}
		return false
	}
	previous := world.state.onChange
	world.state.onChange = func(change message.KeyValue) {
		if process, chosen := responses.senderByKey[change.Key]; chosen {
			delete(responses.senderByKey, change.Key)
			responses.lost[recordKind(change.Key)]++
			world.partitionOneWay("state", process, 0)
		}
		if previous != nil {
			previous(change)
		}
	}
	return responses
}

// recordKind returns the kind of record that a key belongs to: the first part of the key, its first two parts
// for ctl and promise, or "page" for a key that begins with open/~.
func recordKind(key string) string {
	if strings.HasPrefix(key, "open/~") {
		return "page"
	}
	parts := strings.Split(key, "/")
	if parts[0] == "ctl" || parts[0] == "promise" {
		return parts[0] + "/" + parts[1]
	}
	return parts[0]
}

// TestLostResponses plays random days on which about every seventh transaction is applied but its response is
// lost, while the rest of the system already acts on what it wrote. Rankings change, and promises and replica
// migrations are enabled. It guards against a sender that takes an applied transaction for a failed one. No
// invariant may be violated, reads and writes of each job's promised date must be linearizable, the totals
// must be exact, and all jobs must end.
func TestLostResponses(t *testing.T) {
	lost, mu := map[string]int{}, sync.Mutex{}
	days := dayCount(t, 8, 3)
	t.Run("days", func(t *testing.T) {
		for seed := range days {
			t.Run(fmt.Sprint(seed), func(t *testing.T) {
				t.Parallel()
				types, capacity := testTypes()
				settings := testSettings()
				settings.Capabilities = controller.Capabilities{Ranking: true, Promises: true, PromiseFraction: 0.95, Models: true, MaxMigratingFraction: 0.5, MigrationCooldown: time.Minute}
				world := NewWorld(seed, 3+2*int(seed%2), settings, testCancelWithin, types, capacity)
				world.CheckRanking()
				world.rankingCheck.startsOnly = true
				recorder := recordPromises(world)
				responses := loseResponses(world, seed, 0.15)
				world.schedule(20*time.Second, func() { recorder.queryAll(world.startedAt.Add(6 * time.Minute)) })
				for change := range 10 {
					text := []string{rushFirst, reprintFirst}[change%2]
					world.schedule(time.Duration(10+change*30)*time.Second, func() {
						world.SetRanking(change%len(world.controllers), message.SetRanking{Record: mustParseRanking(t, text, "somebody"), AnyRevision: true}, func(message.RankingReply) {})
					})
				}
				world.schedule(8*time.Minute, func() { responses.fraction = 0 })
				runRandomDay(world, seed+900)
				reportViolations(t, append(world.Violations, recorder.check()...))
				recorder.checkTotals(t)
				checkFinalAnswers(t, world, true)
				if t.Failed() {
					logTail(t, world.logs, 40)
				}
				mu.Lock()
				defer mu.Unlock()
				for kind, count := range responses.lost {
					lost[kind] += count
				}
			})
		}
	})
	t.Log("lost responses:", lost)
	for _, kind := range []string{"open", "task", "job", "page", "promise/totals", "ctl/share", "ctl/lot", "ctl/lead", "ctl/node", "ctl/ranking", "ctl/hears", "life", "warm", "promise/quotes"} {
		if lost[kind] == 0 && days > 3 {
			t.Errorf("got no lost response to a write of a %s record, want at least one", kind)
		}
	}
}

// TestMigrationsWithLostResponses migrates replicas to free capacity for a large job while four of ten
// transactions get no response, including those that write the migration plan. It guards against migrations
// that are done twice, jobs that have all replicas down, and replicas that do not run in the end.
func TestMigrationsWithLostResponses(t *testing.T) {
	lost := 0
	for seed := range dayCount(t, 8, 3) {
		fragmented := newFragmentedWorld(t, seed, 3)
		responses := loseResponses(fragmented.World, seed, 0.4)
		fragmented.watchJobsWithoutReplicas()
		fragmented.submitLarge()
		fragmented.Run(150 * time.Second)
		responses.fraction = 0
		fragmented.Run(60 * time.Second)
		if fragmented.runningTasks("job-large") != 1 {
			t.Errorf("seed %d: got job-large not running, want it running", seed)
		}
		for _, id := range fragmented.smallJobs {
			if fragmented.runningTasks(id) != 2 {
				t.Errorf("seed %d, %s: got %d running replicas, want 2", seed, id, fragmented.runningTasks(id))
			}
		}
		if fragmented.jobWithoutReplicas != "" || len(fragmented.Violations) > 0 {
			t.Errorf("seed %d: got job %q with all replicas down and violations %v, want none", seed, fragmented.jobWithoutReplicas, fragmented.Violations)
		}
		fragmented.Run(6 * time.Minute)
		if rec := fragmented.state.records["move/ops"]; rec != nil {
			t.Errorf("seed %d: got a migration record of %d bytes, want it removed", seed, len(rec.value))
		}
		lost += responses.lost["move"]
	}
	if lost == 0 {
		t.Error("got no lost response to a write of a migration record, want at least one")
	}
}
