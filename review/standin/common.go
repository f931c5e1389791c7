package main

import (
	"fmt"
	"time"
)

// grid returns the settings of the site prairiereach-grid.
func grid(opt Options) Options {
	opt.Nodes, opt.Zones, opt.Teams = 3, []string{"city-hall"}, []Team{{Name: "grid-ops"}}
	opt.ReportS, opt.LeaseS, opt.CancelS = 3, 24, 54
	opt.StateRPS, opt.StateWriteRPS, opt.ValueKB, opt.TxnOps = 150, 30, 16, 24
	opt.CloudRPS, opt.ListLag = 3, 10
	opt.CPU, opt.RAM, opt.Sockets = 0.18, 234, 2500
	opt.Back = 6 * time.Second
	opt.Flavours = []Flavour{
		{Name: "substation-node", CPU: 8, Memory: 16, Disk: 50, Pull: 0.5, Price: 0.38, Market: 0.12, Ready: 40, Sites: opt.Zones, Count: 10},
		{Name: "civic-rack", CPU: 64, Memory: 512, Disk: 200, Pull: 1, Price: 3.72, Market: 1.15, Ready: 20, Sites: opt.Zones, Count: 5},
	}
	return opt
}

// gridJob returns a job of one task.
func gridJob(n int) *Job {
	return &Job{ID: fmt.Sprintf("job-%06d", n), Team: "grid-ops", Workload: "outage-map", Urgency: "urgent", Tasks: 1, CPU: 1, Memory: 1.4, Loaner: true, RunTime: 30 * time.Second, Image: "img-01", ImageGB: 0.5}
}

// verdict prints and records the result. broken is how often the case's rule was broken.
func (w *World) verdict(broken int, summary string) int {
	w.check.mu.Lock()
	defer w.check.mu.Unlock()
	for _, v := range w.check.Violations {
		summary += "; also " + v
	}
	w.logf("RESULT broken %d; %s", broken, summary)
	fmt.Printf("broken %d; %s\n", broken, summary)
	if broken > 0 {
		return 1
	}
	return 0
}
