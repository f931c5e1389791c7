package config

import (
	"os"
	"strings"
	"testing"
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
	} {
		bad := strings.Replace(string(good), c.old, c.new, 1)
		_, err := Parse([]byte(bad))
		if err == nil || !strings.Contains(err.Error(), c.field) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q for %q: got %v, want one line naming %s", c.new, c.old, err, c.field)
		}
	}
}
