package core

import (
	"errors"
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/micahill/micahill/internal/pipeline"
	"github.com/micahill/micahill/internal/testgolden"
)

// goldenRecords are the core's records of the state service.
var goldenRecords = testgolden.Values{
	"node":  nodeRecord{Grant: 411, Nonce: "n-17.3", Deaf: true, Born: 1_750_000_000_123},
	"life":  lifeRecord{Born: 1_750_000_001_234, Short: 3},
	"lead":  leadRecord{Host: "ctl-2", Nonce: "n-18.1"},
	"form":  formRecord{Tasks: 21},
	"hears": hearsRecord{Of: "ctl-3", Nonce: "n-19.2", Machines: 5},
	"drain": drainRecord{On: true, By: 1_750_000_600_000},
	"guest": guestRecord{Job: "job-lent-east-2-000412", Cause: "given_back", Renewed: 1_750_000_002_345},
	"job": jobRecord{
		Status: Done, Tasks: 16, Team: "vision", Class: "train", Guest: true, After: 90_500, P: 120_300, Rev: 2, First: true,
	},
	"open": openRecord{
		Workload: "train", Team: "vision", Standing: true, Gang: true, Urgency: int(Urgent), Tasks: 16,
		CPU: 8.5, GPU: 1.25, Memory: 64.75, Image: "img-07", ImageGB: 6.2, Flavours: []string{"g8", "g4"}, Zone: "a",
		Same: true, Apart: true, Spot: true, Expected: 240.5, SaveEvery: 30.25, SaveCost: 4.5, Due: 900.75, At: 1_750_000_003_456,
		Cancelled: true, CancelledAt: 1_750_000_004_567, Lent: "east", LentN: 7, LentStop: 82_000, Wanted: true,
		Guest: "west/job-000077/4", P: 130_400, Prereqs: pipeline.Encode([]string{"job-000398", "job-000402", "job-x"}),
	},
	"task": chunkRecord{
		Prefix: "vm-000", Runs: []int{0, 4, 6, 9}, Marks: []int64{1_750_000_005_678}, Times: []int64{2_340, 3_450}, Rank: 93,
		Rows: []taskRow{
			{Index: 5, Try: 2, Machine: "231", Group: 1_750_000_005_678, Relaunched: true},
			{Index: 10, Try: 300, Machine: "232", Group: 1_750_000_006_789, Done: true},
			{Index: 70_000, Try: 1, Group: 1_750_000_007_890},
		},
	},
	"warm": warmRecord{Prefix: "vm-", Width: 6, Images: []warmImage{
		{Name: "img-07", GB: 6.2, Machines: []int{231, 232}}, {Name: "img-08", GB: 0.5, Machines: []int{77_777}},
	}},
}

// TestGoldenRecords: records of the state service are written as they ever were, and what
// stands there is read.
func TestGoldenRecords(t *testing.T) {
	testgolden.Check(t, testgolden.Codec{
		Write: func(v any) ([]byte, error) { return encode(v), nil },
		Read: func(b []byte, into any) error {
			if !decode(b, into) {
				return errors.New("not a record")
			}
			return nil
		},
	}, goldenRecords)
	testgolden.Full(t, goldenRecords)
}

// TestGoldenSpec: what stands in open/ is read as the job that it was, every field of the
// job is there, and it is written again as it stood.
func TestGoldenSpec(t *testing.T) {
	var r openRecord
	if !decode(testgolden.Bytes(t, "open"), &r) {
		t.Fatal("not a record")
	}
	s := r.spec("job-000412")
	all := maps.Clone(goldenRecords)
	all["spec"] = s
	testgolden.Full(t, all)
	again := s.record(time.UnixMilli(r.At))
	again.Cancelled, again.CancelledAt = r.Cancelled, r.CancelledAt
	again.Lent, again.LentN, again.LentStop, again.Wanted = r.Lent, r.LentN, r.LentStop, r.Wanted
	again.Guest, again.P = r.Guest, r.P
	testgolden.Still(t, "open", encode(again))
}

// TestGoldenNames: keys of the state service, and words and numbers that stand in records,
// mean what they ever meant.
func TestGoldenNames(t *testing.T) {
	for want, got := range map[string]string{
		"ctl/":                     ctlPrefix,
		"ctl/lead":                 leadKey,
		"ctl/node/":                nodePrefix,
		"ctl/share/":               sharePrefix,
		"ctl/lot/":                 lotPrefix,
		"ctl/drain":                drainKey,
		"ctl/hears/":               hearsPrefix,
		"ctl/form":                 formKey,
		"ctl/form/":                formPrefix,
		"ctl/ranking":              rankingKey,
		"ranking/":                 historyPrefix,
		"life/":                    lifePrefix,
		"job/":                     jobPrefix,
		"open/":                    openPrefix,
		"open/~ops/":               pagesOf("ops"),
		"open/~~7893bac725199fbd/": pagesOf("o p s"),
		"task/job-000412/3":        taskForm{per: 42}.key("job-000412", 3),
		"task/job-000412/s21.3":    taskForm{per: 21, part: true}.key("job-000412", 3),
		"form/probe":               probeKey,
		"warm/":                    warmPrefix,
		"guest/":                   guestPrefix,
		"guest/0/":                 renewedPrefix,
		"move/ops":                 moveKey("ops"),
		"promise/quotes/":          quotesPrefix,
		"promise/totals":           totalsKey,
		"queued":                   string(Queued),
		"cancelled":                string(Cancelled),
		"done":                     string(Done),
		"urgencies 0 1 2 3":        fmt.Sprintf("urgencies %d %d %d %d", BestEffort, Normal, Urgent, Critical),
	} {
		if got != want {
			t.Errorf("%q was %q", got, want)
		}
	}
}
