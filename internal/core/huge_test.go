package core

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/micahill/micahill/internal/bounds"
	"github.com/micahill/micahill/internal/validate"
)

// hugeDay is an owner with one job, its machines and a state service that answers all
// its writes at the next step, a second later.
type hugeDay struct {
	n   *Node
	j   *job
	on  map[string][]TaskReport
	end map[taskKey]time.Time
	// run is how long a task takes, and tick that of the newest report.
	run  time.Duration
	tick uint64
	next []Command
	rev  uint64
	// kept is what stands in the state service, and the others count the writes: their
	// changes and bytes, the most changes in one and the longest value.
	kept                               map[string]Item
	txns, changes, bytes, most, widest int
}

const hugeTasks = validate.MostTasks

// newHuge has a job of so many tasks accepted on so many machines, each with room for
// eight tasks of it at a time.
func newHuge(tasks, machines int) *hugeDay {
	n := largePool(0)
	n.rng = rand.New(rand.NewPCG(1, 2))
	n.sess.ready, n.users.mirror.loaded, n.users.mirror.waiting = true, true, true
	n.users.mirror.open = map[string]living{}
	d := &hugeDay{n: n, on: map[string][]TaskReport{}, end: map[taskKey]time.Time{}, run: 20 * time.Second, kept: map[string]Item{}}
	for i := range machines {
		r := n.poolReport(0)
		r.Machine = fmt.Sprintf("vm-%06d", i)
		n.hear(n.machine(r.Machine), r, true)
	}
	n.now = n.now.Add(time.Second)
	n.submit(Submit{Reply: 1, Spec: Spec{
		ID: "job-huge", Workload: "wide", Team: "ops", Urgency: Normal, Tasks: tasks, Spot: true, Need: Resources{CPU: 4, Memory: 4},
		Image: "img", ImageGB: 1, Expected: d.run, Due: time.Hour,
	}})
	n.usersFlush()
	d.take(n.out)
	for _, c := range d.next {
		n.command(c)
	}
	d.next = nil
	d.j = n.owner.jobs["job-huge"]
	return d
}

// take answers what the owner asks for.
func (d *hugeDay) take(out []Effect) {
	for _, e := range out {
		switch e := e.(type) {
		case StateOp:
			if e.Kind != OpTxn {
				continue
			}
			d.rev++
			d.txns++
			d.most = max(d.most, len(e.Apply))
			for _, c := range e.Apply {
				d.changes++
				d.bytes += len(c.Value)
				if c.Value == nil {
					delete(d.kept, c.Key)
					continue
				}
				size, err := bounds.JSON(c.Value)
				if err != nil {
					panic(err)
				}
				d.widest = max(d.widest, size)
				d.kept[c.Key] = Item{Key: c.Key, Value: c.Value, Stamp: d.rev}
			}
			d.next = append(d.next, StateDone{ID: e.ID, Status: StateOK, Rev: d.rev, Sent: d.n.now})
		case WorkerOp:
			d.orders(e.Machine, e.Orders)
			d.next = append(d.next, WorkerDone{ID: e.ID, OK: true, Report: d.report(e.Machine)})
		case ReportReply:
			d.orders(fmt.Sprintf("vm-%06d", e.Reply-1), e.Orders)
		}
	}
}

func (d *hugeDay) orders(machine string, all []Order) {
	for _, o := range all {
		k := taskKey{o.Job, o.Index}
		switch o.Verb {
		case Start:
			d.on[machine] = append(d.on[machine], TaskReport{Job: o.Job, Index: o.Index, Try: o.Try, Status: Running})
			d.end[k] = d.n.now.Add(d.run)
		case Clear:
			d.on[machine] = slices.DeleteFunc(d.on[machine], func(p TaskReport) bool { return p.Index == o.Index && p.Try == o.Try })
		}
	}
}

// report is what a machine says now.
func (d *hugeDay) report(machine string) *Report {
	d.tick++
	r := d.n.poolReport(0)
	r.Machine, r.Tick, r.Tasks = machine, d.tick, slices.Clone(d.on[machine])
	for i := range r.Tasks {
		if p := &r.Tasks[i]; !d.n.now.Before(d.end[taskKey{p.Job, p.Index}]) {
			p.Status, p.Cause = Ended, "done"
		}
	}
	return r
}

// second plays one second, with a report of each machine.
func (d *hugeDay) second() {
	n := d.n
	// Ten times a second, as a busy controller steps, with a tenth of the reports each.
	for part := range 10 {
		n.now = n.now.Add(100 * time.Millisecond)
		cmds := d.next
		d.next = nil
		for i := part; i < len(n.owner.byID); i += 10 {
			cmds = append(cmds, WorkerReport{Reply: uint64(i + 1), Report: *d.report(n.owner.byID[i].id)})
		}
		d.take(n.Step(n.now, cmds))
	}
}

// play goes on until the job is done, or for so long.
func (d *hugeDay) play(most int) (seconds int) {
	for seconds = 0; seconds < most && d.n.owner.jobs[d.j.ID] != nil; seconds++ {
		d.second()
	}
	return seconds
}

// TestHugeJobRecords: a job of tens of thousands of tasks is accepted with
// one change, and keeps the bounds of values and transactions to its end. Its tasks share
// their changes.
func TestHugeJobRecords(t *testing.T) {
	d := newHuge(20_000, 1000)
	if d.j == nil || d.changes != 1 {
		t.Fatalf("accepted: %v, with %d changes", d.j != nil, d.changes)
	}
	took := d.play(1000)
	if d.n.owner.jobs[d.j.ID] != nil {
		t.Fatalf("%d of %d done after %d s", d.j.done, len(d.j.tasks), took)
	}
	set := d.n.set
	if d.widest > set.ValueBytes || d.most > set.TxnOps || d.n.defects > 0 {
		t.Errorf("the longest value has %d bytes, the largest transaction %d changes; %d defects", d.widest, d.most, d.n.defects)
	}
	if d.changes > len(d.j.tasks)/10 {
		t.Errorf("%d changes for %d tasks", d.changes, len(d.j.tasks))
	}
}

// read gives what stands in the state service to a successor.
func (d *hugeDay) read() (open, tasks []Item) {
	for _, k := range sortedKeys(d.kept) {
		switch {
		case strings.HasPrefix(k, openPrefix):
			open = append(open, d.kept[k])
		case strings.HasPrefix(k, taskPrefix):
			tasks = append(tasks, d.kept[k])
		}
	}
	return open, tasks
}

// allocations counts what fn allocates.
func allocations(fn func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	fn()
	runtime.ReadMemStats(&after)
	return after.Mallocs - before.Mallocs
}

// TestHugeJobIsLinear: a takeover of a job ten times as large costs about ten times as
// much, and a second of it on the same machines hardly more: what is done then grows with
// the machines. Work is counted in allocations, as time would give another verdict on
// each machine.
func TestHugeJobIsLinear(t *testing.T) {
	const machines = 200
	measure := func(tasks int) (second, takeover uint64) {
		d := newHuge(tasks, machines)
		for range 30 {
			d.second()
		}
		second = allocations(d.second)
		open, items := d.read()
		n := heir()
		takeover = allocations(func() { n.inherits(open, items) })
		if j := n.owner.jobs[d.j.ID]; j == nil || j.done == 0 || j.live == 0 {
			t.Fatal("nothing is restored")
		}
		return second, takeover
	}
	s1, t1 := measure(hugeTasks / 10)
	s2, t2 := measure(hugeTasks)
	if s2 > 2*s1 || t2 > 12*t1 {
		t.Errorf("a job of ten times the tasks: %d allocations a second after %d, %d for a takeover after %d", s2, s1, t2, t1)
	}
}

// TestLongQueueIsNotMoved guards against a queue of tasks that are to begin once more that
// is copied for each that is taken out of it: after the loss of many machines that was the
// square of their tasks in one step.
func TestLongQueueIsNotMoved(t *testing.T) {
	j := newJob(Spec{ID: "job-huge", Tasks: hugeTasks}, time.Time{}, 1, 4096)
	for i := range j.tasks {
		j.again = append(j.again, i)
	}
	j.fresh = len(j.tasks)
	second := &j.again[1]
	if i := j.nextPending(time.Time{}); i != 0 || &j.again[0] != second {
		t.Errorf("task %d is next, and the others were moved: %v", i, &j.again[0] != second)
	}
}

// BenchmarkHugeJob is a job of the most tasks that a user may hand in, on 2,000 machines.
func BenchmarkHugeJob(b *testing.B) {
	const machines = 2000
	b.Run("accept", func(b *testing.B) {
		for b.Loop() {
			d := newHuge(hugeTasks, 0)
			if d.j == nil || d.changes != 1 {
				b.Fatal("not accepted")
			}
		}
	})
	b.Run("place", func(b *testing.B) {
		for b.Loop() {
			b.StopTimer()
			d := newHuge(hugeTasks, machines)
			d.n.now = d.n.now.Add(time.Second)
			b.StartTimer()
			d.n.placeAll()
			if d.j.live != 8*machines {
				b.Fatalf("%d are placed", d.j.live)
			}
		}
	})
	b.Run("place-anew", func(b *testing.B) {
		for b.Loop() {
			b.StopTimer()
			d := newHuge(hugeTasks, machines)
			d.n.placeAll()
			d.j.fresh = len(d.j.tasks)
			for i := range d.j.tasks {
				if d.n.gone(d.j, i, false); d.j.tasks[i].try == 0 {
					d.j.again = append(d.j.again, i)
				}
			}
			d.n.now = d.n.now.Add(time.Second)
			b.StartTimer()
			d.n.placeAll()
			if d.j.live != 8*machines {
				b.Fatalf("%d are placed", d.j.live)
			}
		}
	})
	b.Run("life", func(b *testing.B) {
		for b.Loop() {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			d := newHuge(hugeTasks, machines)
			took := d.play(100)
			runtime.GC()
			runtime.ReadMemStats(&after)
			took += d.play(10_000)
			if d.n.owner.jobs[d.j.ID] != nil {
				b.Fatal("it is not done")
			}
			done, txns := d.changes, d.txns
			for len(d.n.owner.orphans) > 0 || d.n.owner.inFlight > 0 {
				d.second()
			}
			b.ReportMetric(float64(d.changes-done), "changes-to-clear-away")
			b.ReportMetric(float64(took), "seconds-played")
			b.ReportMetric(float64(txns), "txns")
			b.ReportMetric(float64(done), "changes")
			b.ReportMetric(float64(d.bytes>>10), "KB-written")
			b.ReportMetric(float64(d.widest), "widest-bytes")
			b.ReportMetric(float64((after.HeapAlloc-before.HeapAlloc)>>20), "MB-kept")
		}
	})
	b.Run("takeover", func(b *testing.B) {
		d := newHuge(hugeTasks, machines)
		d.play(70)
		open, tasks := d.read()
		size := 0
		for _, it := range tasks {
			size += len(it.Value)
		}
		for b.Loop() {
			n := heir()
			n.inherits(open, tasks)
			if n.owner.jobs[d.j.ID].done == 0 {
				b.Fatal("nothing is restored")
			}
		}
		b.ReportMetric(float64(len(tasks)), "records")
		b.ReportMetric(float64(size>>10), "KB-read")
	})
}
