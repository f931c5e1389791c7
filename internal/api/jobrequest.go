package api

import (
	"errors"
	"fmt"
	"math"
	"reflect"

	"github.com/go-playground/validator/v10"
	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/record"
	"github.com/micahill/micahill/internal/validate"
	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// jobRequest is a submission on the wire. Pointers tell a missing field from a zero.
// Counts come as decimal numbers too, so that 2.5 tasks can be told from 2.
type jobRequest struct {
	ID               *string  `msgpack:"id" validate:"required,runid"`
	Workload         *string  `msgpack:"workload" validate:"required,min=1,max=100"`
	Team             *string  `msgpack:"owner" validate:"required,min=1,max=100"`
	Shape            *string  `msgpack:"shape" validate:"required,oneof=array standing group"`
	Urgency          *string  `msgpack:"urgency" validate:"required,oneof=critical urgent normal best_effort"`
	Tasks            *float64 `msgpack:"pieces" validate:"required,whole,gte=1,lte=100000"`
	VCPUs            *float64 `msgpack:"vcpus" validate:"required,amount"`
	GPUs             *float64 `msgpack:"gpus" validate:"required,amount"`
	MemoryGB         *float64 `msgpack:"memory_gb" validate:"required,amount"`
	Image            *string  `msgpack:"bundle" validate:"required,max=200"`
	ImageGB          *float64 `msgpack:"image_gb" validate:"required,amount"`
	MachineTypes     []string `msgpack:"flavours" validate:"omitempty,dive,min=1,max=100"`
	Zone             *string  `msgpack:"site" validate:"omitempty,min=1,max=100"`
	ZoneAffinity     *bool    `msgpack:"same_place" validate:"required"`
	ZoneAntiAffinity *bool    `msgpack:"apart" validate:"required"`
	SpotAllowed      *bool    `msgpack:"loaner" validate:"required"`
	ExpectedS        *float64 `msgpack:"expected_s" validate:"required,amount"`
	CheckpointEveryS *float64 `msgpack:"snapshot_every_s" validate:"required,amount"`
	CheckpointCostS  *float64 `msgpack:"snapshot_cost_s" validate:"required,amount"`
	DeadlineS        *float64 `msgpack:"due_s" validate:"omitempty,amount"`
	Dependencies     []string `msgpack:"prereqs" validate:"omitempty,dive,runid"`
}

var requestValidator = newRequestValidator()

func newRequestValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string { return f.Tag.Get("msgpack") })
	for tag, fn := range map[string]validator.Func{
		"runid":  func(fl validator.FieldLevel) bool { return jobIDPattern.MatchString(fl.Field().String()) },
		"whole":  func(fl validator.FieldLevel) bool { f := fl.Field().Float(); return f == math.Trunc(f) },
		"amount": func(fl validator.FieldLevel) bool { return validate.IsAmount(fl.Field().Float()) },
	} {
		if err := v.RegisterValidation(tag, fn); err != nil {
			panic("api: " + err.Error())
		}
	}
	return v
}

var urgencies = map[string]model.Urgency{
	"critical": model.Critical, "urgent": model.Urgent, "normal": model.Normal, "best_effort": model.BestEffort,
}

// isMap says that b begins with a map. An array would be taken for a job's fields in the
// order in which they stand here.
func isMap(b []byte) bool {
	return len(b) > 0 && (msgpcode.IsFixedMap(b[0]) || b[0] == msgpcode.Map16 || b[0] == msgpcode.Map32)
}

// mistypedField names the first field whose value can't be read; none if the map itself can't.
func mistypedField(b []byte) string {
	var values map[string]msgpack.RawMessage
	if msgpack.Unmarshal(b, &values) != nil {
		return ""
	}
	fields := reflect.TypeFor[jobRequest]()
	for i := range fields.NumField() {
		f := fields.Field(i)
		name := f.Tag.Get("msgpack")
		// null comes as no bytes.
		if v := values[name]; len(v) > 0 && msgpack.Unmarshal(v, reflect.New(f.Type).Interface()) != nil {
			return name + mistypedIndex(v, f.Type)
		}
	}
	return ""
}

// mistypedIndex is the place of a list's first element that can't be read, if it is one.
func mistypedIndex(b []byte, list reflect.Type) string {
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

// invalidFieldReason is the reason that names a field.
func invalidFieldReason(field string) string { return "field " + field + " is missing or invalid" }

// parseJobRequest reads a submission. A reason comes with whatever of the id could be
// read: a known job is answered with its state, whatever the body.
func parseJobRequest(b []byte) (model.JobSpec, string) {
	const noMap = "not a MessagePack map with a job's fields"
	if !isMap(b) {
		return model.JobSpec{}, noMap
	}
	var request jobRequest
	if msgpack.Unmarshal(b, &request) != nil {
		reason := noMap
		if field := mistypedField(b); field != "" {
			reason = invalidFieldReason(field)
		}
		var idOnly struct {
			ID string `msgpack:"id"`
		}
		if msgpack.Unmarshal(b, &idOnly) == nil && jobIDPattern.MatchString(idOnly.ID) {
			return model.JobSpec{ID: idOnly.ID}, reason
		}
		return model.JobSpec{}, reason
	}
	if request.ID == nil || !jobIDPattern.MatchString(*request.ID) {
		return model.JobSpec{}, invalidFieldReason("id")
	}
	if err := requestValidator.Struct(&request); err != nil {
		var violations validator.ValidationErrors
		reason := err.Error()
		if errors.As(err, &violations) {
			reason = invalidFieldReason(violations[0].Field())
		}
		return model.JobSpec{ID: *request.ID}, reason
	}
	spec := model.JobSpec{
		ID: *request.ID, Workload: *request.Workload, Team: *request.Team, LongRunning: *request.Shape == "standing", Gang: *request.Shape == "group",
		Urgency: urgencies[*request.Urgency], Tasks: int(*request.Tasks),
		Need:  model.Resources{CPU: *request.VCPUs, GPU: *request.GPUs, Memory: *request.MemoryGB},
		Image: *request.Image, ImageGB: *request.ImageGB, MachineTypes: request.MachineTypes,
		Dependencies: request.Dependencies, SameZone: *request.ZoneAffinity, SpreadZones: *request.ZoneAntiAffinity, AllowSpot: *request.SpotAllowed,
		ExpectedRunTime: record.DurationOfSeconds(*request.ExpectedS), CheckpointInterval: record.DurationOfSeconds(*request.CheckpointEveryS), CheckpointCost: record.DurationOfSeconds(*request.CheckpointCostS),
	}
	if request.Zone != nil {
		spec.Zone = *request.Zone
	}
	if request.DeadlineS != nil {
		spec.Deadline = record.DurationOfSeconds(*request.DeadlineS)
	}
	return spec, ""
}
