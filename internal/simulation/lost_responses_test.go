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

// lostResponses lets a share of the transactions be carried out at once, and loses what the
// state service says to their senders in that moment: the answer, and a watch's.
type lostResponses struct {
	fraction float64
	// senderByKey are the senders by the first key that they write.
	senderByKey map[string]string
	// lost counts them by the kind of record.
	lost map[string]int
}

func loseResponses(w *World, seed uint64, share float64) *lostResponses {
	l := &lostResponses{fraction: share, senderByKey: map[string]string{}, lost: map[string]int{}}
	rng := rand.New(rand.NewPCG(seed, 404))
	w.crashCondition = func(p *controllerProcess, e message.Effect) bool {
		if op, ok := e.(message.StoreRequest); ok && op.Kind == message.OpTxn && len(op.Writes) > 0 && rng.Float64() < l.fraction {
			l.senderByKey[op.Writes[0].Key] = p.name
		}
		return false
	}
	noted := w.state.onChange
	w.state.onChange = func(it message.KeyValue) {
		if p, chosen := l.senderByKey[it.Key]; chosen {
			delete(l.senderByKey, it.Key)
			l.lost[recordKind(it.Key)]++
			w.partitionOneWay("state", p, 0)
		}
		if noted != nil {
			noted(it)
		}
	}
	return l
}

// recordKind is what a key's record is for.
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

// TestLostResponses plays random days on which every seventh transaction is carried out at
// once and only its answer is lost, while everybody else goes on by what it wrote: with
// rankings that come and go, promised dates and packed replicas. No rule is broken, each
// job's date is one register, the totals are exact, and all jobs end.
func TestLostResponses(t *testing.T) {
	met, mu := map[string]int{}, sync.Mutex{}
	days := dayCount(t, 8, 3)
	t.Run("days", func(t *testing.T) {
		for seed := range days {
			t.Run(fmt.Sprint(seed), func(t *testing.T) {
				t.Parallel()
				types, room := testTypes()
				set := testSettings()
				set.Capabilities = controller.Capabilities{Ranking: true, Promises: true, PromiseFraction: 0.95, Models: true, MaxMigratingFraction: 0.5, MigrationCooldown: time.Minute}
				w := NewWorld(seed, 3+2*int(seed%2), set, testCancelWithin, types, room)
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
					met[kind] += k
				}
			})
		}
	})
	t.Log("answers lost:", met)
	for _, kind := range []string{"open", "task", "job", "page", "promise/totals", "ctl/share", "ctl/lot", "ctl/lead", "ctl/node", "ctl/ranking", "ctl/hears", "life", "warm", "promise/quotes"} {
		if met[kind] == 0 && days > 3 {
			t.Errorf("no answer was lost of %s", kind)
		}
	}
}

// TestMigrationsWithLostResponses: replicas move to make room while four of ten transactions get
// no answer, also those that write the plan: each move is made once, nothing is ever
// wholly down for it, and in the end all runs.
func TestMigrationsWithLostResponses(t *testing.T) {
	met := 0
	for seed := range dayCount(t, 8, 3) {
		p := newFragmentedWorld(t, seed, 3)
		l := loseResponses(p.World, seed, 0.4)
		p.watchDown()
		p.submitLarge()
		p.Run(150 * time.Second)
		l.fraction = 0
		p.Run(60 * time.Second)
		if p.runningTasks("job-large") != 1 {
			t.Errorf("%d: the large one does not run", seed)
		}
		for _, id := range p.small {
			if p.runningTasks(id) != 2 {
				t.Errorf("%d: %s has %d replicas up", seed, id, p.runningTasks(id))
			}
		}
		if p.down != "" || len(p.Violations) > 0 {
			t.Error(seed, "down:", p.down, p.Violations)
		}
		p.Run(6 * time.Minute)
		if row := p.state.records["move/ops"]; row != nil {
			t.Errorf("%d: the record is still there: %d bytes", seed, len(row.value))
		}
		met += l.lost["move"]
	}
	if met == 0 {
		t.Error("no answer to a move was lost")
	}
}
