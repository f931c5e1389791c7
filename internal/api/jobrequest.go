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

// jobRequest is a submission on the wire, as the protocol's "POST /v2/runs" has it. Pointers
// distinguish a missing field from a zero. Tasks is a decimal number, so that 2.5 is invalid and
// not 2.
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

// requestValidator checks the validate tags of a jobRequest.
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

// isMap reports whether b begins with a MessagePack map. The decoder would accept a list as
// well, and take it for the fields in the order of their declaration.
func isMap(b []byte) bool {
	return len(b) > 0 && (msgpcode.IsFixedMap(b[0]) || b[0] == msgpcode.Map16 || b[0] == msgpcode.Map32)
}

// mistypedField returns the name of the first field whose value can't be decoded, or "" if the
// map itself can't be.
func mistypedField(b []byte) string {
	var values map[string]msgpack.RawMessage
	if msgpack.Unmarshal(b, &values) != nil {
		return ""
	}
	fields := reflect.TypeFor[jobRequest]()
	for i := range fields.NumField() {
		f := fields.Field(i)
		name := f.Tag.Get("msgpack")
		// A null is decoded as no bytes.
		if v := values[name]; len(v) > 0 && msgpack.Unmarshal(v, reflect.New(f.Type).Interface()) != nil {
			return name + mistypedIndex(v, f.Type)
		}
	}
	return ""
}

// mistypedIndex returns the index, in brackets, of a list's first element that can't be decoded,
// or "" if there is none.
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

// errNotJobMap is the error of a body that is no map, or no map of a job's fields.
var errNotJobMap = errors.New("not a MessagePack map with a job's fields")

// invalidFieldError names a field that is missing or has an invalid value.
type invalidFieldError struct{ field string }

func (e *invalidFieldError) Error() string { return "field " + e.field + " is missing or invalid" }

// parseJobRequest decodes and checks a submission. Its errors are reasons for the user. Together
// with an error the spec has the ID if that could be decoded: if the job is known, the response
// is its state, whatever else the body says.
func parseJobRequest(b []byte) (model.JobSpec, error) {
	if !isMap(b) {
		return model.JobSpec{}, errNotJobMap
	}
	var request jobRequest
	if msgpack.Unmarshal(b, &request) != nil {
		return model.JobSpec{ID: decodeJobID(b)}, explainUndecodable(b)
	}
	if request.ID == nil || !jobIDPattern.MatchString(*request.ID) {
		return model.JobSpec{}, &invalidFieldError{"id"}
	}
	if err := requestValidator.Struct(&request); err != nil {
		var violations validator.ValidationErrors
		if errors.As(err, &violations) {
			err = &invalidFieldError{violations[0].Field()}
		}
		return model.JobSpec{ID: *request.ID}, err
	}
	return request.spec(), nil
}

// explainUndecodable is the error of a map that can't be decoded as a whole.
func explainUndecodable(b []byte) error {
	if field := mistypedField(b); field != "" {
		return &invalidFieldError{field}
	}
	return errNotJobMap
}

// decodeJobID returns the ID of a request of which other fields can't be decoded, or "".
func decodeJobID(b []byte) string {
	var idOnly struct {
		ID string `msgpack:"id"`
	}
	if msgpack.Unmarshal(b, &idOnly) != nil || !jobIDPattern.MatchString(idOnly.ID) {
		return ""
	}
	return idOnly.ID
}

// spec converts a valid request.
func (r *jobRequest) spec() model.JobSpec {
	spec := model.JobSpec{
		ID: *r.ID, Workload: *r.Workload, Team: *r.Team, LongRunning: *r.Shape == "standing", Gang: *r.Shape == "group",
		Urgency: urgencies[*r.Urgency], Tasks: int(*r.Tasks),
		Need:  model.Resources{CPU: *r.VCPUs, GPU: *r.GPUs, Memory: *r.MemoryGB},
		Image: *r.Image, ImageGB: *r.ImageGB, MachineTypes: r.MachineTypes,
		Dependencies: r.Dependencies, SameZone: *r.ZoneAffinity, SpreadZones: *r.ZoneAntiAffinity, AllowSpot: *r.SpotAllowed,
		ExpectedRunTime: record.DurationOfSeconds(*r.ExpectedS), CheckpointInterval: record.DurationOfSeconds(*r.CheckpointEveryS), CheckpointCost: record.DurationOfSeconds(*r.CheckpointCostS),
	}
	if r.Zone != nil {
		spec.Zone = *r.Zone
	}
	if r.DeadlineS != nil {
		spec.Deadline = record.DurationOfSeconds(*r.DeadlineS)
	}
	return spec
}
