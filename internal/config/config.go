// Package config reads and checks a controller's configuration files: the settings file, which the
// platform writes, and the files under deploy/ that enable optional features. The TOML keys are fixed
// by the platform, so some of them differ from the names that the code uses.
package config

import (
	"errors"
	"fmt"
	"os"
	"reflect"
	"strings"

	"github.com/go-playground/validator/v10"
	"github.com/micahill/micahill/internal/controller"
	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/record"
	"github.com/pelletier/go-toml/v2"
)

// Config is the content of the settings file. Unknown fields are ignored. The values of fields whose
// names end in S are seconds.
type Config struct {
	HostName     string           `toml:"host_name" validate:"required"`
	Zone         string           `toml:"area" validate:"required"`
	APIAddr      string           `toml:"api_addr" validate:"required,hostname_port"`
	InternalAddr string           `toml:"back" validate:"required,hostname_port"`
	Peers        []PeerController `toml:"seeds" validate:"dive"`
	Endpoints    Endpoints        `toml:"outside"`
	Deployment   Deployment       `toml:"deployment"`
}

// PeerController identifies another controller of this cluster.
type PeerController struct {
	HostName string `toml:"host_name" validate:"required"`
	Zone     string `toml:"area"`
	Address  string `toml:"address" validate:"required,hostname_port"`
}

// Endpoints are the addresses of the cloud and the state service.
type Endpoints struct {
	Cloud string `toml:"cloud" validate:"required,hostname_port"`
	State string `toml:"state" validate:"required,hostname_port"`
}

// Deployment has the settings that are the same for all controllers of the cluster.
type Deployment struct {
	InitialSize  int         `toml:"initial_size" validate:"gte=0"`
	Zones        []string    `toml:"zones" validate:"required,min=1,dive,required"`
	ClockBoundMS float64     `toml:"time_bound_ms" validate:"gte=0"`
	Teams        []Team      `toml:"teams" validate:"required,min=1,dive"`
	Objectives   []Objective `toml:"objectives" validate:"dive"`
	Workers      Workers     `toml:"workers"`
	State        State       `toml:"state"`
	Cloud        Cloud       `toml:"cloud"`
	Quota        Quota       `toml:"quota"`
}

// Team has a team's guaranteed quota and quota limit. A value of 0 means that there is none.
type Team struct {
	Name           string  `toml:"name" validate:"required"`
	GuaranteedCPUs float64 `toml:"cpus" validate:"gte=0"`
	CPULimit       float64 `toml:"cpus_max" validate:"gte=0"`
	GuaranteedGPUs float64 `toml:"gpus" validate:"gte=0"`
	GPULimit       float64 `toml:"gpus_max" validate:"gte=0"`
}

// Objective is a service-level objective (SLO).
type Objective struct {
	Kind     string  `toml:"kind" validate:"required"`
	Workload string  `toml:"class"`
	WithinS  float64 `toml:"within_s" validate:"gte=0"`
	Share    float64 `toml:"share" validate:"gte=0"`
	Factor   float64 `toml:"times" validate:"gte=0"`
}

// Workers has the interval of heartbeats, the duration of worker leases and the time within which a
// cancelled job's tasks must end.
type Workers struct {
	HeartbeatS    float64 `toml:"report_s" validate:"required,gt=0"`
	LeaseS        float64 `toml:"lease_s" validate:"required,gt=0"`
	CancelWithinS float64 `toml:"cancel_s" validate:"required,gt=0"`
}

// State has the limits of the state service: requests per second, writes per second, the size of a
// value in KiB and the writes in a transaction.
type State struct {
	RPS      float64 `toml:"rps" validate:"required,gt=0"`
	WriteRPS float64 `toml:"write_rps" validate:"required,gt=0"`
	ValueKB  float64 `toml:"value_kb" validate:"required,gt=0"`
	TxnOps   int     `toml:"txn_ops" validate:"required,gte=4"`
	// Upcoming are the limits that the service will switch to at an unknown time without further
	// notice.
	Upcoming UpcomingLimits `toml:"next"`
}

// UpcomingLimits are the values that will replace the limits of the same names in State. A nil means
// that the limit does not change.
type UpcomingLimits struct {
	WriteRPS *float64 `toml:"write_rps" validate:"omitnil,gt=0"`
	ValueKB  *float64 `toml:"value_kb" validate:"omitnil,gt=0"`
	TxnOps   *int     `toml:"txn_ops" validate:"omitnil,gte=4"`
}

// Strictest returns, for each limit, the stricter of its current and its upcoming value.
func (state *State) Strictest() State {
	strictest := *state
	if state.Upcoming.WriteRPS != nil {
		strictest.WriteRPS = min(strictest.WriteRPS, *state.Upcoming.WriteRPS)
	}
	if state.Upcoming.ValueKB != nil {
		strictest.ValueKB = min(strictest.ValueKB, *state.Upcoming.ValueKB)
	}
	if state.Upcoming.TxnOps != nil {
		strictest.TxnOps = min(strictest.TxnOps, *state.Upcoming.TxnOps)
	}
	return strictest
}

// fieldPath returns the path in the settings file of a limit's current or upcoming value.
func (state *State) fieldPath(name string, upcoming bool) string {
	if upcoming {
		return "deployment.state.next." + name
	}
	return "deployment.state." + name
}

// Cloud has the cloud's rate limit in requests per second, and the time by which its list of machines
// may lag behind.
type Cloud struct {
	RPS      float64 `toml:"rps" validate:"required,gt=0"`
	ListLagS float64 `toml:"list_lag_s" validate:"gte=0"`
}

// Quota is the number of CPUs, the memory and the number of sockets that this process may use.
type Quota struct {
	CPU      float64 `toml:"cpu" validate:"required,gt=0"`
	MemoryMB float64 `toml:"ram_mb" validate:"required,gte=32"`
	Sockets  int     `toml:"sockets" validate:"required,gte=16"`
}

// Load reads and checks a settings file.
func Load(path string) (*Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return Parse(text)
}

// Parse decodes and checks the content of a settings file. The text of an error is one line that
// names the invalid field, or only the fault if the content is not valid TOML.
func Parse(text []byte) (*Config, error) {
	var config Config
	if err := toml.Unmarshal(text, &config); err != nil {
		var decodeErr *toml.DecodeError
		if errors.As(err, &decodeErr) {
			row, col := decodeErr.Position()
			return nil, fmt.Errorf("settings: line %d, column %d, field %s: %w", row, col, strings.Join(decodeErr.Key(), "."), decodeErr)
		}
		return nil, fmt.Errorf("settings: %w", err)
	}
	if err := newValidator().Struct(&config); err != nil {
		var violations validator.ValidationErrors
		if !errors.As(err, &violations) {
			return nil, fmt.Errorf("settings: %w", err)
		}
		first := violations[0]
		field := strings.TrimPrefix(first.Namespace(), "Config.")
		if first.Tag() == "required" {
			return nil, fmt.Errorf("settings: field %s is missing or empty", field)
		}
		return nil, fmt.Errorf("settings: field %s: %v does not satisfy %s", field, first.Value(), strings.TrimSpace(first.Tag()+" "+first.Param()))
	}
	if invalid := config.checkLimits().invalid; len(invalid) > 0 {
		return nil, fmt.Errorf("settings: %v", invalid[0])
	}
	return &config, nil
}

// newValidator returns a validator whose errors have the fields' TOML names.
func newValidator() *validator.Validate {
	structValidator := validator.New(validator.WithRequiredStructEnabled())
	structValidator.RegisterTagNameFunc(func(field reflect.StructField) string { return field.Tag.Get("toml") })
	return structValidator
}

// Settings converts the configuration to the controller's settings. incarnation distinguishes this
// process from earlier and later processes of the same host.
func (config *Config) Settings(policy controller.Policy, incarnation string) controller.Settings {
	deployment := &config.Deployment
	limits := deployment.State.Strictest()
	settings := controller.Settings{
		Host: config.HostName, Zones: deployment.Zones,
		HeartbeatInterval: record.DurationOfSeconds(deployment.Workers.HeartbeatS), WorkerLease: record.DurationOfSeconds(deployment.Workers.LeaseS),
		CancellationBound: record.DurationOfSeconds(deployment.Workers.CancelWithinS), MaxClockError: record.DurationOfSeconds(deployment.ClockBoundMS / 1000),
		MaxTxnWrites: limits.TxnOps, MaxValueBytes: int(limits.ValueKB * 1024), CurrentMaxValueBytes: int(deployment.State.ValueKB * 1024),
		CloudListLag: record.DurationOfSeconds(deployment.Cloud.ListLagS), CloudRequestsPerSecond: deployment.Cloud.RPS, StoreRequestsPerSecond: deployment.State.RPS, StoreWritesPerSecond: limits.WriteRPS,
		Incarnation: incarnation, Policy: policy,
	}
	for _, peer := range config.Peers {
		settings.Peers = append(settings.Peers, peer.HostName)
	}
	for _, team := range deployment.Teams {
		settings.Teams = append(settings.Teams, model.Team{
			Name:            team.Name,
			GuaranteedQuota: model.Resources{CPU: team.GuaranteedCPUs, GPU: team.GuaranteedGPUs},
			QuotaLimit:      model.Resources{CPU: team.CPULimit, GPU: team.GPULimit},
		})
	}
	for _, objective := range deployment.Objectives {
		settings.Objectives = append(settings.Objectives, model.Objective{
			Kind: objective.Kind, Workload: objective.Workload, Within: record.DurationOfSeconds(objective.WithinS), Fraction: objective.Share, DeadlineFactor: objective.Factor,
		})
	}
	return settings
}
