package core

import (
	"fmt"
	"testing"
)

// TestCancelledInManyRecords: a cancelled job whose tasks stand in several records, of
// which an earlier form did not say how many they are: a successor stops every attempt and
// starts none again. Once the tasks had been moved to make room, the machines' books still
// had those of the first record in the old place, and started them 90 s after the job was
// cancelled.
func TestCancelledInManyRecords(t *testing.T) {
	for _, known := range []bool{true, false} {
		n := largePool(24)
		firstWork(n)
		n.now = n.now.Add(n.former())
		spec := Spec{ID: "job-000905", Workload: "w", Team: "ops", Need: Resources{CPU: 1, Memory: 1}}
		per := newJob(spec, n.now, 1, 4096).per
		total := 2*per + 7
		if known {
			spec.Tasks = total
		}
		j := n.newJob(spec, n.now, 1)
		rec := j.Spec.record(n.now)
		rec.Cancelled, rec.CancelledAt = true, n.now.UnixMilli()
		n.jobRecord(j, 2, &rec)
		for k := range 3 {
			var r chunkRecord
			for i := k * per; i < min(total, (k+1)*per); i++ {
				r.Rows = append(r.Rows, taskRow{Index: i, Try: 1, Machine: n.owner.byID[i%24].id, Group: n.now.UnixMilli()})
			}
			n.restore(j, Item{Key: fmt.Sprintf("%s%s/%d", taskPrefix, j.ID, k), Stamp: 3}, &r)
		}
		n.settleRestored(j)
		if j.live != total {
			t.Fatalf("%d attempts restored, want %d", j.live, total)
		}
		for _, m := range n.owner.byID {
			for k, x := range m.attempts {
				if k.job == j.ID && (x != &j.tasks[k.index] || x.stop != stopCancel) {
					t.Fatalf("tasks known %v: attempt %d on %s is not stopped", known, k.index, m.id)
				}
			}
			for _, o := range n.reconcile(m) {
				if o.Verb == Start && o.Job == j.ID {
					t.Fatalf("tasks known %v: %v is ordered", known, o)
				}
			}
		}
	}
}
