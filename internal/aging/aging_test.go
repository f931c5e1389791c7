package aging

import (
	"slices"
	"testing"
	"time"

	_ "github.com/micahill/micahill/internal/testseed"
	"pgregory.net/rapid"
)

// TestQueueOrder checks the queue order for random jobs. Every task has an entry. An overdue job
// goes before all jobs of its own or lower urgency, but not before guaranteed quota. Promoted tasks
// stay within the priority fraction, except for the extra task of a job without running tasks.
func TestQueueOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		jobs := make([]Job, rapid.IntRange(0, 12).Draw(t, "jobs"))
		for i := range jobs {
			jobs[i] = Job{
				Waited:  time.Duration(rapid.IntRange(0, 400).Draw(t, "waited")) * time.Second,
				Urgency: rapid.IntRange(0, 3).Draw(t, "urgency"), Guaranteed: rapid.Bool().Draw(t, "guaranteed"),
				WaitingTasks: rapid.IntRange(1, 50).Draw(t, "waiting"), TaskFraction: rapid.SampledFrom([]float64{0.001, 0.02, 0.4, 1}).Draw(t, "task fraction"),
				RunningFraction: rapid.SampledFrom([]float64{0, 0, 0.1, 0.5}).Draw(t, "running fraction"), Gang: rapid.Bool().Draw(t, "gang"),
			}
		}
		entries := QueueOrder(jobs)
		tasks := make([]int, len(jobs))
		taken, gangs, largest, promoted := 0.0, 0.0, 0.0, 0
		for i := range jobs {
			largest = max(largest, jobs[i].TaskFraction)
		}
		for k, entry := range entries {
			job := &jobs[entry.Job]
			if tasks[entry.Job] += entry.Tasks; entry.Tasks <= 0 {
				t.Fatalf("entry %v has no tasks", entry)
			}
			if !entry.Promoted {
				continue
			}
			promoted++
			if !job.Overdue() {
				t.Fatalf("entry %v is promoted but its job is not overdue", entry)
			}
			// Promoted tasks may take the priority fraction, as much once more for jobs
			// without running tasks, and one task in any case.
			if job.Gang {
				gangs += float64(entry.Tasks) * job.TaskFraction
			}
			if taken += float64(entry.Tasks) * job.TaskFraction; taken > 2*DefaultPriorityFraction+largest+gangs+1e-9 {
				t.Fatalf("entry %v: got %.2f of the capacity promoted, want less", entry, taken)
			}
			for _, earlier := range entries[:k] {
				earlierJob := &jobs[earlier.Job]
				if !earlier.Promoted && earlierJob.Urgency <= job.Urgency && (job.Guaranteed || !earlierJob.Guaranteed) {
					t.Fatalf("entry %v comes after %v, want it before", entry, earlier)
				}
			}
		}
		anyOverdue := false
		for i := range jobs {
			if tasks[i] != jobs[i].WaitingTasks {
				t.Fatalf("job %d: got %d of %d tasks in entries, want all", i, tasks[i], jobs[i].WaitingTasks)
			}
			anyOverdue = anyOverdue || jobs[i].Overdue()
		}
		noneRunning := !slices.ContainsFunc(jobs, func(job Job) bool { return job.RunningFraction > 0 })
		if anyOverdue && noneRunning && promoted == 0 {
			t.Fatal("got no promoted entry although jobs are overdue, want at least one")
		}
	})
}

// TestReserve checks that reserved machines stay reserved, and that at most MaxReservedFraction of
// the machines is reserved, but always one.
func TestReserve(t *testing.T) {
	candidates := []Candidate{{"a", 5 * time.Second, false}, {"b", time.Second, false}, {"c", 9 * time.Second, true}, {"d", 2 * time.Second, false}}
	if got := Reserve(candidates, 9, 8); !slices.Equal(got, []string{"c", "b"}) {
		t.Errorf("9 tasks, 8 machines: got %v, want [c b]", got)
	}
	if got := Reserve(candidates, 1, 100); !slices.Equal(got, []string{"c"}) {
		t.Errorf("1 task: got %v, want [c]", got)
	}
	if got := Reserve(candidates, 3, 2); len(got) != 1 {
		t.Errorf("2 machines: got %v, want one machine", got)
	}
}
