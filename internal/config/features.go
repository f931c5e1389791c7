package config

import (
	"bytes"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"regexp"
	"strings"

	"github.com/go-playground/validator/v10"
	"github.com/micahill/micahill/internal/certs"
	"github.com/micahill/micahill/internal/controller"
	"github.com/micahill/micahill/internal/record"
	"github.com/pelletier/go-toml/v2"
)

// Extras are the optional features, each a section in the files under deploy/. A feature that no
// file names does not run: it has no goroutine, no key in the state service and no port.
type Extras struct {
	Overflow *Overflow `toml:"overflow"`
	Ranking  *Ranking  `toml:"ranking"`
	Promises *Promises `toml:"promises"`
	Models   *Models   `toml:"models"`
}

// Ranking orders the queue by the classes in the state service, which operators set with
// "micahill ranking"; see docs/operations/ranking.md.
type Ranking struct {
	// Enabled is true unless a later file disables the feature.
	Enabled bool `toml:"enabled"`
}

// Promises gives each accepted job a promised completion date; see docs/operations/promises.md.
type Promises struct {
	Enabled bool `toml:"enabled"`
	// TargetFraction of the promises should be kept.
	TargetFraction float64 `toml:"share" validate:"gte=0.5,lte=0.999"`
}

// Models packs replicas and migrates them so that larger ones fit; see
// docs/operations/models.md.
type Models struct {
	Enabled bool `toml:"enabled"`
	// MaxMigratingFraction of the machines of a kind may have migrations at a time.
	// MigrationCooldownS is how long after a migration a replica is not migrated again.
	MaxMigratingFraction float64 `toml:"part" validate:"gte=0,lte=1"`
	MigrationCooldownS   float64 `toml:"again_s" validate:"gte=60,lte=86400"`
}

// Capabilities converts the features that are the controller's own.
func (x *Extras) Capabilities() controller.Capabilities {
	var capabilities controller.Capabilities
	if r := x.Ranking; r != nil {
		capabilities.Ranking = r.Enabled
	}
	if p := x.Promises; p != nil {
		capabilities.Promises, capabilities.PromiseFraction = p.Enabled, p.TargetFraction
	}
	if m := x.Models; m != nil {
		capabilities.Models, capabilities.MaxMigratingFraction, capabilities.MigrationCooldown = m.Enabled, m.MaxMigratingFraction, record.DurationOfSeconds(m.MigrationCooldownS)
	}
	return capabilities
}

// Overflow lets this cluster offload jobs to its peers and run theirs.
type Overflow struct {
	// Cluster is this cluster's name, the same on all of its controllers and in
	// its certificate.
	Cluster string `toml:"cluster" validate:"required,clustername"`
	// Listen is the address at which peers reach this controller. The default is the host of
	// the settings' back, with DefaultOverflowPort.
	Listen string `toml:"listen" validate:"omitempty,hostname_port"`
	// CertDir has ca.pem, cert.pem and key.pem, as written by "micahill keys issue". They are
	// read again when they change.
	CertDir string `toml:"keys" validate:"required"`
	// AllowedNetworks are the prefixes from which peers may connect, such as 10.3.0.0/16.
	AllowedNetworks []string `toml:"allow" validate:"required,min=1,dive,cidr"`
	// GuestTeam is the team for which borrowed jobs run, within its quota limit.
	GuestTeam string `toml:"guest_team" validate:"required_if=Borrow true"`
	Lend      bool   `toml:"lend"`
	Borrow    bool   `toml:"borrow"`
	// ReportS is the interval of heartbeats to peers. LeaseS is how long a peer may run our
	// jobs without a response of ours. Both are in seconds.
	ReportS float64 `toml:"report_s" validate:"gte=0.5,lte=60"`
	LeaseS  float64 `toml:"lease_s" validate:"gte=5,lte=600,gtfield=ReportS"`
	// MaxLoansOut bounds the loans to one peer, MaxLoansIn those of all peers together, and
	// MaxLoanTasks the tasks of one loan.
	MaxLoansOut  int `toml:"loans_out" validate:"gte=0,lte=10000"`
	MaxLoansIn   int `toml:"loans_in" validate:"gte=0,lte=10000"`
	MaxLoanTasks int `toml:"tasks_most" validate:"gte=1,lte=100000"`
	// MinGainS is by how many seconds sooner a peer must complete a job, and MaxCostRatio how
	// many times our cost the peer's may be.
	MinGainS     float64 `toml:"gain_s" validate:"gte=0,lte=3600"`
	MaxCostRatio float64 `toml:"dearest" validate:"gte=0.1,lte=100"`
	Peers        []Peer  `toml:"peers" validate:"unique=Cluster,dive"`
}

// Peer is another cluster: its name, as in its certificate, and the addresses of its controllers.
type Peer struct {
	Cluster   string   `toml:"cluster" validate:"required,clustername"`
	Addresses []string `toml:"addresses" validate:"required,min=1,dive,hostname_port"`
}

// DefaultOverflowPort is the port for peers unless Overflow.Listen has another.
const DefaultOverflowPort = "7443"

// defaultOverflow is the section before any file is decoded.
func defaultOverflow() *Overflow {
	return &Overflow{
		Lend: true, Borrow: true, ReportS: 2, LeaseS: 15,
		MaxLoansOut: 32, MaxLoansIn: 64, MaxLoanTasks: 2000, MinGainS: 5, MaxCostRatio: 3,
	}
}

// AllowedPrefixes parses AllowedNetworks.
func (o *Overflow) AllowedPrefixes() ([]netip.Prefix, error) {
	var prefixes []netip.Prefix
	for _, network := range o.AllowedNetworks {
		p, err := netip.ParsePrefix(network)
		if err != nil {
			return nil, fmt.Errorf("overflow.allow: %w", err)
		}
		prefixes = append(prefixes, p.Masked())
	}
	return prefixes, nil
}

// LoadExtras reads the files given with --enable in order. Their sections are merged; of a field
// in two files the later value holds. Unlike in the settings, an unknown field is an error. Errors
// name file, line, field and what is wanted.
func LoadExtras(paths []string) (*Extras, error) {
	extras := &Extras{}
	texts := map[string][]byte{}
	for _, path := range paths {
		b, err := os.ReadFile(path)
		if err != nil {
			return nil, fmt.Errorf("enable: %w", err)
		}
		texts[path] = b
		extras.addDefaults(b)
		if err := toml.NewDecoder(bytes.NewReader(b)).DisallowUnknownFields().Decode(extras); err != nil {
			return nil, locateError(path, err)
		}
	}
	if err := extras.check(paths, texts); err != nil {
		return nil, err
	}
	return extras, nil
}

// addDefaults sets the sections that a file is the first to have to their defaults, so that
// decoding the file changes only what it names.
func (x *Extras) addDefaults(file []byte) {
	var present struct {
		Overflow any `toml:"overflow"`
		Ranking  any `toml:"ranking"`
		Promises any `toml:"promises"`
		Models   any `toml:"models"`
	}
	if toml.Unmarshal(file, &present) != nil {
		// Decoding into x fails likewise, with an error that names the field.
		return
	}
	if present.Overflow != nil && x.Overflow == nil {
		x.Overflow = defaultOverflow()
	}
	if present.Ranking != nil && x.Ranking == nil {
		x.Ranking = &Ranking{Enabled: true}
	}
	if present.Promises != nil && x.Promises == nil {
		x.Promises = &Promises{Enabled: true, TargetFraction: 0.95}
	}
	if present.Models != nil && x.Models == nil {
		x.Models = &Models{Enabled: true, MaxMigratingFraction: 0.1, MigrationCooldownS: 300}
	}
}

// check validates the merged sections. paths and texts are the files, for its errors.
func (x *Extras) check(paths []string, texts map[string][]byte) error {
	if err := extrasValidator.Struct(x); err != nil {
		var violations validator.ValidationErrors
		if !errors.As(err, &violations) {
			return fmt.Errorf("enable: %w", err)
		}
		field := strings.TrimPrefix(violations[0].Namespace(), "Extras.")
		return fmt.Errorf("enable: %s: field %s: %s", locateField(paths, texts, field), field, describeViolation(violations[0]))
	}
	if o := x.Overflow; o != nil {
		for i, p := range o.Peers {
			if p.Cluster == o.Cluster {
				field := fmt.Sprintf("overflow.peers[%d].cluster", i)
				return fmt.Errorf("enable: %s: field %s: %s is this cluster itself", locateField(paths, texts, field), field, p.Cluster)
			}
		}
	}
	return nil
}

// locateError adds file, line and column to a decoding error.
func locateError(path string, err error) error {
	var unknown *toml.StrictMissingError
	if errors.As(err, &unknown) && len(unknown.Errors) > 0 {
		first := unknown.Errors[0]
		row, col := first.Position()
		return fmt.Errorf("enable: %s:%d:%d: unknown field %s", path, row, col, strings.Join(first.Key(), "."))
	}
	var decodeErr *toml.DecodeError
	if errors.As(err, &decodeErr) {
		row, col := decodeErr.Position()
		return fmt.Errorf("enable: %s:%d:%d: field %s: %w", path, row, col, strings.Join(decodeErr.Key(), "."), decodeErr)
	}
	return fmt.Errorf("enable: %s: %w", path, err)
}

var extrasValidator = newExtrasValidator()

func newExtrasValidator() *validator.Validate {
	v := newValidator()
	err := v.RegisterValidation("clustername", func(fl validator.FieldLevel) bool { return certs.IsClusterName(fl.Field().String()) })
	if err != nil {
		panic("config: " + err.Error())
	}
	return v
}

// describeViolation says what is wrong with a field and what is wanted.
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

// indexPattern matches the index of a list in a field's path.
var indexPattern = regexp.MustCompile(`\[\d+\]`)

// locateField returns file and line of a field, in the last file that names it; of a field that
// none names, those of its section.
func locateField(paths []string, texts map[string][]byte, field string) string {
	parts := strings.Split(indexPattern.ReplaceAllString(field, ""), ".")
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
