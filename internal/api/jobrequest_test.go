package api

import (
	"fmt"
	"maps"
	"math"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// validJobRequest returns a submission with all fields of the protocol's example.
func validJobRequest() map[string]any {
	return map[string]any{"id": "job-000412", "workload": "train", "owner": "vision", "shape": "array", "urgency": "urgent", "pieces": 16,
		"vcpus": 8.0, "gpus": 1.0, "memory_gb": 64.0, "bundle": "img-07", "image_gb": 6.2, "flavours": []string{"g8"}, "site": nil, "same_place": true,
		"apart": false, "loaner": true, "expected_s": 240.0, "snapshot_every_s": 30.0, "snapshot_cost_s": 4.0, "due_s": 900.0}
}

// TestInvalidJobRequests checks that a submission with a missing or an invalid field is rejected, and
// that the error names this field. The job's ID must still be returned if it can be decoded, since
// the response for a known job depends on it.
func TestInvalidJobRequests(t *testing.T) {
	type invalid struct {
		field string
		value any
	}
	absent := struct{}{}
	var cases []invalid
	for field := range maps.Keys(validJobRequest()) {
		if field != "flavours" && field != "site" && field != "due_s" {
			cases = append(cases, invalid{field, absent}, invalid{field, nil})
		}
		cases = append(cases, invalid{field, []any{1, "x"}}, invalid{field, map[string]any{"x": 1}})
	}
	for _, field := range []string{"vcpus", "gpus", "memory_gb", "image_gb", "expected_s", "snapshot_every_s", "snapshot_cost_s", "due_s"} {
		for _, value := range []any{-1, -0.001, math.NaN(), math.Inf(1), math.Inf(-1), 1e300, "8", true} {
			cases = append(cases, invalid{field, value})
		}
	}
	for _, value := range []any{0, -1, 100001, 2.5, math.NaN(), math.Inf(1), uint64(math.MaxUint64), "16"} {
		cases = append(cases, invalid{"pieces", value})
	}
	for _, field := range []string{"same_place", "apart", "loaner"} {
		cases = append(cases, invalid{field, "yes"}, invalid{field, 1})
	}
	for _, field := range []string{"workload", "owner", "bundle", "site"} {
		cases = append(cases, invalid{field, strings.Repeat("x", 201)}, invalid{field, 7})
	}
	cases = append(cases, invalid{"shape", "service"}, invalid{"shape", ""}, invalid{"urgency", "high"}, invalid{"urgency", 2}, invalid{"workload", ""}, invalid{"owner", ""}, invalid{"site", ""},
		invalid{"prereqs", "job-000398"}, invalid{"prereqs", map[string]any{"0": "job-000398"}}, invalid{"prereqs", 398},
		invalid{"prereqs", []any{7}}, invalid{"prereqs", []any{""}}, invalid{"prereqs", []any{nil}}, invalid{"prereqs", []any{"job-1", "job-" + strings.Repeat("1", 65)}}, invalid{"prereqs", []any{[]any{"job-1"}}},
		invalid{"flavours", "g8"}, invalid{"flavours", []any{7}}, invalid{"flavours", []any{""}},
		invalid{"id", ""}, invalid{"id", "000412"}, invalid{"id", "job-"}, invalid{"id", "job-1/2"}, invalid{"id", "job-1 "}, invalid{"id", "job-" + strings.Repeat("1", 65)}, invalid{"id", 412})
	for _, test := range cases {
		t.Run(fmt.Sprintf("%s=%v", test.field, test.value), func(t *testing.T) {
			request := validJobRequest()
			if request[test.field] = test.value; test.value == absent {
				delete(request, test.field)
			}
			body, err := msgpack.Marshal(request)
			if err != nil {
				t.Fatal(err)
			}
			spec, err := parseJobRequest(body)
			if err == nil {
				t.Fatalf("got %+v, want an error", spec)
			}
			if rest, named := strings.CutPrefix(err.Error(), "field "+test.field); !named || rest[0] != ' ' && rest[0] != '[' {
				t.Errorf("error: got %q, want one that names the field", err)
			}
			if hasID := spec.ID == "job-000412"; hasID != (test.field != "id") {
				t.Errorf("ID: got %q, want job-000412, or none if the ID is the invalid field", spec.ID)
			}
		})
	}
}

// TestAcceptedJobRequests checks variants of a valid submission that must be accepted: optional
// fields that are missing or null, counts as floating-point numbers, and unknown fields. A body that
// isn't a map must be rejected, even a list of all values in the order of the fields.
func TestAcceptedJobRequests(t *testing.T) {
	for _, change := range []func(map[string]any){
		func(map[string]any) {},
		func(request map[string]any) {
			delete(request, "flavours")
			delete(request, "site")
			delete(request, "due_s")
		},
		func(request map[string]any) { request["flavours"], request["site"], request["due_s"] = nil, nil, nil },
		func(request map[string]any) { request["pieces"], request["vcpus"], request["gpus"] = 16.0, 8, 0 },
		func(request map[string]any) { request["colour"] = []any{"red"} },
	} {
		request := validJobRequest()
		change(request)
		body, err := msgpack.Marshal(request)
		if err != nil {
			t.Fatal(err)
		}
		if spec, err := parseJobRequest(body); err != nil || spec.Tasks != 16 || spec.Need.CPU != 8 {
			t.Errorf("%v: got %+v, %v, want 16 tasks of 8 CPUs", request, spec, err)
		}
	}
	var fieldsInOrder []any
	for _, field := range []string{"id", "workload", "owner", "shape", "urgency", "pieces", "vcpus", "gpus", "memory_gb", "bundle", "image_gb", "flavours", "site",
		"same_place", "apart", "loaner", "expected_s", "snapshot_every_s", "snapshot_cost_s", "due_s"} {
		fieldsInOrder = append(fieldsInOrder, validJobRequest()[field])
	}
	for _, value := range []any{fieldsInOrder, "job-000412", nil, 7, true, []any{}} {
		body, err := msgpack.Marshal(value)
		if err != nil {
			t.Fatal(err)
		}
		if spec, err := parseJobRequest(body); err == nil {
			t.Errorf("%v: got %+v, want an error", value, spec)
		}
	}
}

// TestMachineTypesOfJobRequest guards against a job that is started on any machine although its list of
// allowed machine types is empty: null or no list allows all types, an empty list none.
func TestMachineTypesOfJobRequest(t *testing.T) {
	for _, test := range []struct {
		name         string
		machineTypes any
		want         []string
	}{
		{"null", nil, nil},
		{"empty", []string{}, []string{}},
		{"listed", []string{"g8", "g4"}, []string{"g8", "g4"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			request := validJobRequest()
			request["flavours"] = test.machineTypes
			body, err := msgpack.Marshal(request)
			if err != nil {
				t.Fatal(err)
			}
			spec, err := parseJobRequest(body)
			if err != nil || !reflect.DeepEqual(spec.MachineTypes, test.want) {
				t.Errorf("got %#v, %v, want %#v", spec.MachineTypes, err, test.want)
			}
			if got, want := spec.AllowsMachineType("g8"), test.name != "empty"; got != want {
				t.Errorf("got machine type g8 allowed %v, want %v", got, want)
			}
		})
	}
}

// TestDeadlineOfJobRequest guards against a job that is due at once and is served as if it had no deadline.
func TestDeadlineOfJobRequest(t *testing.T) {
	for _, test := range []struct {
		deadline any
		want     time.Duration
	}{{nil, 0}, {0, time.Millisecond}, {0.0, time.Millisecond}, {1e-9, time.Millisecond}, {900.5, 900_500 * time.Millisecond}} {
		request := validJobRequest()
		request["due_s"] = test.deadline
		body, err := msgpack.Marshal(request)
		if err != nil {
			t.Fatal(err)
		}
		if spec, err := parseJobRequest(body); err != nil || spec.Deadline != test.want {
			t.Errorf("due_s %v: got deadline %v, %v, want %v", test.deadline, spec.Deadline, err, test.want)
		}
	}
}
