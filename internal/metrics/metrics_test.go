package metrics

import (
	"net/http/httptest"
	"os"
	"testing"
	"time"

	"github.com/micahill/micahill/internal/message"
)

// TestExposition guards against a change of metric names, labels or buckets, on which the operators'
// dashboards and alerts depend. testdata/exposition.txt has the expected response to Prometheus.
func TestExposition(t *testing.T) {
	recorder := New()
	setPromises := RegisterPromises(recorder.Registry())
	recorder.Request("/Route", "200", 2*time.Millisecond)
	recorder.Step(time.Millisecond, 3)
	recorder.State(message.OpGet, message.StoreOK, 3*time.Millisecond)
	recorder.State(message.OpWatch, message.StoreOK, 9*time.Second)
	recorder.Cloud(message.CloudRent, message.CloudNoCapacity, 200*time.Millisecond)
	recorder.Commands(message.WorkerResponse{}, 2*time.Second)
	recorder.InternalError()
	recorder.Rates(message.Rates{Requests: 30, Writes: 20})
	recorder.Role(message.Role{Leader: true})
	recorder.GPUCapacity(message.GPUFreeCapacityReport{
		Kinds:      []message.GPUFreeCapacity{{MachineType: "g8", Zone: "a", Spot: true, Machines: 7, EmptyMachines: 2, FreeGPUs: 21, FragmentedGPUs: 5, LargestReplicaGPUs: 8}},
		Migrations: &message.MigrationsStatus{Plans: 4, Moved: 3, Dropped: 1, LongestDownSeconds: 16},
	})
	recorder.Waits(message.WaitReport{Teams: []message.TeamWaits{{Team: "ops", Jobs: 2, Longest: 51500 * time.Millisecond}}})
	totals := message.PromiseTotals{MedianRatio: 1.25}
	totals.Sum.Jobs, totals.Sum.Made, totals.Sum.Kept, totals.Sum.Broken, totals.Sum.Revised, totals.Sum.Worst = 9, 8, 6, 2, 1, 40*time.Second
	setPromises(totals)

	response := httptest.NewRecorder()
	recorder.Handler().ServeHTTP(response, httptest.NewRequest("GET", "/metrics", nil))
	want, err := os.ReadFile("testdata/exposition.txt")
	if err != nil {
		t.Fatal(err)
	}
	if got := response.Body.String(); got != string(want) {
		t.Errorf("got metrics\n%s\nwant testdata/exposition.txt\n%s", got, want)
	}
}
