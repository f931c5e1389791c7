package api

import (
	"fmt"
	"maps"
	"math"
	"strings"
	"testing"

	"github.com/vmihailenco/msgpack/v5"
)

// validJobRequest has all fields of a submission.
func validJobRequest() map[string]any {
	return map[string]any{"id": "job-000412", "workload": "train", "owner": "vision", "shape": "array", "urgency": "urgent", "pieces": 16,
		"vcpus": 8.0, "gpus": 1.0, "memory_gb": 64.0, "bundle": "img-07", "image_gb": 6.2, "flavours": []string{"g8"}, "site": nil, "same_place": true,
		"apart": false, "loaner": true, "expected_s": 240.0, "snapshot_every_s": 30.0, "snapshot_cost_s": 4.0, "due_s": 900.0}
}

// TestInvalidJobRequests: a submission that lacks a field, or has an invalid one, is refused with the
// field's name, and with the id as long as that can be read: a job that is known already
// is answered with its state, whatever its repeat says.
func TestInvalidJobRequests(t *testing.T) {
	type odd struct {
		field string
		value any
	}
	absent := struct{}{}
	var cases []odd
	for field := range maps.Keys(validJobRequest()) {
		if field != "flavours" && field != "site" && field != "due_s" {
			cases = append(cases, odd{field, absent}, odd{field, nil})
		}
		cases = append(cases, odd{field, []any{1, "x"}}, odd{field, map[string]any{"x": 1}})
	}
	for _, field := range []string{"vcpus", "gpus", "memory_gb", "image_gb", "expected_s", "snapshot_every_s", "snapshot_cost_s", "due_s"} {
		for _, x := range []any{-1, -0.001, math.NaN(), math.Inf(1), math.Inf(-1), 1e300, "8", true} {
			cases = append(cases, odd{field, x})
		}
	}
	for _, x := range []any{0, -1, 100001, 2.5, math.NaN(), math.Inf(1), uint64(math.MaxUint64), "16"} {
		cases = append(cases, odd{"pieces", x})
	}
	for _, field := range []string{"same_place", "apart", "loaner"} {
		cases = append(cases, odd{field, "yes"}, odd{field, 1})
	}
	for _, field := range []string{"workload", "owner", "bundle", "site"} {
		cases = append(cases, odd{field, strings.Repeat("x", 201)}, odd{field, 7})
	}
	cases = append(cases, odd{"shape", "service"}, odd{"shape", ""}, odd{"urgency", "high"}, odd{"urgency", 2}, odd{"workload", ""}, odd{"owner", ""}, odd{"site", ""},
		odd{"prereqs", "job-000398"}, odd{"prereqs", map[string]any{"0": "job-000398"}}, odd{"prereqs", 398},
		odd{"prereqs", []any{7}}, odd{"prereqs", []any{""}}, odd{"prereqs", []any{nil}}, odd{"prereqs", []any{"job-1", "job-" + strings.Repeat("1", 65)}}, odd{"prereqs", []any{[]any{"job-1"}}},
		odd{"flavours", "g8"}, odd{"flavours", []any{7}}, odd{"flavours", []any{""}},
		odd{"id", ""}, odd{"id", "000412"}, odd{"id", "job-"}, odd{"id", "job-1/2"}, odd{"id", "job-1 "}, odd{"id", "job-" + strings.Repeat("1", 65)}, odd{"id", 412})
	for _, test := range cases {
		t.Run(fmt.Sprintf("%s=%v", test.field, test.value), func(t *testing.T) {
			m := validJobRequest()
			if m[test.field] = test.value; test.value == absent {
				delete(m, test.field)
			}
			b, err := msgpack.Marshal(m)
			if err != nil {
				t.Fatal(err)
			}
			spec, reason := parseJobRequest(b)
			if rest, named := strings.CutPrefix(reason, "field "+test.field); !named || rest[0] != ' ' && rest[0] != '[' {
				t.Errorf("the reason is %q", reason)
			}
			if known := spec.ID == "job-000412"; known != (test.field != "id") {
				t.Errorf("the id is %q", spec.ID)
			}
		})
	}
}

// TestAcceptedJobRequests: what may be left out may be null as well, counts may come as decimal
// numbers, fields that nobody knows are passed over; what is no map is refused.
func TestAcceptedJobRequests(t *testing.T) {
	for _, change := range []func(map[string]any){
		func(map[string]any) {},
		func(m map[string]any) { delete(m, "flavours"); delete(m, "site"); delete(m, "due_s") },
		func(m map[string]any) { m["flavours"], m["site"], m["due_s"] = nil, nil, nil },
		func(m map[string]any) { m["pieces"], m["vcpus"], m["gpus"] = 16.0, 8, 0 },
		func(m map[string]any) { m["colour"] = []any{"red"} },
	} {
		m := validJobRequest()
		change(m)
		b, err := msgpack.Marshal(m)
		if err != nil {
			t.Fatal(err)
		}
		if spec, reason := parseJobRequest(b); reason != "" || spec.Tasks != 16 || spec.Need.CPU != 8 {
			t.Errorf("%v: %q, %+v", m, reason, spec)
		}
	}
	var inOrder []any
	for _, field := range []string{"id", "workload", "owner", "shape", "urgency", "pieces", "vcpus", "gpus", "memory_gb", "bundle", "image_gb", "flavours", "site",
		"same_place", "apart", "loaner", "expected_s", "snapshot_every_s", "snapshot_cost_s", "due_s"} {
		inOrder = append(inOrder, validJobRequest()[field])
	}
	for _, v := range []any{inOrder, "job-000412", nil, 7, true, []any{}} {
		b, err := msgpack.Marshal(v)
		if err != nil {
			t.Fatal(err)
		}
		if _, reason := parseJobRequest(b); reason == "" {
			t.Errorf("%v is taken", v)
		}
	}
}
