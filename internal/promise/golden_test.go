package promise

import (
	"testing"

	"github.com/micahill/micahill/internal/testgolden"
)

// TestGoldenRecords guards against changes of the stored formats: records of dates, quotes
// and totals are encoded as in earlier versions, and records of earlier versions are
// decoded.
func TestGoldenRecords(t *testing.T) {
	ratios := make([]int, ratioBuckets)
	for i := range ratios {
		ratios[i] = 1000 + 3*i
	}
	records := testgolden.Values{
		"page": pageRecord{Format: formatVersion, Entries: []storedEntry{
			{Job: "job-000411", MS: 120_300, Rev: 3, Why: JobMistake}, {Job: "job-000412", MS: 90_500, Rev: 1, Why: FirstDate},
			{Job: "job-000413", MS: 80_100, Rev: 2, Why: MachinesLost}, {Job: "job-000414", MS: 70_200, Rev: 4, Why: Outage},
			{Job: "job-000415", MS: 60_600, Rev: 5, Why: RankingChanged}, {Job: "job-000416", MS: 50_700, Rev: 2, Why: EstimateWrong},
		}},
		"quotes": quotesRecord{Format: formatVersion, Team: "vision", Classes: []storedClass{
			{Name: "train", WaitMS: 3_456, Room: 41, Ratio: 117, Dev: 23, F0: 170, F1: 182, F2: 195, F3: 311}, {Name: "infer"},
		}},
		"totals": totalsRecord{Format: formatVersion, Revision: 77_777, PromisedAtAccept: 88, Ratios: ratios, Rows: []storedTotalsRow{
			{Team: "ops", Class: "train", Jobs: 100, Made: 90, Kept: 70, Broken: 20, Revised: 30, WorstMS: 4_567}, {Team: "vision", Class: "infer", Jobs: 5},
		}},
	}
	testgolden.Check(t, testgolden.Codec{
		Write: func(v any) ([]byte, error) { return encode(v), nil },
		Read:  func(b []byte, into any) error { return decode(b, into) },
	}, records)
	testgolden.CheckCoverage(t, records)
}

// TestGoldenUse guards against loss of data when a record is decoded: a decoded record is
// encoded to the same bytes.
func TestGoldenUse(t *testing.T) {
	entries, err := DecodePage(testgolden.Bytes(t, "page"))
	if err != nil {
		t.Fatal(err)
	}
	testgolden.CheckUnchanged(t, "page", encodePage(entries))
	team, quoter, err := DecodeQuoter(testgolden.Bytes(t, "quotes"), 0.95)
	if err != nil {
		t.Fatal(err)
	}
	testgolden.CheckUnchanged(t, "quotes", quoter.Encode(team, 4096))
	totals, err := DecodeTotals(testgolden.Bytes(t, "totals"))
	if err != nil {
		t.Fatal(err)
	}
	testgolden.CheckUnchanged(t, "totals", totals.Encode(4096))
}
