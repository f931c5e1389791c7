package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// overflowFile is a file that enables overflow and sets only its required fields and one peer.
const overflowFile = `[overflow]
cluster = "east"
keys = "/etc/micahill/keys"
allow = ["10.3.0.0/16"]
guest_team = "guests"

[[overflow.peers]]
cluster = "west"
addresses = ["10.4.0.1:7443"]
`

// writeFile writes text to a new file, x.toml, and returns its path.
func writeFile(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "x.toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// TestExtras checks that the sections of several files are merged, that missing fields have their
// defaults, and that no feature is enabled without files.
func TestExtras(t *testing.T) {
	extras, err := LoadExtras(nil)
	if err != nil || extras.Overflow != nil {
		t.Fatalf("without files: got %+v, %v, want no feature", extras, err)
	}
	extras, err = LoadExtras([]string{writeFile(t, overflowFile), writeFile(t, "[overflow]\nlease_s = 30\n")})
	if err != nil {
		t.Fatal(err)
	}
	if overflow := extras.Overflow; overflow.Cluster != "east" || overflow.LeaseS != 30 || overflow.ReportS != 2 || !overflow.Lend || len(overflow.Peers) != 1 {
		t.Errorf("got %+v, want cluster east with its peer, a lease of 30 s, and the other defaults", overflow)
	}
}

// TestInvalidExtras checks that the error for an invalid file names the file, the line, the field
// and the allowed values. Operators could not otherwise find the mistake.
func TestInvalidExtras(t *testing.T) {
	for _, test := range []struct{ name, text, want string }{
		{"unknown field", overflowFile + "price = 3\n", "x.toml:10:1: unknown field overflow.peers.price"},
		{"unknown section", overflowFile + "[overflw]\n", "unknown field overflw"},
		{"wrong type", strings.Replace(overflowFile, `"east"`, "7", 1), "x.toml:2:"},
		{"invalid cluster name", strings.Replace(overflowFile, `"east"`, `"East 1"`, 1), `x.toml:2: field overflow.cluster: "East 1" is no cluster's name`},
		{"invalid network", strings.Replace(overflowFile, "10.3.0.0/16", "10.3.0.0", 1), `x.toml:4: field overflow.allow[0]: "10.3.0.0" is no network: want a prefix`},
		{"missing field", strings.Replace(overflowFile, "keys =", "#", 1), "x.toml:1: field overflow.keys: is missing"},
		{"invalid address", strings.Replace(overflowFile, "10.4.0.1:7443", "10.4.0.1", 1), `field overflow.peers[0].addresses[0]: "10.4.0.1" is no address`},
		{"peer is this cluster", strings.Replace(overflowFile, `"west"`, `"east"`, 1), "overflow.peers[0].cluster: east is this cluster itself"},
		{"lease too short", strings.Replace(overflowFile, "guest_team", "lease_s = 5\nreport_s = 9\nguest_team", 1), "x.toml:5: field overflow.lease_s: 5 is too small: want more than report_s"},
		{"invalid TOML", "[overflow\n", "x.toml:1:"},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, err := LoadExtras([]string{writeFile(t, test.text)})
			if err == nil || !strings.Contains(err.Error(), test.want) {
				t.Errorf("got %v, want %q", err, test.want)
			}
		})
	}
}
