// Package config reads and checks the settings that the platform hands over.
package config

import (
	"errors"
	"fmt"
	"os"
	"reflect"
	"strings"

	"github.com/go-playground/validator/v10"
	"github.com/micahill/micahill/internal/core"
	"github.com/pelletier/go-toml/v2"
)

// Config is the settings file. Unknown fields are ignored.
type Config struct {
	HostName   string     `toml:"host_name" validate:"required"`
	Area       string     `toml:"area" validate:"required"`
	APIAddr    string     `toml:"api_addr" validate:"required,hostname_port"`
	Back       string     `toml:"back" validate:"required,hostname_port"`
	Seeds      []Seed     `toml:"seeds" validate:"dive"`
	Outside    Outside    `toml:"outside"`
	Deployment Deployment `toml:"deployment"`
}

// Seed is another controller.
type Seed struct {
	HostName string `toml:"host_name" validate:"required"`
	Area     string `toml:"area"`
	Address  string `toml:"address" validate:"required,hostname_port"`
}

// Outside is where the cloud and the state service are.
type Outside struct {
	Cloud string `toml:"cloud" validate:"required,hostname_port"`
	State string `toml:"state" validate:"required,hostname_port"`
}

// Deployment describes the whole deployment.
type Deployment struct {
	InitialSize int         `toml:"initial_size" validate:"gte=0"`
	Zones       []string    `toml:"zones" validate:"required,min=1,dive,required"`
	TimeBoundMS float64     `toml:"time_bound_ms" validate:"gte=0"`
	Teams       []Team      `toml:"teams" validate:"required,min=1,dive"`
	Objectives  []Objective `toml:"objectives" validate:"dive"`
	Workers     Workers     `toml:"workers"`
	State       State       `toml:"state"`
	Cloud       Cloud       `toml:"cloud"`
	Quota       Quota       `toml:"quota"`
}

// Team has a guarantee and a limit; 0 means none.
type Team struct {
	Name    string  `toml:"name" validate:"required"`
	CPUs    float64 `toml:"cpus" validate:"gte=0"`
	CPUsMax float64 `toml:"cpus_max" validate:"gte=0"`
	GPUs    float64 `toml:"gpus" validate:"gte=0"`
	GPUsMax float64 `toml:"gpus_max" validate:"gte=0"`
}

// Objective is one of the operators' aims.
type Objective struct {
	Kind    string  `toml:"kind" validate:"required"`
	Class   string  `toml:"class"`
	WithinS float64 `toml:"within_s" validate:"gte=0"`
	Share   float64 `toml:"share" validate:"gte=0"`
	Times   float64 `toml:"times" validate:"gte=0"`
}

// Workers says how workers report.
type Workers struct {
	ReportS float64 `toml:"report_s" validate:"required,gt=0"`
	LeaseS  float64 `toml:"lease_s" validate:"required,gt=0"`
	CancelS float64 `toml:"cancel_s" validate:"required,gt=0"`
}

// State gives the limits of the state service.
type State struct {
	RPS      float64 `toml:"rps" validate:"required,gt=0"`
	WriteRPS float64 `toml:"write_rps" validate:"required,gt=0"`
	ValueKB  float64 `toml:"value_kb" validate:"required,gt=0"`
	TxnOps   int     `toml:"txn_ops" validate:"required,gte=4"`
	// Next are the limits that the service will have from some moment on, without
	// notice; a field that is missing stays as it is.
	Next NextLimits `toml:"next"`
}

// NextLimits are the limits to come of the state service.
type NextLimits struct {
	WriteRPS *float64 `toml:"write_rps" validate:"omitnil,gt=0"`
	ValueKB  *float64 `toml:"value_kb" validate:"omitnil,gt=0"`
	TxnOps   *int     `toml:"txn_ops" validate:"omitnil,gte=4"`
}

// Tighter is what holds whichever of the two limits counts.
func (s *State) Tighter() State {
	t := *s
	if s.Next.WriteRPS != nil {
		t.WriteRPS = min(t.WriteRPS, *s.Next.WriteRPS)
	}
	if s.Next.ValueKB != nil {
		t.ValueKB = min(t.ValueKB, *s.Next.ValueKB)
	}
	if s.Next.TxnOps != nil {
		t.TxnOps = min(t.TxnOps, *s.Next.TxnOps)
	}
	return t
}

// field is the name of one of the limits, where the tighter of it stands.
func (s *State) field(name string, isNext bool) string {
	if isNext {
		return "deployment.state.next." + name
	}
	return "deployment.state." + name
}

// Cloud gives the limits of the cloud.
type Cloud struct {
	RPS      float64 `toml:"rps" validate:"required,gt=0"`
	ListLagS float64 `toml:"list_lag_s" validate:"gte=0"`
}

// Quota is what this process may use.
type Quota struct {
	CPU     float64 `toml:"cpu" validate:"required,gt=0"`
	RAMMB   float64 `toml:"ram_mb" validate:"required,gte=32"`
	Sockets int     `toml:"sockets" validate:"required,gte=16"`
}

// Load reads and checks a settings file.
func Load(path string) (*Config, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return Parse(b)
}

// Parse checks settings; an error names the field that is missing or wrong.
func Parse(b []byte) (*Config, error) {
	var c Config
	if err := toml.Unmarshal(b, &c); err != nil {
		var de *toml.DecodeError
		if errors.As(err, &de) {
			row, col := de.Position()
			return nil, fmt.Errorf("settings: line %d, column %d, field %s: %s", row, col, strings.Join(de.Key(), "."), de.Error())
		}
		return nil, fmt.Errorf("settings: %w", err)
	}
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string { return f.Tag.Get("toml") })
	if err := v.Struct(&c); err != nil {
		var ve validator.ValidationErrors
		if errors.As(err, &ve) {
			e := ve[0]
			field := strings.TrimPrefix(e.Namespace(), "Config.")
			if e.Tag() == "required" {
				return nil, fmt.Errorf("settings: field %s is missing or empty", field)
			}
			return nil, fmt.Errorf("settings: field %s: %v does not satisfy %s", field, e.Value(), strings.TrimSpace(e.Tag()+" "+e.Param()))
		}
		return nil, fmt.Errorf("settings: %w", err)
	}
	if wrong, _ := c.limits(); len(wrong) > 0 {
		return nil, fmt.Errorf("settings: %v", wrong[0])
	}
	return &c, nil
}

// Core turns the settings into the core's form.
func (c *Config) Core(policy core.Policy, nonce string) core.Settings {
	d := &c.Deployment
	limits := d.State.Tighter()
	s := core.Settings{
		Host: c.HostName, Zones: d.Zones,
		HeartbeatInterval: core.Seconds(d.Workers.ReportS), WorkerLease: core.Seconds(d.Workers.LeaseS),
		CancellationBound: core.Seconds(d.Workers.CancelS), MaxClockError: core.Seconds(d.TimeBoundMS / 1000),
		MaxTxnWrites: limits.TxnOps, MaxValueBytes: int(limits.ValueKB * 1024), CurrentMaxValueBytes: int(d.State.ValueKB * 1024),
		CloudListLag: core.Seconds(d.Cloud.ListLagS), CloudRequestsPerSecond: d.Cloud.RPS, StoreRequestsPerSecond: d.State.RPS, StoreWritesPerSecond: limits.WriteRPS,
		Incarnation: nonce, Policy: policy,
	}
	for _, p := range c.Seeds {
		s.Peers = append(s.Peers, p.HostName)
	}
	for _, t := range d.Teams {
		s.Teams = append(s.Teams, core.Team{
			Name:            t.Name,
			GuaranteedQuota: core.Resources{CPU: t.CPUs, GPU: t.GPUs},
			QuotaLimit:      core.Resources{CPU: t.CPUsMax, GPU: t.GPUsMax},
		})
	}
	for _, o := range d.Objectives {
		s.Objectives = append(s.Objectives, core.Objective{
			Kind: o.Kind, Workload: o.Class, Within: core.Seconds(o.WithinS), Fraction: o.Share, DeadlineFactor: o.Times,
		})
	}
	return s
}
