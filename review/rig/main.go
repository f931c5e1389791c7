// Command rig plays the cases of review/. It starts the controllers with the command of
// deploy/service.toml, and stand-ins for the state service, the cloud, the workers and the users.
//
// rig CASE DIR writes DIR/record.txt. It exits with 1 if a rule was broken, 0 if it held and 2 if
// the case could not run. With TROUBLE=0 it leaves out the disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// theWorld is the world of the running case, whose processes fail ends.
var theWorld *world

// caseDir is the folder of the case, which gets record.txt.
var caseDir string

// fail ends the program because the case could not run.
func fail(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "rig: "+format+"\n", args...)
	finish(2)
}

// finish ends all processes and the program.
func finish(status int) {
	if theWorld != nil {
		theWorld.stop()
	}
	os.Exit(status)
}

// stop ends all nodes and closes the record.
func (w *world) stop() {
	for _, n := range w.nodes {
		if n.process != nil && n.process.Process != nil {
			n.wanted.Store(false)
			n.process.Process.Kill()
			<-n.ended
		}
	}
	w.record.Close()
	if os.Getenv("RIG_KEEP") == "" {
		os.RemoveAll(w.dir)
	}
}

// siamlens returns settings like those of the deployment siamlens-orders.
func siamlens() *deployment {
	return &deployment{
		zones: []string{"bangna"}, teams: []team{{name: "rx-desk"}}, reportS: 3, leaseS: 34, cancelS: 64,
		stateRPS: 80, stateWriteRPS: 30, valueKB: 4, txnOps: 12, cloudRPS: 10, listLagS: 4, ramMB: 342, sockets: 3500,
	}
}

// prairie returns settings like those of the deployment prairiereach-grid.
func prairie() *deployment {
	return &deployment{
		zones: []string{"city-hall"}, teams: []team{{name: "grid-ops"}}, reportS: 3, leaseS: 24, cancelS: 54,
		stateRPS: 150, stateWriteRPS: 30, valueKB: 16, txnOps: 24, cloudRPS: 3, listLagS: 10, ramMB: 234, sockets: 2500,
	}
}

// newWorld creates the stand-ins and the nodes, which it does not start.
func newWorld(settings *deployment, types []machineType, capacity map[string]int) *world {
	record, err := os.Create(filepath.Join(caseDir, "record.txt"))
	if err != nil {
		fail("%v", err)
	}
	w := &world{began: time.Now(), record: record, settings: settings, types: types, capacity: capacity, hosts: map[string]*host{}, bookings: map[string][]string{}, jobs: map[string]*job{}}
	theWorld = w
	if w.dir, err = os.MkdirTemp("", "rig"); err != nil {
		fail("%v", err)
	}
	state := newState(settings)
	for i := range 3 {
		w.nodes = append(w.nodes, &node{name: fmt.Sprintf("worker-%d", i), api: freeAddr(), back: freeAddr(), world: w})
	}
	w.writeSettings(w.dir, serve(w.serveCloud), serve(state.serve))
	return w
}

// startNodes starts all nodes and waits until they are healthy.
func (w *world) startNodes() {
	for _, n := range w.nodes {
		n.start()
	}
	w.waitHealthy()
}

// verdict ends the program with the result of the case.
func (w *world) verdict() {
	w.mu.Lock()
	broken := w.broken
	w.logf("result: %d times broken", len(broken))
	w.mu.Unlock()
	for _, line := range broken {
		fmt.Println("BROKEN", line)
	}
	if len(broken) > 0 {
		finish(1)
	}
	fmt.Println("held")
	finish(0)
}

// cases maps the name of each case to its function. trouble says whether the disruption happens.
var cases = map[string]func(dir string, trouble bool){}

func main() {
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-interrupted
		finish(2)
	}()
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fail("usage: rig CASE DIR")
	}
	go func() {
		time.Sleep(118 * time.Second)
		fail("the case took too long")
	}()
	caseDir = os.Args[2]
	cases[os.Args[1]](caseDir, os.Getenv("TROUBLE") != "0")
}
