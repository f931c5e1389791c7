package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

func init() { scenarios["cut"] = cut }

// cut refuses one controller alone at the state service for cutFor, while users submit jobs with
// long lists of machine types and cancel a quarter of them. After that, new users submit jobs and
// ask about them for watchFor. A job about which no question is answered for unansweredFor after
// the trouble counts as forgotten.
func cut(opt Options, trouble bool) int {
	const (
		node          = 2
		cutFor        = 26 * time.Second
		jobEvery      = 100 * time.Millisecond
		unansweredFor = 75 * time.Second
		watchFor      = 78 * time.Second
		lateUsers     = 6
	)
	w := newWorld(grid(opt))
	defer w.StopAll()
	if !w.StartAll(15 * time.Second) {
		fmt.Println("the controllers are not healthy after 15 s")
		return 2
	}
	var flavours []string
	for i := range 150 {
		flavours = append(flavours, fmt.Sprintf("retired-type-%03d-", i)+strings.Repeat("x", 80))
	}
	flavours = append(flavours, "civic-rack", "substation-node")
	if trouble {
		w.logf("the state service refuses node %d alone", node)
		w.state.Link(node, func(l *nodeLink) { l.refuse = true })
	}
	end := time.Now().Add(cutFor)
	stop := end.Add(watchFor + 15*time.Second)
	for n := 100; time.Now().Before(end); n++ {
		j := gridJob(n)
		j.Flavours = flavours
		go func() {
			u := w.newUser()
			defer u.leave()
			if !u.Submit(j) {
				return
			}
			if n%4 == 0 {
				time.Sleep(3 * time.Second)
				u.Cancel(j)
				return
			}
			u.Follow(j, 5*time.Second, stop)
		}()
		time.Sleep(jobEvery)
	}
	w.state.Link(node, func(l *nodeLink) { l.refuse = false })
	w.logf("the state service serves node %d", node)
	for limit := time.Now().Add(10 * time.Second); !w.nodes[node].healthy.Load() && time.Now().Before(limit); {
		time.Sleep(50 * time.Millisecond)
	}
	w.logf("node %d is healthy: %v", node, w.nodes[node].healthy.Load())
	began := time.Now()
	var wg sync.WaitGroup
	var late []*Job
	for i := range lateUsers {
		j := gridJob(i + 1)
		j.Standing = true
		late = append(late, j)
		u := w.newUser()
		wg.Go(func() {
			defer u.leave()
			if u.Submit(j) {
				u.Follow(j, 5*time.Second, began.Add(watchFor))
			}
		})
		time.Sleep(200 * time.Millisecond)
	}
	wg.Wait()
	forgotten, kept := 0, 0
	for _, j := range late {
		j.mu.Lock()
		switch {
		case j.accepted.IsZero():
		case j.polled.IsZero() && time.Since(j.accepted) >= unansweredFor || !j.polled.IsZero() && time.Since(j.polled) >= unansweredFor:
			forgotten++
			w.logf("forgotten: %s was accepted %.0f s ago, polls since: %d, answered: %d", j.ID, time.Since(j.accepted).Seconds(), j.polls, j.answers)
		default:
			kept++
		}
		j.mu.Unlock()
	}
	w.state.mu.Lock()
	w.logf("longest answer to a watch: %d bytes", w.state.longest)
	w.state.mu.Unlock()
	return w.verdict(forgotten, fmt.Sprintf("late users' jobs: %d accepted, of these %d without an answer for %.0f s; longest answer to a watch %d bytes", forgotten+kept, forgotten, unansweredFor.Seconds(), w.state.longest))
}
