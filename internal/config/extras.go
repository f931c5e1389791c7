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
	"github.com/micahill/micahill/internal/core"
	"github.com/micahill/micahill/internal/keys"
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
	// Share is the part of the promises that are to be kept.
	Share float64 `toml:"share" validate:"gte=0.5,lte=0.999"`
}

// Models packs replicas and moves them so that larger ones fit; see
// docs/operations/models.md.
type Models struct {
	Enabled bool `toml:"enabled"`
	// Part is the part of the machines of a kind on which replicas may be moving at a
	// time, and AgainS how long a replica that was moved is left alone.
	Part   float64 `toml:"part" validate:"gte=0,lte=1"`
	AgainS float64 `toml:"again_s" validate:"gte=60,lte=86400"`
}

// Product is what the core is told of them.
func (x *Extras) Product() core.Capabilities {
	var p core.Capabilities
	if r := x.Ranking; r != nil {
		p.Ranking = r.Enabled
	}
	if r := x.Promises; r != nil {
		p.Promises, p.PromiseFraction = r.Enabled, r.Share
	}
	if r := x.Models; r != nil {
		p.Models, p.MaxMigratingFraction, p.MigrationCooldown = r.Enabled, r.Part, core.Seconds(r.AgainS)
	}
	return p
}

// Overflow lets this cluster lend work to its peers and borrow theirs.
type Overflow struct {
	// Cluster is this cluster's name, the same on all of its controllers and in
	// its certificate.
	Cluster string `toml:"cluster" validate:"required,clustername"`
	// Listen is where peers reach this controller; absent: the host of back, port
	// DefaultOverflowPort.
	Listen string `toml:"listen" validate:"omitempty,hostname_port"`
	// Keys is the folder with ca.pem, cert.pem and key.pem, as micahill keys
	// issue writes them. They are read again when they change.
	Keys string `toml:"keys" validate:"required"`
	// Allow are the networks from which peers may connect, such as 10.3.0.0/16.
	Allow []string `toml:"allow" validate:"required,min=1,dive,cidr"`
	// GuestTeam is the team in whose name borrowed work runs; its limit bounds it.
	GuestTeam string `toml:"guest_team" validate:"required_if=Borrow true"`
	Lend      bool   `toml:"lend"`
	Borrow    bool   `toml:"borrow"`
	// ReportS is how often a peer is told of this cluster, LeaseS how long a peer
	// may keep our work without an answer of ours.
	ReportS float64 `toml:"report_s" validate:"gte=0.5,lte=60"`
	LeaseS  float64 `toml:"lease_s" validate:"gte=5,lte=600,gtfield=ReportS"`
	// LoansOut bounds the loans to one peer, LoansIn those taken from all, and
	// TasksMost the tasks of one.
	LoansOut  int `toml:"loans_out" validate:"gte=0,lte=10000"`
	LoansIn   int `toml:"loans_in" validate:"gte=0,lte=10000"`
	TasksMost int `toml:"tasks_most" validate:"gte=1,lte=100000"`
	// GainS is by how much sooner a job must be done at a peer, and Dearest how
	// many times our own price a peer's may be.
	GainS   float64 `toml:"gain_s" validate:"gte=0,lte=3600"`
	Dearest float64 `toml:"dearest" validate:"gte=0.1,lte=100"`
	Peers   []Peer  `toml:"peers" validate:"unique=Cluster,dive"`
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
		LoansOut: 32, LoansIn: 64, TasksMost: 2000, GainS: 5, Dearest: 3,
	}
}

// Prefixes are the allowed networks.
func (o *Overflow) Prefixes() ([]netip.Prefix, error) {
	var out []netip.Prefix
	for _, a := range o.Allow {
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
	x := &Extras{}
	texts := map[string][]byte{}
	for _, path := range paths {
		b, err := os.ReadFile(path)
		if err != nil {
			return nil, fmt.Errorf("enable: %w", err)
		}
		texts[path] = b
		var named struct {
			Overflow any `toml:"overflow"`
			Ranking  any `toml:"ranking"`
			Promises any `toml:"promises"`
			Models   any `toml:"models"`
		}
		if toml.Unmarshal(b, &named) == nil {
			if named.Overflow != nil && x.Overflow == nil {
				x.Overflow = defaultOverflow()
			}
			if named.Ranking != nil && x.Ranking == nil {
				x.Ranking = &Ranking{Enabled: true}
			}
			if named.Promises != nil && x.Promises == nil {
				x.Promises = &Promises{Enabled: true, Share: 0.95}
			}
			if named.Models != nil && x.Models == nil {
				x.Models = &Models{Enabled: true, Part: 0.1, AgainS: 300}
			}
		}
		if err := toml.NewDecoder(bytes.NewReader(b)).DisallowUnknownFields().Decode(x); err != nil {
			return nil, placed(path, err)
		}
	}
	if err := extrasCheck.Struct(x); err != nil {
		var ve validator.ValidationErrors
		if !errors.As(err, &ve) {
			return nil, fmt.Errorf("enable: %w", err)
		}
		field := strings.TrimPrefix(ve[0].Namespace(), "Extras.")
		return nil, fmt.Errorf("enable: %s: field %s: %s", whereIs(paths, texts, field), field, wanted(ve[0]))
	}
	if o := x.Overflow; o != nil {
		for i, p := range o.Peers {
			if p.Cluster == o.Cluster {
				field := fmt.Sprintf("overflow.peers[%d].cluster", i)
				return nil, fmt.Errorf("enable: %s: field %s: %s is this cluster itself", whereIs(paths, texts, field), field, p.Cluster)
			}
		}
	}
	return x, nil
}

// placed says where in a file a reading error lies.
func placed(path string, err error) error {
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

var extrasCheck = newExtrasCheck()

func newExtrasCheck() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string { return f.Tag.Get("toml") })
	err := v.RegisterValidation("clustername", func(fl validator.FieldLevel) bool { return keys.IsClusterName(fl.Field().String()) })
	if err != nil {
		panic("config: " + err.Error())
	}
	return v
}

// wanted says of a field what would be right.
func wanted(e validator.FieldError) string {
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

// whereIs finds the line of a field, in the last file that names it; of a field
// that none names, the section.
func whereIs(paths []string, texts map[string][]byte, field string) string {
	parts := strings.Split(regexp.MustCompile(`\[\d+\]`).ReplaceAllString(field, ""), ".")
	key := parts[len(parts)-1]
	for _, want := range []string{`^\s*` + regexp.QuoteMeta(key) + `\s*=`, `^\s*\[+` + regexp.QuoteMeta(parts[0])} {
		re := regexp.MustCompile(want)
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
