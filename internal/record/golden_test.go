package record

import (
	"fmt"
	"maps"
	"reflect"
	"testing"
	"time"

	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/pipeline"
	"github.com/micahill/micahill/internal/testgolden"
)

// goldenRecords has a value of every record with all fields set, by the name of its golden file.
var goldenRecords = testgolden.Values{
	"node":  Member{LeaseID: 411, Incarnation: "n-17.3", ReceivesNothing: true, StartedAt: 1_750_000_000_123},
	"life":  Incarnation{StartedAt: 1_750_000_001_234, ShortLived: 3},
	"lead":  Leader{Host: "ctl-2", Incarnation: "n-18.1"},
	"form":  Format{TasksPerSegment: 21},
	"hears": ReroutedMachines{Controller: "ctl-3", Incarnation: "n-19.2", Machines: 5},
	"drain": Drain{Enabled: true, Deadline: 1_750_000_600_000},
	"guest": OffloadedJob{Job: "job-lent-east-2-000412", Cause: "given_back", RenewedAt: 1_750_000_002_345},
	"job": JobStatus{
		Status: model.Done, Tasks: 16, Team: "vision", Workload: "train", Offloaded: true, EndedAfterMillis: 90_500, PromisedMillis: 120_300, PromiseRevision: 2, PromisedAtSubmit: true,
	},
	"open": OpenJob{
		Workload: "train", Team: "vision", LongRunning: true, Gang: true, Urgency: int(model.Urgent), Tasks: 16,
		CPU: 8.5, GPU: 1.25, Memory: 64.75, Image: "img-07", ImageGB: 6.2, MachineTypes: &[]string{"g8", "g4"}, Zone: "a",
		SameZone: true, SpreadZones: true, AllowSpot: true, ExpectedSeconds: 240.5, CheckpointIntervalSeconds: 30.25, CheckpointCostSeconds: 4.5, DeadlineSeconds: 900.75, SubmittedAtMillis: 1_750_000_003_456,
		Cancelled: true, CancelledAtMillis: 1_750_000_004_567, LentTo: "east", LendCount: 7, StopBoundMillis: 82_000, CancelRequested: true,
		BorrowedLoan: "west/job-000077/4", PromisedMillis: 130_400, Dependencies: pipeline.EncodeNames([]string{"job-000398", "job-000402", "job-x"}),
	},
	"task": TaskSegment{
		MachinePrefix: "vm-000", DoneRanges: []int{0, 4, 6, 9}, RelaunchedGroups: []int64{1_750_000_005_678}, FinishedInGroups: []int64{1_750_000_005_678, 3}, RunTimes: []int64{2_340, 3_450}, RankingRevision: 93,
		Rows: []TaskEntry{
			{Index: 5, Try: 2, Machine: "231", Group: 1_750_000_005_678, Relaunched: true},
			{Index: 10, Try: 300, Machine: "232", Group: 1_750_000_006_789, Done: true},
			{Index: 70_000, Try: 1, Group: 1_750_000_007_890},
		},
	},
	"warm": Prewarmed{MachinePrefix: "vm-", NumberWidth: 6, Images: []PrewarmedImage{
		{Name: "img-07", GB: 6.2, Machines: []int{231, 232}}, {Name: "img-08", GB: 0.5, Machines: []int{77_777}},
	}},
}

// TestGoldenRecords guards against a change of the storage format, with which controllers could not
// read the records that earlier versions stored.
func TestGoldenRecords(t *testing.T) {
	testgolden.Check(t, testgolden.Codec{
		Write: func(v any) ([]byte, error) { return Encode(v), nil },
		Read: func(b []byte, into any) error {
			return DecodeRecord("golden", b, into)
		},
	}, goldenRecords)
	testgolden.CheckCoverage(t, goldenRecords)
}

// TestGoldenJobSpec guards against a field of a job's specification that is lost between an open/
// record and the specification, in either direction.
func TestGoldenJobSpec(t *testing.T) {
	var record OpenJob
	if err := DecodeRecord("open/job-000412", testgolden.Bytes(t, "open"), &record); err != nil {
		t.Fatal(err)
	}
	spec := record.JobSpec("job-000412")
	all := maps.Clone(goldenRecords)
	all["spec"] = spec
	testgolden.CheckCoverage(t, all)
	again := NewOpenJob(&spec, time.UnixMilli(record.SubmittedAtMillis))
	again.Cancelled, again.CancelledAtMillis = record.Cancelled, record.CancelledAtMillis
	again.LentTo, again.LendCount, again.StopBoundMillis, again.CancelRequested = record.LentTo, record.LendCount, record.StopBoundMillis, record.CancelRequested
	again.BorrowedLoan, again.PromisedMillis = record.BorrowedLoan, record.PromisedMillis
	testgolden.CheckUnchanged(t, "open", Encode(again))
}

// TestGoldenNames guards against a change of the keys in the state service, and of the names and
// numbers in records: controllers could not find or read the records of earlier versions.
func TestGoldenNames(t *testing.T) {
	for want, got := range map[string]string{
		"ctl/":              ControlPrefix,
		"ctl/lead":          LeaderKey,
		"ctl/node/":         MemberPrefix,
		"ctl/share/":        ShardPrefix,
		"ctl/lot/":          ShardSegmentPrefix,
		"ctl/drain":         DrainKey,
		"ctl/hears/":        ReroutePrefix,
		"ctl/form":          FormatKey,
		"ctl/form/":         FormatSupportPrefix,
		"ctl/ranking":       RankingKey,
		"ranking/":          RankingHistoryPrefix,
		"life/":             IncarnationPrefix,
		"job/":              JobStatusPrefix,
		"open/":             OpenJobPrefix,
		"form/probe":        LimitProbeKey,
		"warm/":             PrewarmedPrefix,
		"guest/":            OffloadedJobPrefix,
		"promise/quotes/":   QuotesPrefix,
		"promise/totals":    TotalsKey,
		"queued":            string(model.Queued),
		"cancelled":         string(model.Cancelled),
		"done":              string(model.Done),
		"urgencies 0 1 2 3": fmt.Sprintf("urgencies %d %d %d %d", model.BestEffort, model.Normal, model.Urgent, model.Critical),
	} {
		if got != want {
			t.Errorf("got %q, want %q", got, want)
		}
	}
}

// TestMachineTypesInRecord guards against an open/ record that loses the difference between a job that
// allows all machine types and one that allows none.
func TestMachineTypesInRecord(t *testing.T) {
	for _, want := range [][]string{nil, {}, {"g8"}} {
		spec := model.JobSpec{Team: "vision", Tasks: 1, MachineTypes: want}
		stored := NewOpenJob(&spec, time.UnixMilli(1_750_000_003_456))
		var read OpenJob
		if err := DecodeRecord("open/job-000412", Encode(stored), &read); err != nil {
			t.Fatal(err)
		}
		if got := read.JobSpec("job-000412").MachineTypes; !reflect.DeepEqual(got, want) {
			t.Errorf("got %#v, want %#v", got, want)
		}
	}
}
