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

func acceptAll(Record) bool { return true }

// TestDerivedOrder: the derived ranking orders any two jobs by urgency, then by weight.
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
		r, lossless := Derive(weights, acceptAll)
		if !lossless || r.validate() != nil {
			t.Fatalf("%v: got %+v, lossless %v, problem %v; want a valid ranking without loss", weights, r, lossless, r.validate())
		}
		table := r.Table()
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

// TestDerivedLimits: whatever the weights, the record can be stored, and no pair of
// workloads is in the wrong order.
func TestDerivedLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weights := rapid.MapOfN(rapid.StringMatching(`[a-z*]{0,110}`), rapid.Float64Range(-1000, 1000), 0, 40).Draw(t, "weights")
		small := func(r Record) bool { return len(r.Encode()) < 3000 }
		r, _ := Derive(weights, small)
		r.Revision = 1
		if back, err := Decode(r.Encode()); err != nil || len(back.Classes) != len(r.Classes) || !small(r) {
			t.Fatalf("got %d classes in %d bytes, %d decoded, error %v; want less than 3000 bytes that decode to the same", len(r.Classes), len(r.Encode()), len(back.Classes), err)
		}
		table := r.Table()
		for a, wa := range weights {
			for b, wb := range weights {
				named := table.ClassName(a, 1) != "normal" && table.ClassName(b, 1) != "normal"
				if named && wa > wb && table.Rank(a, 1) > table.Rank(b, 1) {
					t.Fatalf("%s of weight %v ranks behind %s of weight %v", a, wa, b, wb)
				}
			}
		}
	})
}

// TestRank: a job ranks by the first class that matches, and behind all classes by its
// urgency.
func TestRank(t *testing.T) {
	r, err := Parse([]byte("[[class]]\nname = \"crit\"\nurgency = \"critical\"\n[[class]]\nname = \"rush\"\nworkloads = [\"rush-*\", \"outage\"]\nbound_s = 30\npart = 0.1\n" +
		"[[class]]\nname = \"late\"\nworkloads = [\"slow\"]\nurgency = \"critical\"\n[[class]]\nname = \"any\"\nworkloads = [\"rush-x\"]\n"))
	if err != nil {
		t.Fatal(err)
	}
	table := r.Table()
	for _, c := range []struct {
		workload string
		urgency  int
		class    string
		rank     int
	}{
		{"rush-x", 3, "crit", 0}, {"rush-x", 0, "rush", 1}, {"rush", 2, "(urgent)", 5}, {"outage", 1, "rush", 1}, {"slow", 3, "late", 2},
		{"slow", 2, "(urgent)", 5}, {"x", 0, "(best_effort)", 7}, {"x", 99, "crit", 0}, {"x", -5, "(best_effort)", 7},
	} {
		if class, rank := table.ClassName(c.workload, c.urgency), table.Rank(c.workload, c.urgency); class != c.class || rank != c.rank {
			t.Errorf("%s of urgency %d: got class %s, rank %d; want %s, %d", c.workload, c.urgency, class, rank, c.class, c.rank)
		}
	}
	if bound, fraction := table.WaitBound("rush-1", 1); bound != 30*time.Second || fraction != 0.1 {
		t.Errorf("got bound %v, fraction %v; want 30s, 0.1", bound, fraction)
	}
	var none *Table
	if highest, lowest := none.Rank("x", 3), none.Rank("x", 0); highest != 0 || lowest != 3 {
		t.Errorf("without a ranking: got ranks %d and %d of the highest and lowest urgency, want 0 and 3", highest, lowest)
	}
	if w := strings.Join(r.Warnings(), "\n"); !strings.Contains(w, "urgent") || !strings.Contains(w, "rush-x belongs to class rush") || strings.Contains(w, "critical:") {
		t.Errorf("got warnings %q, want them for urgent and rush-x only", w)
	}
}

// TestParseRefuses: invalid files are refused with line, column and field.
func TestParseRefuses(t *testing.T) {
	many := strings.Repeat("[[class]]\nname=\"x\"\nurgency=\"normal\"\n", 17)
	for _, c := range []struct{ text, want string }{
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
		if _, err := Parse([]byte(c.text)); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%.60q: got error %v, want %s", c.text, err, c.want)
		}
	}
}

// TestLaterFormat: a record in a later format is distinguished from a damaged one, and its
// revision can be read.
func TestLaterFormat(t *testing.T) {
	b, err := msgpack.Marshal(map[string]any{"v": 2, "rev": 9, "c": "other"})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Decode(b); !errors.Is(err, ErrFormat) || Revision(b) != 9 {
		t.Errorf("got error %v, revision %d; want %v, 9", err, Revision(b), ErrFormat)
	}
}

// FuzzDecode: what is decoded from any bytes can be encoded and decoded again.
func FuzzDecode(f *testing.F) {
	r, _ := Derive(map[string]float64{"a": 1, "b": -1}, acceptAll)
	r.Revision, r.SetBy = 3, "me"
	f.Add(r.Encode())
	f.Add([]byte{0x81, 0xa1, 'c', 0xdd, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, b []byte) {
		Revision(b)
		r, err := Decode(b)
		if err != nil {
			return
		}
		again, err := Decode(r.Encode())
		if err != nil || !reflect.DeepEqual(r.Classes, again.Classes) || r.Revision != again.Revision {
			t.Fatalf("got %+v, error %v; want %+v", again, err, r)
		}
		r.Table().Rank("a", 3)
	})
}

// FuzzParse: what is parsed from any text can be stored.
func FuzzParse(f *testing.F) {
	f.Add("[[class]]\nname = \"a\"\nworkloads = [\"x*\"]\nbound_s = 3\n")
	f.Add(fmt.Sprintf("class = [{name=%q, urgency=\"normal\"}]", "q"))
	f.Fuzz(func(t *testing.T, s string) {
		r, err := Parse([]byte(s))
		if err != nil {
			return
		}
		r.Revision, r.SetBy, r.SetAt = 1, "x", time.UnixMilli(5)
		if back, err := Decode(r.Encode()); err != nil || len(back.Classes) != len(r.Classes) {
			t.Fatalf("%q: parsed, but its record decodes to %d classes, error %v; want %d classes", s, len(back.Classes), err, len(r.Classes))
		}
		r.Warnings()
	})
}
