package config

import (
	"bytes"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"reflect"
	"regexp"
	"strings"

	"github.com/go-playground/validator/v10"
	"github.com/micahill/micahill/internal/certs"
	"github.com/micahill/micahill/internal/controller"
	"github.com/micahill/micahill/internal/record"
	"github.com/pelletier/go-toml/v2"
)

// Extras is what the files under deploy/ switch on, each its section. What no file
// names does not run: no goroutine, no key in the state service, no port.
type Extras struct {
	Overflow *Overflow `toml:"overflow"`
	Ranking  *Ranking  `toml:"ranking"`
	Promises *Promises `toml:"promises"`
	Models   *Models   `toml:"models"`
}

// Ranking lets the order of work follow the classes in the state service; see
// docs/operations/ranking.md. The classes themselves are set with micahill ranking.
type Ranking struct {
	// Enabled is true unless a later file switches it off again.
	Enabled bool `toml:"enabled"`
}

// Promises gives each accepted job a committed finish; see docs/operations/promises.md.
type Promises struct {
	Enabled bool `toml:"enabled"`
	// TargetFraction is the part of the promises that are to be kept.
	TargetFraction float64 `toml:"share" validate:"gte=0.5,lte=0.999"`
}

// Models packs replicas and moves them so that larger ones fit; see
// docs/operations/models.md.
type Models struct {
	Enabled bool `toml:"enabled"`
	// MaxMigratingFraction is the part of the machines of a kind on which replicas may be moving at a
	// time, and MigrationCooldownS how long a replica that was moved is left alone.
	MaxMigratingFraction float64 `toml:"part" validate:"gte=0,lte=1"`
	MigrationCooldownS   float64 `toml:"again_s" validate:"gte=60,lte=86400"`
}

// Capabilities is what the core is told of them.
func (x *Extras) Capabilities() controller.Capabilities {
	var capabilities controller.Capabilities
	if r := x.Ranking; r != nil {
		capabilities.Ranking = r.Enabled
	}
	if r := x.Promises; r != nil {
		capabilities.Promises, capabilities.PromiseFraction = r.Enabled, r.TargetFraction
	}
	if r := x.Models; r != nil {
		capabilities.Models, capabilities.MaxMigratingFraction, capabilities.MigrationCooldown = r.Enabled, r.MaxMigratingFraction, record.DurationOfSeconds(r.MigrationCooldownS)
	}
	return capabilities
}

// Overflow lets this cluster lend work to its peers and borrow theirs.
type Overflow struct {
	// Cluster is this cluster's name, the same on all of its controllers and in
	// its certificate.
	Cluster string `toml:"cluster" validate:"required,clustername"`
	// Listen is where peers reach this controller; absent: the host of back, port
	// DefaultOverflowPort.
	Listen string `toml:"listen" validate:"omitempty,hostname_port"`
	// CertDir is the folder with ca.pem, cert.pem and key.pem, as micahill keys
	// issue writes them. They are read again when they change.
	CertDir string `toml:"keys" validate:"required"`
	// AllowedNetworks are the networks from which peers may connect, such as 10.3.0.0/16.
	AllowedNetworks []string `toml:"allow" validate:"required,min=1,dive,cidr"`
	// GuestTeam is the team in whose name borrowed work runs; its limit bounds it.
	GuestTeam string `toml:"guest_team" validate:"required_if=Borrow true"`
	Lend      bool   `toml:"lend"`
	Borrow    bool   `toml:"borrow"`
	// ReportS is how often a peer is told of this cluster, LeaseS how long a peer
	// may keep our work without an answer of ours.
	ReportS float64 `toml:"report_s" validate:"gte=0.5,lte=60"`
	LeaseS  float64 `toml:"lease_s" validate:"gte=5,lte=600,gtfield=ReportS"`
	// MaxLoansOut bounds the loans to one peer, LoansIn those taken from all, and
	// MaxLoanTasks the tasks of one.
	MaxLoansOut  int `toml:"loans_out" validate:"gte=0,lte=10000"`
	MaxLoansIn   int `toml:"loans_in" validate:"gte=0,lte=10000"`
	MaxLoanTasks int `toml:"tasks_most" validate:"gte=1,lte=100000"`
	// MinGainS is by how much sooner a job must be done at a peer, and Dearest how
	// many times our own price a peer's may be.
	MinGainS     float64 `toml:"gain_s" validate:"gte=0,lte=3600"`
	MaxCostRatio float64 `toml:"dearest" validate:"gte=0.1,lte=100"`
	Peers        []Peer  `toml:"peers" validate:"unique=Cluster,dive"`
}

// Peer is another cluster: its name, as in its certificate, and the addresses of
// its controllers.
type Peer struct {
	Cluster   string   `toml:"cluster" validate:"required,clustername"`
	Addresses []string `toml:"addresses" validate:"required,min=1,dive,hostname_port"`
}

// DefaultOverflowPort is where peers are listened for if nothing else is said.
const DefaultOverflowPort = "7443"

// defaultOverflow holds where a file says nothing.
func defaultOverflow() *Overflow {
	return &Overflow{
		Lend: true, Borrow: true, ReportS: 2, LeaseS: 15,
		MaxLoansOut: 32, MaxLoansIn: 64, MaxLoanTasks: 2000, MinGainS: 5, MaxCostRatio: 3,
	}
}

// AllowedPrefixes are the allowed networks.
func (o *Overflow) AllowedPrefixes() ([]netip.Prefix, error) {
	var out []netip.Prefix
	for _, a := range o.AllowedNetworks {
		p, err := netip.ParsePrefix(a)
		if err != nil {
			return nil, fmt.Errorf("overflow.allow: %w", err)
		}
		out = append(out, p.Masked())
	}
	return out, nil
}

// LoadExtras reads the files given with --enable, one after another: their
// sections merge, and where two files name the same field the later one holds.
// Unlike in the settings, an unknown field is an error; each error says file,
// line, field and what would be right.
func LoadExtras(paths []string) (*Extras, error) {
	extras := &Extras{}
	texts := map[string][]byte{}
	for _, path := range paths {
		b, err := os.ReadFile(path)
		if err != nil {
			return nil, fmt.Errorf("enable: %w", err)
		}
		texts[path] = b
		var present struct {
			Overflow any `toml:"overflow"`
			Ranking  any `toml:"ranking"`
			Promises any `toml:"promises"`
			Models   any `toml:"models"`
		}
		if toml.Unmarshal(b, &present) == nil {
			if present.Overflow != nil && extras.Overflow == nil {
				extras.Overflow = defaultOverflow()
			}
			if present.Ranking != nil && extras.Ranking == nil {
				extras.Ranking = &Ranking{Enabled: true}
			}
			if present.Promises != nil && extras.Promises == nil {
				extras.Promises = &Promises{Enabled: true, TargetFraction: 0.95}
			}
			if present.Models != nil && extras.Models == nil {
				extras.Models = &Models{Enabled: true, MaxMigratingFraction: 0.1, MigrationCooldownS: 300}
			}
		}
		if err := toml.NewDecoder(bytes.NewReader(b)).DisallowUnknownFields().Decode(extras); err != nil {
			return nil, locateError(path, err)
		}
	}
	if err := extrasValidator.Struct(extras); err != nil {
		var violations validator.ValidationErrors
		if !errors.As(err, &violations) {
			return nil, fmt.Errorf("enable: %w", err)
		}
		field := strings.TrimPrefix(violations[0].Namespace(), "Extras.")
		return nil, fmt.Errorf("enable: %s: field %s: %s", locateField(paths, texts, field), field, describeViolation(violations[0]))
	}
	if o := extras.Overflow; o != nil {
		for i, p := range o.Peers {
			if p.Cluster == o.Cluster {
				field := fmt.Sprintf("overflow.peers[%d].cluster", i)
				return nil, fmt.Errorf("enable: %s: field %s: %s is this cluster itself", locateField(paths, texts, field), field, p.Cluster)
			}
		}
	}
	return extras, nil
}

// locateError says where in a file a reading error lies.
func locateError(path string, err error) error {
	var se *toml.StrictMissingError
	if errors.As(err, &se) && len(se.Errors) > 0 {
		row, col := se.Errors[0].Position()
		return fmt.Errorf("enable: %s:%d:%d: unknown field %s", path, row, col, strings.Join(se.Errors[0].Key(), "."))
	}
	var de *toml.DecodeError
	if errors.As(err, &de) {
		row, col := de.Position()
		return fmt.Errorf("enable: %s:%d:%d: field %s: %s", path, row, col, strings.Join(de.Key(), "."), de.Error())
	}
	return fmt.Errorf("enable: %s: %w", path, err)
}

var extrasValidator = newExtrasValidator()

func newExtrasValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string { return f.Tag.Get("toml") })
	err := v.RegisterValidation("clustername", func(fl validator.FieldLevel) bool { return certs.IsClusterName(fl.Field().String()) })
	if err != nil {
		panic("config: " + err.Error())
	}
	return v
}

// describeViolation says of a field what would be right.
func describeViolation(e validator.FieldError) string {
	switch e.Tag() {
	case "required", "required_if":
		return "is missing or empty"
	case "clustername":
		return fmt.Sprintf("%q is no cluster's name: want a small letter, then at most 30 small letters, digits and hyphens", e.Value())
	case "hostname_port":
		return fmt.Sprintf("%q is no address: want HOST:PORT", e.Value())
	case "cidr":
		return fmt.Sprintf("%q is no network: want a prefix such as 10.3.0.0/16", e.Value())
	case "gte":
		return fmt.Sprintf("%v is too small: want at least %s", e.Value(), e.Param())
	case "lte":
		return fmt.Sprintf("%v is too large: want at most %s", e.Value(), e.Param())
	case "gtfield":
		return fmt.Sprintf("%v is too small: want more than report_s", e.Value())
	case "unique":
		return "names a cluster twice"
	case "min":
		return "is empty"
	}
	return fmt.Sprintf("%v does not satisfy %s", e.Value(), e.Tag())
}

// locateField finds the line of a field, in the last file that names it; of a field
// that none names, the section.
func locateField(paths []string, texts map[string][]byte, field string) string {
	parts := strings.Split(regexp.MustCompile(`\[\d+\]`).ReplaceAllString(field, ""), ".")
	key := parts[len(parts)-1]
	for _, pattern := range []string{`^\s*` + regexp.QuoteMeta(key) + `\s*=`, `^\s*\[+` + regexp.QuoteMeta(parts[0])} {
		re := regexp.MustCompile(pattern)
		for i := len(paths) - 1; i >= 0; i-- {
			for n, line := range strings.Split(string(texts[paths[i]]), "\n") {
				if re.MatchString(line) {
					return fmt.Sprintf("%s:%d", paths[i], n+1)
				}
			}
		}
	}
	return strings.Join(paths, ", ")
}
