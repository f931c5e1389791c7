package config

import (
	"os"
	"strings"
	"testing"

	"github.com/micahill/micahill/internal/controller"
)

// readSettings returns the content of a valid settings file.
func readSettings(t *testing.T) string {
	t.Helper()
	text, err := os.ReadFile("testdata/settings.toml")
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// TestParse checks that settings with an invalid field give an error of one line that names the
// field. Operators could not otherwise find the mistake in the log.
func TestParse(t *testing.T) {
	valid := readSettings(t)
	if _, err := Parse([]byte(valid)); err != nil {
		t.Fatalf("testdata/settings.toml: got %v, want no error", err)
	}
	for _, test := range []struct{ old, new, field string }{
		{`host_name = "ctl-0"`, ``, "host_name"},
		{`lease_s = 24.0`, ``, "deployment.workers.lease_s"},
		{`lease_s = 24.0`, `lease_s = -1.0`, "deployment.workers.lease_s"},
		{`lease_s = 24.0`, `lease_s = "long"`, "deployment.workers.lease_s"},
		{`state = "127.0.0.1:2379"`, `state = "nowhere"`, "outside.state"},
		{`name = "lab"`, ``, "deployment.teams[0].name"},
		{`txn_ops = 12`, `txn_ops = 1`, "deployment.state.txn_ops"},
		{`rps = 100.0`, `rps = 0.0`, "deployment.state.rps"},
		{`rps = 100.0`, `rps = 2.0`, "deployment.state.rps: 2 is used up by 2 controllers"},
		{`lease_s = 24.0`, `lease_s = 3.5`, "deployment.workers.lease_s: 3.5 is not longer than the longest pause"},
		{`value_kb = 4.0`, `value_kb = 0.5`, "deployment.state.value_kb: 0.5 does not hold"},
		{`sockets = 2000`, `sockets = 4`, "deployment.quota.sockets"},
		{`host_name = "ctl-0"`, `host_name = "ctl 0"`, "host_name: \"ctl 0\" can't be part of a key"},
		{`txn_ops = 12`, "txn_ops = 12\n[deployment.state.next]\ntxn_ops = 3", "deployment.state.next.txn_ops"},
		{`txn_ops = 12`, "txn_ops = 12\n[deployment.state.next]\nvalue_kb = 0.0", "deployment.state.next.value_kb"},
		{`txn_ops = 12`, "txn_ops = 12\n[deployment.state.next]\nvalue_kb = 0.5", "deployment.state.next.value_kb: 0.5 does not hold"},
		{`txn_ops = 12`, "txn_ops = 12\n[deployment.state.next]\nwrite_rps = -1.0", "deployment.state.next.write_rps"},
		{`txn_ops = 12`, "txn_ops = 12\n[deployment.state.next]\nwrite_rps = \"few\"", "deployment.state.next.write_rps"},
		{`name = "lab"`, `name = "` + strings.Repeat("l", 2000) + `"`, "deployment.teams[0].name"},
	} {
		t.Run(test.field, func(t *testing.T) {
			_, err := Parse([]byte(strings.Replace(valid, test.old, test.new, 1)))
			if err == nil || !strings.Contains(err.Error(), test.field) || strings.Contains(err.Error(), "\n") {
				t.Errorf("%q for %q: got %v, want one line naming %s", test.new, test.old, err, test.field)
			}
		})
	}
}

// TestUpcomingLimits checks that all writes keep to the stricter of the current and the upcoming
// limits, since the service may switch at any time. The current size of values must be kept too,
// since the segments of stored records depend on it.
func TestUpcomingLimits(t *testing.T) {
	valid := readSettings(t)
	for _, test := range []struct {
		name                string
		upcoming            string
		valueBytes, present int
		txnWrites           int
		writesPerSecond     float64
	}{
		{"no upcoming limits", "", 4096, 4096, 12, 30},
		{"all limits stricter", "[deployment.state.next]\nwrite_rps = 21.0\nvalue_kb = 2.0\ntxn_ops = 4", 2048, 4096, 4, 21},
		{"one limit stricter", "[deployment.state.next]\nvalue_kb = 2.0", 2048, 4096, 12, 30},
		{"all limits looser", "[deployment.state.next]\nwrite_rps = 90.0\nvalue_kb = 16.0\ntxn_ops = 24", 4096, 4096, 12, 30},
	} {
		t.Run(test.name, func(t *testing.T) {
			config, err := Parse([]byte(strings.Replace(valid, "txn_ops = 12", "txn_ops = 12\n"+test.upcoming, 1)))
			if err != nil {
				t.Fatal(err)
			}
			got := config.Settings(controller.DefaultPolicy(), "n")
			if got.MaxValueBytes != test.valueBytes || got.CurrentMaxValueBytes != test.present || got.MaxTxnWrites != test.txnWrites || got.StoreWritesPerSecond != test.writesPerSecond {
				t.Errorf("got %d and %d bytes, %d writes, %g a second, want %+v", got.MaxValueBytes, got.CurrentMaxValueBytes, got.MaxTxnWrites, got.StoreWritesPerSecond, test)
			}
		})
	}
}

// TestTightSettingsStart checks that settings which are tight but not invalid are accepted, with a
// warning that names the field, its value and values that are enough. A controller must not fail to
// start because of them.
func TestTightSettingsStart(t *testing.T) {
	valid := readSettings(t)
	if config, err := Parse([]byte(valid)); err != nil || len(config.Warnings()) != 0 {
		t.Errorf("testdata/settings.toml: got %v, warnings %q, want none", err, config.Warnings())
	}
	for _, test := range []struct{ old, new, want string }{
		{`lease_s = 24.0`, `lease_s = 5.0`, "deployment.workers.lease_s: 5 leaves no time for a lost heartbeat; more than 7.75 would do"},
		{`cancel_s = 54.0`, `cancel_s = 10.0`, "deployment.workers.cancel_s: 10"},
		{`rps = 100.0`, `rps = 8.0`, "deployment.state.rps: 8"},
		{`write_rps = 30.0`, `write_rps = 1.0`, "deployment.state.write_rps: 1"},
		{`cpu = 0.2`, `cpu = 0.01`, "deployment.quota.cpu: 0.01"},
		{`ram_mb = 256.0`, `ram_mb = 40.0`, "deployment.quota.ram_mb: 40"},
		{`sockets = 2000`, `sockets = 20`, "deployment.quota.sockets: 20"},
	} {
		t.Run(test.new, func(t *testing.T) {
			config, err := Parse([]byte(strings.Replace(valid, test.old, test.new, 1)))
			if err != nil {
				t.Fatalf("got %v, want no error", err)
			}
			if got := config.Warnings(); len(got) != 1 || !strings.Contains(got[0], test.want) || !strings.Contains(got[0], "would do") {
				t.Errorf("warnings: got %q, want one with %q", got, test.want)
			}
		})
	}
}
