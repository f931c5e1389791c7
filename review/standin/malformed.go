package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { scenarios["malformed"] = malformed }

// malformed has several users send one submission each at the same time. The bodies are not valid
// MessagePack: the length of the map, a 32-bit number, has its bytes in reverse order. The platform
// ends a process that goes over its memory limit, and starts it again.
func malformed(opt Options, trouble bool) int {
	const users = 9
	opt = grid(opt)
	// The site prairiereach-grid-lean has less memory and processor time.
	opt.RAM, opt.CPU = 168, 0.108
	w := newWorld(opt)
	defer w.StopAll()
	if !w.StartAll(15 * time.Second) {
		fmt.Println("the controllers are not healthy after 15 s")
		return 2
	}
	for _, n := range w.nodes {
		n.setQuota()
	}
	ready := make(chan struct{})
	var wg sync.WaitGroup
	var mu sync.Mutex
	codes := map[int]int{}
	for i := range users {
		u, j := w.newUser(), gridJob(i+1)
		w.addJob(j)
		node := u.pick()
		fields := encode(j.body())[3:] // without the header, a map16
		length := byte(len(j.body()))
		body := append([]byte{0xdf, 0, 0, 0, length}, fields...)
		if trouble {
			body = append([]byte{0xdf, length, 0, 0, 0}, fields...)
		}
		wg.Go(func() {
			defer u.leave()
			<-ready
			code, out, _ := u.call(node, http.MethodPost, "/v2/runs", body, 5*time.Second)
			w.logf("user: submit %s at node %d, map header % x -> %d %v", j.ID, node, body[:5], code, out)
			mu.Lock()
			codes[code]++
			mu.Unlock()
		})
	}
	time.Sleep(2 * time.Second)
	close(ready)
	wg.Wait()
	time.Sleep(10 * time.Second)
	killed, most := 0, 0
	for _, n := range w.nodes {
		over, mb := n.memory()
		killed, most = killed+over, max(most, mb)
	}
	return w.verdict(killed, fmt.Sprintf("%d submissions, answers by status %v; most memory of a controller %d MB of %.0f MB; controllers ended for memory %d", users, codes, most, opt.RAM, killed))
}
