package config

import (
	"os"
	"strings"
	"testing"

	"github.com/micahill/micahill/internal/controller"
)

func TestParse(t *testing.T) {
	good, err := os.ReadFile("testdata/settings.toml")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Parse(good); err != nil {
		t.Fatalf("the example: %v", err)
	}
	for _, c := range []struct{ old, new, field string }{
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
		bad := strings.Replace(string(good), c.old, c.new, 1)
		_, err := Parse([]byte(bad))
		if err == nil || !strings.Contains(err.Error(), c.field) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q for %q: got %v, want one line naming %s", c.new, c.old, err, c.field)
		}
	}
}

// TestUpcomingLimits: the tighter of the limits of now and to come counts for all that is
// written, and the present size of values stays known, as records were numbered by it.
func TestUpcomingLimits(t *testing.T) {
	good, err := os.ReadFile("testdata/settings.toml")
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		next           string
		value, present int
		ops            int
		writes         float64
	}{
		{"", 4096, 4096, 12, 30},
		{"[deployment.state.next]\nwrite_rps = 21.0\nvalue_kb = 2.0\ntxn_ops = 4", 2048, 4096, 4, 21},
		{"[deployment.state.next]\nvalue_kb = 2.0", 2048, 4096, 12, 30},
		{"[deployment.state.next]\nwrite_rps = 90.0\nvalue_kb = 16.0\ntxn_ops = 24", 4096, 4096, 12, 30},
	} {
		conf, err := Parse([]byte(strings.Replace(string(good), "txn_ops = 12", "txn_ops = 12\n"+c.next, 1)))
		if err != nil {
			t.Fatalf("%q: %v", c.next, err)
		}
		s := conf.Settings(controller.DefaultPolicy(), "n")
		if s.MaxValueBytes != c.value || s.CurrentMaxValueBytes != c.present || s.MaxTxnWrites != c.ops || s.StoreWritesPerSecond != c.writes {
			t.Errorf("%q: %d and %d bytes, %d changes, %g a second", c.next, s.MaxValueBytes, s.CurrentMaxValueBytes, s.MaxTxnWrites, s.StoreWritesPerSecond)
		}
	}
}

// TestTightSettingsStart: what is merely tight starts, with a warning that names the
// field, its value and what would do.
func TestTightSettingsStart(t *testing.T) {
	good, err := os.ReadFile("testdata/settings.toml")
	if err != nil {
		t.Fatal(err)
	}
	if c, err := Parse(good); err != nil || len(c.Warnings()) != 0 {
		t.Errorf("the example: %v, warnings %v", err, c.Warnings())
	}
	for _, c := range []struct{ old, new, says string }{
		{`lease_s = 24.0`, `lease_s = 5.0`, "deployment.workers.lease_s: 5 leaves no time for a lost report; more than 7.75 would do"},
		{`cancel_s = 54.0`, `cancel_s = 10.0`, "deployment.workers.cancel_s: 10"},
		{`rps = 100.0`, `rps = 8.0`, "deployment.state.rps: 8"},
		{`write_rps = 30.0`, `write_rps = 1.0`, "deployment.state.write_rps: 1"},
		{`cpu = 0.2`, `cpu = 0.01`, "deployment.quota.cpu: 0.01"},
		{`ram_mb = 256.0`, `ram_mb = 40.0`, "deployment.quota.ram_mb: 40"},
		{`sockets = 2000`, `sockets = 20`, "deployment.quota.sockets: 20"},
	} {
		tight, err := Parse([]byte(strings.Replace(string(good), c.old, c.new, 1)))
		if err != nil {
			t.Errorf("%s: %v, want it to start", c.new, err)
			continue
		}
		if w := tight.Warnings(); len(w) != 1 || !strings.Contains(w[0], c.says) || !strings.Contains(w[0], "would do") {
			t.Errorf("%s: warnings %q, want one with %q", c.new, w, c.says)
		}
	}
}
