package api

import (
	"errors"
	"fmt"
	"math"
	"reflect"

	"github.com/go-playground/validator/v10"
	"github.com/micahill/micahill/internal/core"
	"github.com/micahill/micahill/internal/validate"
	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// run is a submission on the wire. Pointers tell a missing field from a zero.
// Counts come as decimal numbers too, so that 2.5 tasks can be told from 2.
type run struct {
	ID        *string  `msgpack:"id" validate:"required,runid"`
	Workload  *string  `msgpack:"workload" validate:"required,min=1,max=100"`
	Owner     *string  `msgpack:"owner" validate:"required,min=1,max=100"`
	Shape     *string  `msgpack:"shape" validate:"required,oneof=array standing group"`
	Urgency   *string  `msgpack:"urgency" validate:"required,oneof=critical urgent normal best_effort"`
	Pieces    *float64 `msgpack:"pieces" validate:"required,whole,gte=1,lte=100000"`
	VCPUs     *float64 `msgpack:"vcpus" validate:"required,amount"`
	GPUs      *float64 `msgpack:"gpus" validate:"required,amount"`
	MemoryGB  *float64 `msgpack:"memory_gb" validate:"required,amount"`
	Bundle    *string  `msgpack:"bundle" validate:"required,max=200"`
	ImageGB   *float64 `msgpack:"image_gb" validate:"required,amount"`
	Flavours  []string `msgpack:"flavours" validate:"omitempty,dive,min=1,max=100"`
	Site      *string  `msgpack:"site" validate:"omitempty,min=1,max=100"`
	SamePlace *bool    `msgpack:"same_place" validate:"required"`
	Apart     *bool    `msgpack:"apart" validate:"required"`
	Loaner    *bool    `msgpack:"loaner" validate:"required"`
	ExpectedS *float64 `msgpack:"expected_s" validate:"required,amount"`
	EveryS    *float64 `msgpack:"snapshot_every_s" validate:"required,amount"`
	CostS     *float64 `msgpack:"snapshot_cost_s" validate:"required,amount"`
	DueS      *float64 `msgpack:"due_s" validate:"omitempty,amount"`
	Prereqs   []string `msgpack:"prereqs" validate:"omitempty,dive,runid"`
}

var check = newCheck()

func newCheck() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string { return f.Tag.Get("msgpack") })
	for tag, fn := range map[string]validator.Func{
		"runid":  func(fl validator.FieldLevel) bool { return idForm.MatchString(fl.Field().String()) },
		"whole":  func(fl validator.FieldLevel) bool { f := fl.Field().Float(); return f == math.Trunc(f) },
		"amount": func(fl validator.FieldLevel) bool { return validate.IsAmount(fl.Field().Float()) },
	} {
		if err := v.RegisterValidation(tag, fn); err != nil {
			panic("api: " + err.Error())
		}
	}
	return v
}

var urgencies = map[string]core.Urgency{
	"critical": core.Critical, "urgent": core.Urgent, "normal": core.Normal, "best_effort": core.BestEffort,
}

// isMap says that b begins with a map. An array would be taken for a job's fields in the
// order in which they stand here.
func isMap(b []byte) bool {
	return len(b) > 0 && (msgpcode.IsFixedMap(b[0]) || b[0] == msgpcode.Map16 || b[0] == msgpcode.Map32)
}

// mistyped names the first field whose value can't be read; none if the map itself can't.
func mistyped(b []byte) string {
	var values map[string]msgpack.RawMessage
	if msgpack.Unmarshal(b, &values) != nil {
		return ""
	}
	fields := reflect.TypeFor[run]()
	for i := range fields.NumField() {
		f := fields.Field(i)
		name := f.Tag.Get("msgpack")
		// null comes as no bytes.
		if v := values[name]; len(v) > 0 && msgpack.Unmarshal(v, reflect.New(f.Type).Interface()) != nil {
			return name + mistypedPlace(v, f.Type)
		}
	}
	return ""
}

// mistypedPlace is the place of a list's first element that can't be read, if it is one.
func mistypedPlace(b []byte, list reflect.Type) string {
	var values []msgpack.RawMessage
	if list.Kind() != reflect.Slice || msgpack.Unmarshal(b, &values) != nil {
		return ""
	}
	for i, v := range values {
		if len(v) == 0 || msgpack.Unmarshal(v, reflect.New(list.Elem()).Interface()) != nil {
			return fmt.Sprintf("[%d]", i)
		}
	}
	return ""
}

// missing is the reason that names a field.
func missing(field string) string { return "field " + field + " is missing or invalid" }

// parseRun reads a submission. A reason comes with whatever of the id could be
// read: a known job is answered with its state, whatever the body.
func parseRun(b []byte) (core.JobSpec, string) {
	const noMap = "not a MessagePack map with a job's fields"
	if !isMap(b) {
		return core.JobSpec{}, noMap
	}
	var r run
	if msgpack.Unmarshal(b, &r) != nil {
		why := noMap
		if field := mistyped(b); field != "" {
			why = missing(field)
		}
		var only struct {
			ID string `msgpack:"id"`
		}
		if msgpack.Unmarshal(b, &only) == nil && idForm.MatchString(only.ID) {
			return core.JobSpec{ID: only.ID}, why
		}
		return core.JobSpec{}, why
	}
	if r.ID == nil || !idForm.MatchString(*r.ID) {
		return core.JobSpec{}, missing("id")
	}
	if err := check.Struct(&r); err != nil {
		var ve validator.ValidationErrors
		why := err.Error()
		if errors.As(err, &ve) {
			why = missing(ve[0].Field())
		}
		return core.JobSpec{ID: *r.ID}, why
	}
	s := core.JobSpec{
		ID: *r.ID, Workload: *r.Workload, Team: *r.Owner, LongRunning: *r.Shape == "standing", Gang: *r.Shape == "group",
		Urgency: urgencies[*r.Urgency], Tasks: int(*r.Pieces),
		Need:  core.Resources{CPU: *r.VCPUs, GPU: *r.GPUs, Memory: *r.MemoryGB},
		Image: *r.Bundle, ImageGB: *r.ImageGB, MachineTypes: r.Flavours,
		Dependencies: r.Prereqs, SameZone: *r.SamePlace, SpreadZones: *r.Apart, AllowSpot: *r.Loaner,
		ExpectedRunTime: core.Seconds(*r.ExpectedS), CheckpointInterval: core.Seconds(*r.EveryS), CheckpointCost: core.Seconds(*r.CostS),
	}
	if r.Site != nil {
		s.Zone = *r.Site
	}
	if r.DueS != nil {
		s.Deadline = core.Seconds(*r.DueS)
	}
	return s, ""
}
