package metrics

import (
	"net/http/httptest"
	"os"
	"testing"
	"time"

	"github.com/micahill/micahill/internal/message"
)

// TestExposition compares what Prometheus gets with testdata/exposition.txt: the operators'
// dashboards and alerts rest on names, labels and buckets.
func TestExposition(t *testing.T) {
	r := New()
	setPromises := RegisterPromises(r.Registry())
	r.Request("/Route", "200", 2*time.Millisecond)
	r.Step(time.Millisecond, 3)
	r.State(message.OpGet, message.StoreOK, 3*time.Millisecond)
	r.State(message.OpWatch, message.StoreOK, 9*time.Second)
	r.Cloud(message.CloudRent, message.CloudNoCapacity, 200*time.Millisecond)
	r.Commands(message.WorkerResponse{}, 2*time.Second)
	r.InternalError()
	r.Rates(message.Rates{Requests: 30, Writes: 20})
	r.Role(message.Role{Leader: true})
	r.GPUCapacity(message.GPUFreeCapacityReport{
		Kinds:      []message.GPUFreeCapacity{{MachineType: "g8", Zone: "a", Spot: true, Machines: 7, EmptyMachines: 2, FreeGPUs: 21, FragmentedGPUs: 5, LargestReplicaGPUs: 8}},
		Migrations: &message.MigrationsStatus{Plans: 4, Moved: 3, Dropped: 1, LongestDownSeconds: 16},
	})
	r.Waits(message.WaitReport{Teams: []message.TeamWaits{{Team: "ops", Jobs: 2, Longest: 51500 * time.Millisecond}}})
	totals := message.PromiseTotals{MedianRatio: 1.25}
	totals.Sum.Jobs, totals.Sum.Made, totals.Sum.Kept, totals.Sum.Broken, totals.Sum.Revised, totals.Sum.Worst = 9, 8, 6, 2, 1, 40*time.Second
	setPromises(totals)

	rec := httptest.NewRecorder()
	r.Handler().ServeHTTP(rec, httptest.NewRequest("GET", "/metrics", nil))
	want, err := os.ReadFile("testdata/exposition.txt")
	if err != nil {
		t.Fatal(err)
	}
	if got := rec.Body.String(); got != string(want) {
		t.Errorf("got\n%s\nwant\n%s", got, want)
	}
}
