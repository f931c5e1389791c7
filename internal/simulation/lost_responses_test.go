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

// lostResponses has a fraction of the transactions applied at once, and loses what the state service
// sends their senders at that moment: the response, and that of a watch.
type lostResponses struct {
	fraction float64
	// senderByKey holds the senders of chosen transactions by the first key that they write.
	senderByKey map[string]string
	// lost counts the lost responses by the kind of record.
	lost map[string]int
}

// loseResponses starts to lose responses in a world.
func loseResponses(w *World, seed uint64, share float64) *lostResponses {
	l := &lostResponses{fraction: share, senderByKey: map[string]string{}, lost: map[string]int{}}
	rng := rand.New(rand.NewPCG(seed, 404))
	w.crashCondition = func(p *controllerProcess, e message.Effect) bool {
		if op, ok := e.(message.StoreRequest); ok && op.Kind == message.OpTxn && len(op.Writes) > 0 && rng.Float64() < l.fraction {
			l.senderByKey[op.Writes[0].Key] = p.name
		}
		return false
	}
	previous := w.state.onChange
	w.state.onChange = func(it message.KeyValue) {
		if p, chosen := l.senderByKey[it.Key]; chosen {
			delete(l.senderByKey, it.Key)
			l.lost[recordKind(it.Key)]++
			w.partitionOneWay("state", p, 0)
		}
		if previous != nil {
			previous(it)
		}
	}
	return l
}

// recordKind returns the kind of a key's record: its first part, or two for ctl and promise.
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

// TestLostResponses plays random days on which every seventh transaction is applied at once and only its
// response is lost, while everything else goes on by what it wrote, with changing rankings, promises and
// replica migrations. No invariant is violated, each job's promised date is one register, the totals are
// exact, and all jobs end.
func TestLostResponses(t *testing.T) {
	lost, mu := map[string]int{}, sync.Mutex{}
	days := dayCount(t, 8, 3)
	t.Run("days", func(t *testing.T) {
		for seed := range days {
			t.Run(fmt.Sprint(seed), func(t *testing.T) {
				t.Parallel()
				types, capacity := testTypes()
				set := testSettings()
				set.Capabilities = controller.Capabilities{Ranking: true, Promises: true, PromiseFraction: 0.95, Models: true, MaxMigratingFraction: 0.5, MigrationCooldown: time.Minute}
				w := NewWorld(seed, 3+2*int(seed%2), set, testCancelWithin, types, capacity)
				w.CheckRanking()
				w.rankingCheck.startsOnly = true
				d := recordPromises(w)
				l := loseResponses(w, seed, 0.15)
				w.schedule(20*time.Second, func() { d.queryAll(w.startedAt.Add(6 * time.Minute)) })
				for k := range 10 {
					text := []string{rushFirst, reprintFirst}[k%2]
					w.schedule(time.Duration(10+k*30)*time.Second, func() {
						w.SetRanking(k%len(w.controllers), message.SetRanking{Record: mustParseRanking(t, text, "somebody"), AnyRevision: true}, func(message.RankingReply) {})
					})
				}
				w.schedule(8*time.Minute, func() { l.fraction = 0 })
				randomDay(w, seed+900)
				reportViolations(t, append(w.Violations, d.check()...))
				d.checkTotals(t)
				checkFinalAnswers(t, w, true)
				if t.Failed() {
					logTail(t, w.logs, 40)
				}
				mu.Lock()
				defer mu.Unlock()
				for kind, k := range l.lost {
					lost[kind] += k
				}
			})
		}
	})
	t.Log("lost responses:", lost)
	for _, kind := range []string{"open", "task", "job", "page", "promise/totals", "ctl/share", "ctl/lot", "ctl/lead", "ctl/node", "ctl/ranking", "ctl/hears", "life", "warm", "promise/quotes"} {
		if lost[kind] == 0 && days > 3 {
			t.Errorf("got no lost response to a write of %s, want some", kind)
		}
	}
}

// TestMigrationsWithLostResponses migrates replicas to make room while four of ten transactions get no
// response, also those that write the plan: each migration takes place once, no job has all replicas down,
// and in the end all run.
func TestMigrationsWithLostResponses(t *testing.T) {
	lost := 0
	for seed := range dayCount(t, 8, 3) {
		p := newFragmentedWorld(t, seed, 3)
		l := loseResponses(p.World, seed, 0.4)
		p.watchDown()
		p.submitLarge()
		p.Run(150 * time.Second)
		l.fraction = 0
		p.Run(60 * time.Second)
		if p.runningTasks("job-large") != 1 {
			t.Errorf("seed %d: got the large job not running", seed)
		}
		for _, id := range p.small {
			if p.runningTasks(id) != 2 {
				t.Errorf("seed %d, %s: got %d running replicas, want 2", seed, id, p.runningTasks(id))
			}
		}
		if p.down != "" || len(p.Violations) > 0 {
			t.Errorf("seed %d: got job with all replicas down %q, violations %v, want none", seed, p.down, p.Violations)
		}
		p.Run(6 * time.Minute)
		if row := p.state.records["move/ops"]; row != nil {
			t.Errorf("seed %d: got a migration record of %d bytes, want it removed", seed, len(row.value))
		}
		lost += l.lost["move"]
	}
	if lost == 0 {
		t.Error("got no lost response to a write of a migration, want some")
	}
}
