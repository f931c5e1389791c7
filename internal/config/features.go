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

// Extras has the configuration of the optional features, each a section in the files under deploy/. A
// feature without a section does not run: it has no goroutine, no key in the state service and no
// port.
type Extras struct {
	Overflow *Overflow `toml:"overflow"`
	Ranking  *Ranking  `toml:"ranking"`
	Promises *Promises `toml:"promises"`
	Models   *Models   `toml:"models"`
}

// Ranking configures the ranking, which orders the queue by classes. Operators set the classes with
// "micahill ranking", and the state service stores them; see docs/operations/ranking.md.
type Ranking struct {
	// Enabled is true by default; a file can disable a feature that an earlier file enables.
	Enabled bool `toml:"enabled"`
}

// Promises configures the promised completion dates that accepted jobs get; see
// docs/operations/promises.md.
type Promises struct {
	Enabled bool `toml:"enabled"`
	// TargetFraction is the fraction of the promises that should be kept.
	TargetFraction float64 `toml:"share" validate:"gte=0.5,lte=0.999"`
}

// Models configures the packing of replicas, and their migration to make larger replicas fit; see
// docs/operations/models.md.
type Models struct {
	Enabled bool `toml:"enabled"`
	// MaxMigratingFraction is the largest fraction of the machines of a kind that may have
	// migrations at a time. MigrationCooldownS is the shortest time in seconds between two
	// migrations of a replica.
	MaxMigratingFraction float64 `toml:"part" validate:"gte=0,lte=1"`
	MigrationCooldownS   float64 `toml:"again_s" validate:"gte=60,lte=86400"`
}

// Capabilities converts the configuration of the features that the controller implements. Overflow is
// not one of them.
func (extras *Extras) Capabilities() controller.Capabilities {
	var capabilities controller.Capabilities
	if ranking := extras.Ranking; ranking != nil {
		capabilities.Ranking = ranking.Enabled
	}
	if promises := extras.Promises; promises != nil {
		capabilities.Promises, capabilities.PromiseFraction = promises.Enabled, promises.TargetFraction
	}
	if models := extras.Models; models != nil {
		capabilities.Models, capabilities.MaxMigratingFraction, capabilities.MigrationCooldown = models.Enabled, models.MaxMigratingFraction, record.DurationOfSeconds(models.MigrationCooldownS)
	}
	return capabilities
}

// Overflow configures the feature by which this cluster lends jobs to peers, which run them, and runs
// the jobs that it borrows from peers. In this type, a peer is another cluster.
type Overflow struct {
	// Cluster is this cluster's name. It is the same on all of the cluster's controllers and in
	// their certificates.
	Cluster string `toml:"cluster" validate:"required,clustername"`
	// Listen is the address at which peers reach this controller. The default is the host in
	// the settings' field back, with DefaultOverflowPort.
	Listen string `toml:"listen" validate:"omitempty,hostname_port"`
	// CertDir is the directory with ca.pem, cert.pem and key.pem, as written by "micahill keys
	// issue". The files are read again when they change.
	CertDir string `toml:"keys" validate:"required"`
	// AllowedNetworks are the network prefixes from which peers may connect, such as 10.3.0.0/16.
	AllowedNetworks []string `toml:"allow" validate:"required,min=1,dive,cidr"`
	// GuestTeam is the team to which borrowed jobs are charged; its quota limit applies to them.
	GuestTeam string `toml:"guest_team" validate:"required_if=Borrow true"`
	// Lend is whether this cluster lends jobs to peers, and Borrow whether it runs jobs of peers.
	Lend   bool `toml:"lend"`
	Borrow bool `toml:"borrow"`
	// ReportS is the interval of heartbeats to peers. LeaseS is how long a peer may run this
	// cluster's jobs without a reply from this cluster. Both are in seconds.
	ReportS float64 `toml:"report_s" validate:"gte=0.5,lte=60"`
	LeaseS  float64 `toml:"lease_s" validate:"gte=5,lte=600,gtfield=ReportS"`
	// MaxLoansOut is the maximum number of loans to one peer, MaxLoansIn the maximum number of
	// loans from all peers together, and MaxLoanTasks the maximum number of tasks in a loan.
	MaxLoansOut  int `toml:"loans_out" validate:"gte=0,lte=10000"`
	MaxLoansIn   int `toml:"loans_in" validate:"gte=0,lte=10000"`
	MaxLoanTasks int `toml:"tasks_most" validate:"gte=1,lte=100000"`
	// A job is lent only if the peer completes it at least MinGainS seconds sooner, at a cost of
	// at most MaxCostRatio times this cluster's cost.
	MinGainS     float64 `toml:"gain_s" validate:"gte=0,lte=3600"`
	MaxCostRatio float64 `toml:"dearest" validate:"gte=0.1,lte=100"`
	Peers        []Peer  `toml:"peers" validate:"unique=Cluster,dive"`
}

// Peer is another cluster. Cluster is its name, as in its certificate, and Addresses are those of its
// controllers.
type Peer struct {
	Cluster   string   `toml:"cluster" validate:"required,clustername"`
	Addresses []string `toml:"addresses" validate:"required,min=1,dive,hostname_port"`
}

// DefaultOverflowPort is the port on which a controller listens for peers if Overflow.Listen is
// empty.
const DefaultOverflowPort = "7443"

// defaultOverflow returns the section with the defaults of its fields, before any file is decoded.
func defaultOverflow() *Overflow {
	return &Overflow{
		Lend: true, Borrow: true, ReportS: 2, LeaseS: 15,
		MaxLoansOut: 32, MaxLoansIn: 64, MaxLoanTasks: 2000, MinGainS: 5, MaxCostRatio: 3,
	}
}

// AllowedPrefixes parses AllowedNetworks. An invalid network is an error.
func (overflow *Overflow) AllowedPrefixes() ([]netip.Prefix, error) {
	var prefixes []netip.Prefix
	for _, network := range overflow.AllowedNetworks {
		prefix, err := netip.ParsePrefix(network)
		if err != nil {
			return nil, fmt.Errorf("overflow.allow: %w", err)
		}
		prefixes = append(prefixes, prefix.Masked())
	}
	return prefixes, nil
}

// LoadExtras reads the files given with --enable, in this order, and merges their sections. If two
// files set a field, the later value applies. Unlike in the settings file, an unknown field is an
// error. Errors name the file, the line, the field and the allowed values.
func LoadExtras(paths []string) (*Extras, error) {
	extras := &Extras{}
	texts := map[string][]byte{}
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err != nil {
			return nil, fmt.Errorf("enable: %w", err)
		}
		texts[path] = text
		extras.addDefaults(text)
		if err := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(extras); err != nil {
			return nil, locateError(path, err)
		}
	}
	if err := extras.check(paths, texts); err != nil {
		return nil, err
	}
	return extras, nil
}

// addDefaults sets each section that is in the given file, and in no earlier file, to its defaults.
// Decoding the file afterwards changes only the fields that the file sets.
func (extras *Extras) addDefaults(file []byte) {
	var present struct {
		Overflow any `toml:"overflow"`
		Ranking  any `toml:"ranking"`
		Promises any `toml:"promises"`
		Models   any `toml:"models"`
	}
	if toml.Unmarshal(file, &present) != nil {
		// The caller decodes the file next and fails too, with an error that names the field.
		return
	}
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

// check validates the merged sections. paths are the files in order, and texts their contents by
// path; they serve to locate the invalid field for the error.
func (extras *Extras) check(paths []string, texts map[string][]byte) error {
	if err := extrasValidator.Struct(extras); err != nil {
		var violations validator.ValidationErrors
		if !errors.As(err, &violations) {
			return fmt.Errorf("enable: %w", err)
		}
		field := strings.TrimPrefix(violations[0].Namespace(), "Extras.")
		return fmt.Errorf("enable: %s: field %s: %s", locateField(paths, texts, field), field, describeViolation(violations[0]))
	}
	if overflow := extras.Overflow; overflow != nil {
		for i, peer := range overflow.Peers {
			if peer.Cluster == overflow.Cluster {
				field := fmt.Sprintf("overflow.peers[%d].cluster", i)
				return fmt.Errorf("enable: %s: field %s: %s is this cluster itself", locateField(paths, texts, field), field, peer.Cluster)
			}
		}
	}
	return nil
}

// locateError adds the file, the line and the column to an error of the TOML decoder.
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

// extrasValidator checks the validate tags of Extras.
var extrasValidator = newExtrasValidator()

// newExtrasValidator returns a validator that also knows the tag "clustername".
func newExtrasValidator() *validator.Validate {
	structValidator := newValidator()
	err := structValidator.RegisterValidation("clustername", func(level validator.FieldLevel) bool { return certs.IsClusterName(level.Field().String()) })
	if err != nil {
		panic("config: " + err.Error())
	}
	return structValidator
}

// describeViolation returns the fault of a field's value, and which values are allowed.
func describeViolation(violation validator.FieldError) string {
	switch violation.Tag() {
	case "required", "required_if":
		return "is missing or empty"
	case "clustername":
		return fmt.Sprintf("%q is no cluster's name: want a small letter, then at most 30 small letters, digits and hyphens", violation.Value())
	case "hostname_port":
		return fmt.Sprintf("%q is no address: want HOST:PORT", violation.Value())
	case "cidr":
		return fmt.Sprintf("%q is no network: want a prefix such as 10.3.0.0/16", violation.Value())
	case "gte":
		return fmt.Sprintf("%v is too small: want at least %s", violation.Value(), violation.Param())
	case "lte":
		return fmt.Sprintf("%v is too large: want at most %s", violation.Value(), violation.Param())
	case "gtfield":
		return fmt.Sprintf("%v is too small: want more than report_s", violation.Value())
	case "unique":
		return "names a cluster twice"
	case "min":
		return "is empty"
	}
	return fmt.Sprintf("%v does not satisfy %s", violation.Value(), violation.Tag())
}

// indexPattern matches the index of a list's element in a field's path.
var indexPattern = regexp.MustCompile(`\[\d+\]`)

// locateField returns the file and the line of a field, in the last file that sets it. If no file
// sets it, locateField returns those of its section, or all files if no file has the section.
func locateField(paths []string, texts map[string][]byte, field string) string {
	parts := strings.Split(indexPattern.ReplaceAllString(field, ""), ".")
	key := parts[len(parts)-1]
	for _, pattern := range []string{`^\s*` + regexp.QuoteMeta(key) + `\s*=`, `^\s*\[+` + regexp.QuoteMeta(parts[0])} {
		lineRegexp := regexp.MustCompile(pattern)
		for i := len(paths) - 1; i >= 0; i-- {
			for lineIndex, line := range strings.Split(string(texts[paths[i]]), "\n") {
				if lineRegexp.MatchString(line) {
					return fmt.Sprintf("%s:%d", paths[i], lineIndex+1)
				}
			}
		}
	}
	return strings.Join(paths, ", ")
}
