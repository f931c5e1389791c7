package api

import (
	"errors"
	"fmt"
	"math"
	"reflect"
	"time"

	"github.com/go-playground/validator/v10"
	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/record"
	"github.com/micahill/micahill/internal/validate"
	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// jobRequest is the wire format of a submission, as specified by the protocol's "POST /v2/runs".
// Its fields are pointers to distinguish a missing field from a zero. Tasks is a floating-point
// number so that 2.5 tasks are rejected rather than truncated to 2. Field names that end in S are
// seconds.
type jobRequest struct {
	ID                  *string  `msgpack:"id" validate:"required,runid"`
	Workload            *string  `msgpack:"workload" validate:"required,min=1,max=100"`
	Team                *string  `msgpack:"owner" validate:"required,min=1,max=100"`
	Shape               *string  `msgpack:"shape" validate:"required,oneof=array standing group"`
	Urgency             *string  `msgpack:"urgency" validate:"required,oneof=critical urgent normal best_effort"`
	Tasks               *float64 `msgpack:"pieces" validate:"required,whole,gte=1,lte=100000"`
	VCPUs               *float64 `msgpack:"vcpus" validate:"required,amount"`
	GPUs                *float64 `msgpack:"gpus" validate:"required,amount"`
	MemoryGB            *float64 `msgpack:"memory_gb" validate:"required,amount"`
	Image               *string  `msgpack:"bundle" validate:"required,max=200"`
	ImageGB             *float64 `msgpack:"image_gb" validate:"required,amount"`
	MachineTypes        []string `msgpack:"flavours" validate:"omitempty,dive,min=1,max=100"`
	Zone                *string  `msgpack:"site" validate:"omitempty,min=1,max=100"`
	ZoneAffinity        *bool    `msgpack:"same_place" validate:"required"`
	ZoneAntiAffinity    *bool    `msgpack:"apart" validate:"required"`
	SpotAllowed         *bool    `msgpack:"loaner" validate:"required"`
	ExpectedRunTimeS    *float64 `msgpack:"expected_s" validate:"required,amount"`
	CheckpointIntervalS *float64 `msgpack:"snapshot_every_s" validate:"required,amount"`
	CheckpointCostS     *float64 `msgpack:"snapshot_cost_s" validate:"required,amount"`
	DeadlineS           *float64 `msgpack:"due_s" validate:"omitempty,amount"`
	Dependencies        []string `msgpack:"prereqs" validate:"omitempty,dive,runid"`
}

// requestValidator checks the validate tags of a jobRequest.
var requestValidator = newRequestValidator()

// newRequestValidator returns a validator with the tags "runid", "whole" and "amount", whose errors
// have the fields' names on the wire.
func newRequestValidator() *validator.Validate {
	structValidator := validator.New(validator.WithRequiredStructEnabled())
	structValidator.RegisterTagNameFunc(func(field reflect.StructField) string { return field.Tag.Get("msgpack") })
	for tag, check := range map[string]validator.Func{
		"runid": func(level validator.FieldLevel) bool { return jobIDPattern.MatchString(level.Field().String()) },
		"whole": func(level validator.FieldLevel) bool {
			number := level.Field().Float()
			return number == math.Trunc(number)
		},
		"amount": func(level validator.FieldLevel) bool { return validate.IsAmount(level.Field().Float()) },
	} {
		if err := structValidator.RegisterValidation(tag, check); err != nil {
			panic("api: " + err.Error())
		}
	}
	return structValidator
}

// urgencies has the urgency for each of its names on the wire.
var urgencies = map[string]model.Urgency{
	"critical": model.Critical, "urgent": model.Urgent, "normal": model.Normal, "best_effort": model.BestEffort,
}

// isMap reports whether body begins with a MessagePack map. The decoder also accepts a list, whose
// elements it assigns to the fields in the order of their declaration; the caller must reject that.
func isMap(body []byte) bool {
	return len(body) > 0 && (msgpcode.IsFixedMap(body[0]) || body[0] == msgpcode.Map16 || body[0] == msgpcode.Map32)
}

// mistypedField returns the name of the first field whose value can't be decoded. It returns "" if
// the map itself can't be decoded.
func mistypedField(body []byte) string {
	var values map[string]msgpack.RawMessage
	if msgpack.Unmarshal(body, &values) != nil {
		return ""
	}
	fields := reflect.TypeFor[jobRequest]()
	for i := range fields.NumField() {
		field := fields.Field(i)
		name := field.Tag.Get("msgpack")
		// The decoder returns no bytes for a null, which is allowed here.
		if value := values[name]; len(value) > 0 && msgpack.Unmarshal(value, reflect.New(field.Type).Interface()) != nil {
			return name + mistypedIndex(value, field.Type)
		}
	}
	return ""
}

// mistypedIndex returns the index, in brackets, of the first element of a list that can't be decoded.
// It returns "" if there is no such element or the field is not a list.
func mistypedIndex(encoded []byte, list reflect.Type) string {
	var values []msgpack.RawMessage
	if list.Kind() != reflect.Slice || msgpack.Unmarshal(encoded, &values) != nil {
		return ""
	}
	for i, value := range values {
		if len(value) == 0 || msgpack.Unmarshal(value, reflect.New(list.Elem()).Interface()) != nil {
			return fmt.Sprintf("[%d]", i)
		}
	}
	return ""
}

// errNotJobMap reports a body that is not a map, or that can't be decoded as a map of a job's fields.
var errNotJobMap = errors.New("not a MessagePack map with a job's fields")

// invalidFieldError reports a field that is missing or has an invalid value.
type invalidFieldError struct{ field string }

// Error names the field as the user wrote it.
func (invalid *invalidFieldError) Error() string {
	return "field " + invalid.field + " is missing or invalid"
}

// parseJobRequest decodes and checks a submission. The texts of its errors are meant for the user.
// If there is an error, the spec still has the job's ID if the ID could be decoded: the response for
// a known job is its state, even if the rest of the body is invalid.
func parseJobRequest(body []byte) (model.JobSpec, error) {
	if !isMap(body) {
		return model.JobSpec{}, errNotJobMap
	}
	var request jobRequest
	if msgpack.Unmarshal(body, &request) != nil {
		return model.JobSpec{ID: decodeJobID(body)}, explainUndecodable(body)
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

// explainUndecodable returns the error for a map that can't be decoded. The error names the field if
// the value of a single field is the cause.
func explainUndecodable(body []byte) error {
	if field := mistypedField(body); field != "" {
		return &invalidFieldError{field}
	}
	return errNotJobMap
}

// decodeJobID returns the job ID of a request whose other fields can't be decoded. It returns "" if
// the ID is missing or invalid.
func decodeJobID(body []byte) string {
	var idOnly struct {
		ID string `msgpack:"id"`
	}
	if msgpack.Unmarshal(body, &idOnly) != nil || !jobIDPattern.MatchString(idOnly.ID) {
		return ""
	}
	return idOnly.ID
}

// minDeadline is the deadline of a job that is due at once. A deadline of 0 would mean none.
const minDeadline = time.Millisecond

// spec converts a request that has passed all checks.
func (request *jobRequest) spec() model.JobSpec {
	spec := model.JobSpec{
		ID: *request.ID, Workload: *request.Workload, Team: *request.Team, LongRunning: *request.Shape == "standing", Gang: *request.Shape == "group",
		Urgency: urgencies[*request.Urgency], Tasks: int(*request.Tasks),
		Need:  model.Resources{CPU: *request.VCPUs, GPU: *request.GPUs, Memory: *request.MemoryGB},
		Image: *request.Image, ImageGB: *request.ImageGB, MachineTypes: request.MachineTypes,
		Dependencies: request.Dependencies, SameZone: *request.ZoneAffinity, SpreadZones: *request.ZoneAntiAffinity, AllowSpot: *request.SpotAllowed,
		ExpectedRunTime: record.DurationOfSeconds(*request.ExpectedRunTimeS), CheckpointInterval: record.DurationOfSeconds(*request.CheckpointIntervalS), CheckpointCost: record.DurationOfSeconds(*request.CheckpointCostS),
	}
	if request.Zone != nil {
		spec.Zone = *request.Zone
	}
	if request.DeadlineS != nil {
		spec.Deadline = max(minDeadline, record.DurationOfSeconds(*request.DeadlineS))
	}
	return spec
}
