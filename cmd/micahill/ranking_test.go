package main

import (
	"bytes"
	"context"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/micahill/micahill/internal/controller"
	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/simulation"
)

// TestRankingCommands runs the verbs of ranking against three whole controllers, as an operator
// does. It checks that a valid ranking reaches all controllers, and that an invalid file or a
// stale revision is refused with an error that says why.
func TestRankingCommands(t *testing.T) {
	t.Setenv("LOG_LEVEL", "error")
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	enableFile := write("ranking.toml", "[ranking]\nenabled = true\n")
	var apiAddrs, internalAddrs []string
	for range 3 {
		apiAddrs, internalAddrs = append(apiAddrs, freeAddress(t)), append(internalAddrs, freeAddress(t))
	}
	types := []model.MachineType{{Name: "small", Capacity: model.Resources{CPU: 4, Memory: 8}, DiskGB: 10, ImageFetchRate: 1, CostPerHour: 1, SpotCostPerHour: 0.3, ProvisioningTime: 300 * time.Millisecond, Zones: []string{"a"}}}
	settings := controller.Settings{HeartbeatInterval: 400 * time.Millisecond, WorkerLease: 4 * time.Second, CloudListLag: 500 * time.Millisecond, MaxValueBytes: 4096, MaxTxnWrites: 12}
	live := simulation.NewLive(settings, 100, 50, types, map[string]int{"small/a/true": 1}, apiAddrs)
	ctx, cancel := context.WithCancel(context.Background())
	defer live.Stop()
	defer cancel()
	go live.Run(ctx)
	for i := range apiAddrs {
		path := write("controller.toml"+string(rune('0'+i)), settingsFile(i, apiAddrs, internalAddrs, live))
		go func() { _ = runController(ctx, path, "", []string{enableFile}) }()
	}
	runCommand := func(args ...string) (string, error) {
		c := rootCommand()
		var out bytes.Buffer
		c.SetOut(&out)
		c.SetErr(&out)
		c.SetArgs(append([]string{"ranking"}, args...))
		err := c.ExecuteContext(ctx)
		return out.String(), err
	}
	eventually(t, "the leader derives a ranking", func() bool {
		out, err := runCommand("show", "--addr", internalAddrs[1])
		return err == nil && strings.Contains(out, "revision 1, derived by")
	})
	good := write("good.toml", "[[class]]\nname = \"rush\"\nworkloads = [\"rush-*\"]\nbound_s = 30\n")
	bad := write("bad.toml", "[[class]]\nname = \"rush\"\nworkloads = [\"rush-*\"]\npart = 7\n")
	out, err := runCommand("set", good, "--addr", internalAddrs[0], "--by", "me", "--rev", "1")
	if err != nil || !strings.Contains(out, "warning: no class takes all of urgency critical") || !strings.Contains(out, "revision 2 holds") {
		t.Fatalf("set: got %q, %v, want a warning and revision 2", out, err)
	}
	for _, c := range []struct {
		name string
		args []string
		want string
	}{
		{"set on an older revision", []string{"set", good, "--addr", internalAddrs[2], "--rev", "1"}, "revision 2 stands there, not 1"},
		{"set an invalid file", []string{"set", bad, "--addr", internalAddrs[2]}, "bad.toml:4:1: field class[0].part"},
		{"check an invalid file", []string{"check", bad}, "bad.toml:4:1: field class[0].part"},
		{"show without an address", []string{"show"}, "--addr HOST:PORT is missing"},
		{"show why with an invalid job id", []string{"show", "--addr", internalAddrs[0], "--why", "x"}, "is no job's id"},
	} {
		t.Run(c.name, func(t *testing.T) {
			if out, err := runCommand(c.args...); err == nil || !strings.HasPrefix(err.Error(), "ranking: ") || !strings.Contains(err.Error(), c.want) {
				t.Errorf("got %q, %v, want an error of ranking with %q", out, err, c.want)
			}
		})
	}
	for _, addr := range internalAddrs {
		eventually(t, "every controller shows revision 2", func() bool {
			out, err := runCommand("show", "--addr", addr)
			return err == nil && strings.Contains(out, "revision 2, set by me") && strings.Contains(out, "rush-*")
		})
	}
	if out, err := runCommand("history", "--addr", internalAddrs[2], "--json"); err != nil || !strings.Contains(out, `"bound_s": 30`) || strings.Count(out, `"rev"`) != 2 {
		t.Errorf("history: got %q, %v, want two revisions, one with bound_s 30", out, err)
	}
	live.AddJob(jobSpec(jobFields("job-1", "ops", 400)), time.Second)
	eventually(t, "a job is accepted", func() bool {
		status, _, _ := request(t, http.MethodPost, "http://"+apiAddrs[0]+"/v2/runs", jobFields("job-1", "ops", 400))
		return status == 201 || status == 200
	})
	eventually(t, "a controller explains why the job waits", func() bool {
		for _, addr := range internalAddrs {
			if out, err := runCommand("show", "--addr", addr, "--why", "job-1"); err == nil && strings.Contains(out, "class (normal), place 4 of 5") && strings.Count(out, "\n") == 1 {
				return true
			}
		}
		return false
	})
}
