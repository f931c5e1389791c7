package ranking

import (
	"cmp"
	"errors"
	"fmt"
	"reflect"
	"strings"
	"testing"
	"time"

	_ "github.com/micahill/micahill/internal/testseed"
	"github.com/vmihailenco/msgpack/v5"
	"pgregory.net/rapid"
)

// acceptAll reports that a record of any size fits.
func acceptAll(Record) bool { return true }

// TestDerivedOrder guards against a change of order when the first ranking is derived: it
// orders any two jobs by urgency, then by weight, as the policy script does.
func TestDerivedOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []string{"a", "b", "c", "d", "e"}
		// A ranking can hold three different weights besides 0.
		weight := rapid.SampledFrom([]float64{-2, 0, 1, 7.5})
		weights := map[string]float64{}
		for _, n := range names {
			if rapid.Bool().Draw(t, "weighed") {
				weights[n] = weight.Draw(t, n)
			}
		}
		record, lossless := Derive(weights, acceptAll)
		if !lossless || record.validate() != nil {
			t.Fatalf("%v: got %+v, lossless %v, problem %v; want a valid ranking without loss", weights, record, lossless, record.validate())
		}
		table := record.Table()
		for _, a := range names {
			for _, b := range names {
				for ua := range Urgencies {
					for ub := range Urgencies {
						want := cmp.Or(cmp.Compare(ub, ua), cmp.Compare(weights[b], weights[a]))
						if got := cmp.Compare(table.Rank(a, ua), table.Rank(b, ub)); got != want {
							t.Fatalf("%v: %s of %s compared to %s of %s: got %d, want %d", weights, a, Urgencies[ua], b, Urgencies[ub], got, want)
						}
					}
				}
			}
		}
	})
}

// TestDerivedLimits guards against a derived ranking that can't be stored or reverses two
// workloads, whatever the weights.
func TestDerivedLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weights := rapid.MapOfN(rapid.StringMatching(`[a-z*]{0,110}`), rapid.Float64Range(-1000, 1000), 0, 40).Draw(t, "weights")
		small := func(record Record) bool { return len(record.Encode()) < 3000 }
		record, _ := Derive(weights, small)
		record.Revision = 1
		if back, err := Decode(record.Encode()); err != nil || len(back.Classes) != len(record.Classes) || !small(record) {
			t.Fatalf("got %d classes in %d bytes, %d decoded, error %v; want less than 3000 bytes that decode to the same", len(record.Classes), len(record.Encode()), len(back.Classes), err)
		}
		table := record.Table()
		for a, weightA := range weights {
			for b, weightB := range weights {
				named := table.ClassName(a, 1) != "normal" && table.ClassName(b, 1) != "normal"
				if named && weightA > weightB && table.Rank(a, 1) > table.Rank(b, 1) {
					t.Fatalf("got %s of weight %v behind %s of weight %v, want it ahead", a, weightA, b, weightB)
				}
			}
		}
	})
}

// TestRank checks that a job ranks by the first class that matches, and behind all classes
// by its urgency if none matches.
func TestRank(t *testing.T) {
	record, err := Parse([]byte("[[class]]\nname = \"crit\"\nurgency = \"critical\"\n[[class]]\nname = \"rush\"\nworkloads = [\"rush-*\", \"outage\"]\nbound_s = 30\npart = 0.1\n" +
		"[[class]]\nname = \"late\"\nworkloads = [\"slow\"]\nurgency = \"critical\"\n[[class]]\nname = \"any\"\nworkloads = [\"rush-x\"]\n"))
	if err != nil {
		t.Fatal(err)
	}
	table := record.Table()
	for _, tc := range []struct {
		workload string
		urgency  int
		class    string
		rank     int
	}{
		{"rush-x", 3, "crit", 0}, {"rush-x", 0, "rush", 1}, {"rush", 2, "(urgent)", 5}, {"outage", 1, "rush", 1}, {"slow", 3, "late", 2},
		{"slow", 2, "(urgent)", 5}, {"x", 0, "(best_effort)", 7}, {"x", 99, "crit", 0}, {"x", -5, "(best_effort)", 7},
	} {
		if class, rank := table.ClassName(tc.workload, tc.urgency), table.Rank(tc.workload, tc.urgency); class != tc.class || rank != tc.rank {
			t.Errorf("%s of urgency %d: got class %s, rank %d; want %s, %d", tc.workload, tc.urgency, class, rank, tc.class, tc.rank)
		}
	}
	if bound, fraction := table.WaitBound("rush-1", 1); bound != 30*time.Second || fraction != 0.1 {
		t.Errorf("got bound %v, fraction %v; want 30s, 0.1", bound, fraction)
	}
	var none *Table
	if highest, lowest := none.Rank("x", 3), none.Rank("x", 0); highest != 0 || lowest != 3 {
		t.Errorf("without a ranking: got ranks %d and %d of the highest and lowest urgency, want 0 and 3", highest, lowest)
	}
	if warnings := strings.Join(record.Warnings(), "\n"); !strings.Contains(warnings, "urgent") || !strings.Contains(warnings, "rush-x belongs to class rush") || strings.Contains(warnings, "critical:") {
		t.Errorf("got warnings %q, want them for urgent and rush-x only", warnings)
	}
}

// TestParseRefuses checks that invalid files are refused with line, column and field.
func TestParseRefuses(t *testing.T) {
	many := strings.Repeat("[[class]]\nname=\"x\"\nurgency=\"normal\"\n", 17)
	for _, tc := range []struct{ text, want string }{
		{"", "there is no class"},
		{"[[class]]\nname = \"a\"", "1:1: field class[0].workloads"},
		{"[[class]]\n  name = \"a b\"\nurgency=\"normal\"", "2:3: field class[0].name"},
		{"[[class]]\nname=\"a\"\nurgency=\"high\"", "3:1: field class[0].urgency"},
		{"[[class]]\nname=\"a\"\nurgency=\"normal\"\n[[class]]\nname=\"a\"\nurgency=\"urgent\"", "5:1: field class[1].name"},
		{"[[class]]\nname=\"a\"\nworkloads=[\"x*y\"]", "3:1: field class[0].workloads"},
		{"[[class]]\nname=\"a\"\nworkloads=[\"*\"]", "3:1: field class[0].workloads"},
		{"[[class]]\nname=\"a\"\nurgency=\"normal\"\nbound_s=-1", "4:1: field class[0].bound_s"},
		{"[[class]]\nname=\"a\"\nurgency=\"normal\"\nbound_s=nan", "4:1: field class[0].bound_s"},
		{"[[class]]\nname=\"a\"\nurgency=\"normal\"\npart=1.5", "4:1: field class[0].part"},
		{"[[class]]\nname=\"a\"\nurgency=\"normal\"\nweight=3", "4:1: unknown field class.weight"},
		{"[[class]]\nname=3", "2:6: field class.name"},
		{"[[class]\n", "1:"},
		{many, "field class[16].name: 17 classes"},
	} {
		if _, err := Parse([]byte(tc.text)); err == nil || !strings.Contains(err.Error(), tc.want) {
			t.Errorf("%.60q: got error %v, want %s", tc.text, err, tc.want)
		}
	}
}

// TestLaterFormat guards against a record in a later format that is taken for a damaged
// one, and checks that its revision can be read.
func TestLaterFormat(t *testing.T) {
	value, err := msgpack.Marshal(map[string]any{"v": 2, "rev": 9, "c": "other"})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Decode(value); !errors.Is(err, ErrFormat) || Revision(value) != 9 {
		t.Errorf("got error %v, revision %d; want %v, 9", err, Revision(value), ErrFormat)
	}
}

// FuzzDecode checks that what is decoded from any bytes can be encoded and decoded again.
func FuzzDecode(f *testing.F) {
	record, _ := Derive(map[string]float64{"a": 1, "b": -1}, acceptAll)
	record.Revision, record.SetBy = 3, "me"
	f.Add(record.Encode())
	f.Add([]byte{0x81, 0xa1, 'c', 0xdd, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, value []byte) {
		Revision(value)
		record, err := Decode(value)
		if err != nil {
			return
		}
		again, err := Decode(record.Encode())
		if err != nil || !reflect.DeepEqual(record.Classes, again.Classes) || record.Revision != again.Revision {
			t.Fatalf("got %+v, error %v; want %+v", again, err, record)
		}
		record.Table().Rank("a", 3)
	})
}

// FuzzParse checks that what is parsed from any text can be stored and decoded again.
func FuzzParse(f *testing.F) {
	f.Add("[[class]]\nname = \"a\"\nworkloads = [\"x*\"]\nbound_s = 3\n")
	f.Add(fmt.Sprintf("class = [{name=%q, urgency=\"normal\"}]", "q"))
	f.Fuzz(func(t *testing.T, text string) {
		record, err := Parse([]byte(text))
		if err != nil {
			return
		}
		record.Revision, record.SetBy, record.SetAt = 1, "x", time.UnixMilli(5)
		if back, err := Decode(record.Encode()); err != nil || len(back.Classes) != len(record.Classes) {
			t.Fatalf("%q: parsed, but its record decodes to %d classes, error %v; want %d classes", text, len(back.Classes), err, len(record.Classes))
		}
		record.Warnings()
	})
}
