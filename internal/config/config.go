// Package config reads and checks a controller's files: the settings, which the platform writes,
// and those under deploy/ that enable optional features. The TOML keys are fixed; the fields have
// the names that the code uses.
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

// Config is the settings file. Unknown fields are ignored. Field names that end in S are seconds.
type Config struct {
	HostName     string           `toml:"host_name" validate:"required"`
	Zone         string           `toml:"area" validate:"required"`
	APIAddr      string           `toml:"api_addr" validate:"required,hostname_port"`
	InternalAddr string           `toml:"back" validate:"required,hostname_port"`
	Peers        []PeerController `toml:"seeds" validate:"dive"`
	Endpoints    Endpoints        `toml:"outside"`
	Deployment   Deployment       `toml:"deployment"`
}

// PeerController is another controller of this cluster.
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

// Deployment is what all controllers share.
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

// Team has a guaranteed quota and a quota limit; 0 means none.
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

// Workers has the timing of heartbeats, worker leases and cancellations.
type Workers struct {
	HeartbeatS    float64 `toml:"report_s" validate:"required,gt=0"`
	LeaseS        float64 `toml:"lease_s" validate:"required,gt=0"`
	CancelWithinS float64 `toml:"cancel_s" validate:"required,gt=0"`
}

// State has the limits of the state service: requests and writes per second, the size of a value
// and the writes of a transaction.
type State struct {
	RPS      float64 `toml:"rps" validate:"required,gt=0"`
	WriteRPS float64 `toml:"write_rps" validate:"required,gt=0"`
	ValueKB  float64 `toml:"value_kb" validate:"required,gt=0"`
	TxnOps   int     `toml:"txn_ops" validate:"required,gte=4"`
	// Upcoming are the limits that the service will have from some moment on, without further
	// notice.
	Upcoming UpcomingLimits `toml:"next"`
}

// UpcomingLimits replace the limits of the same names; nil means that a limit does not change.
type UpcomingLimits struct {
	WriteRPS *float64 `toml:"write_rps" validate:"omitnil,gt=0"`
	ValueKB  *float64 `toml:"value_kb" validate:"omitnil,gt=0"`
	TxnOps   *int     `toml:"txn_ops" validate:"omitnil,gte=4"`
}

// Strictest has the stricter of the present and the upcoming limits.
func (s *State) Strictest() State {
	strictest := *s
	if s.Upcoming.WriteRPS != nil {
		strictest.WriteRPS = min(strictest.WriteRPS, *s.Upcoming.WriteRPS)
	}
	if s.Upcoming.ValueKB != nil {
		strictest.ValueKB = min(strictest.ValueKB, *s.Upcoming.ValueKB)
	}
	if s.Upcoming.TxnOps != nil {
		strictest.TxnOps = min(strictest.TxnOps, *s.Upcoming.TxnOps)
	}
	return strictest
}

// fieldPath is the path of a limit in the settings, or that of the upcoming one.
func (s *State) fieldPath(name string, upcoming bool) string {
	if upcoming {
		return "deployment.state.next." + name
	}
	return "deployment.state." + name
}

// Cloud has the request rate limit of the cloud and the delay of its machine list.
type Cloud struct {
	RPS      float64 `toml:"rps" validate:"required,gt=0"`
	ListLagS float64 `toml:"list_lag_s" validate:"gte=0"`
}

// Quota is what this process may use: CPUs, memory and sockets.
type Quota struct {
	CPU      float64 `toml:"cpu" validate:"required,gt=0"`
	MemoryMB float64 `toml:"ram_mb" validate:"required,gte=32"`
	Sockets  int     `toml:"sockets" validate:"required,gte=16"`
}

// Load reads and checks a settings file.
func Load(path string) (*Config, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return Parse(b)
}

// Parse decodes and checks settings. Its errors are one line and name the field.
func Parse(b []byte) (*Config, error) {
	var c Config
	if err := toml.Unmarshal(b, &c); err != nil {
		var decodeErr *toml.DecodeError
		if errors.As(err, &decodeErr) {
			row, col := decodeErr.Position()
			return nil, fmt.Errorf("settings: line %d, column %d, field %s: %w", row, col, strings.Join(decodeErr.Key(), "."), decodeErr)
		}
		return nil, fmt.Errorf("settings: %w", err)
	}
	if err := newValidator().Struct(&c); err != nil {
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
	if invalid := c.checkLimits().invalid; len(invalid) > 0 {
		return nil, fmt.Errorf("settings: %v", invalid[0])
	}
	return &c, nil
}

// newValidator returns a validator that names fields as the files do.
func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string { return f.Tag.Get("toml") })
	return v
}

// Settings converts the file to the controller's settings. incarnation identifies this process
// among those of the same host.
func (c *Config) Settings(policy controller.Policy, incarnation string) controller.Settings {
	deployment := &c.Deployment
	limits := deployment.State.Strictest()
	settings := controller.Settings{
		Host: c.HostName, Zones: deployment.Zones,
		HeartbeatInterval: record.DurationOfSeconds(deployment.Workers.HeartbeatS), WorkerLease: record.DurationOfSeconds(deployment.Workers.LeaseS),
		CancellationBound: record.DurationOfSeconds(deployment.Workers.CancelWithinS), MaxClockError: record.DurationOfSeconds(deployment.ClockBoundMS / 1000),
		MaxTxnWrites: limits.TxnOps, MaxValueBytes: int(limits.ValueKB * 1024), CurrentMaxValueBytes: int(deployment.State.ValueKB * 1024),
		CloudListLag: record.DurationOfSeconds(deployment.Cloud.ListLagS), CloudRequestsPerSecond: deployment.Cloud.RPS, StoreRequestsPerSecond: deployment.State.RPS, StoreWritesPerSecond: limits.WriteRPS,
		Incarnation: incarnation, Policy: policy,
	}
	for _, peer := range c.Peers {
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
