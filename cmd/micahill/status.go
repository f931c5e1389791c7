package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/spf13/cobra"
)

// statusTimeout is how long an operator waits for a controller.
const statusTimeout = 5 * time.Second

// statusCommand shows what a controller runs, to an operator at a terminal.
func statusCommand() *cobra.Command {
	var addr string
	c := &cobra.Command{
		Use: "status", Short: "Show what a controller runs", Args: cobra.NoArgs,
		Long: "Shows a controller's roles, open jobs by workload, and machines. ADDR is the\ncontroller's own address, \"back\" in its settings; the owner shows the jobs.",
		RunE: func(cmd *cobra.Command, _ []string) error {
			if addr == "" {
				return errors.New("status: --addr HOST:PORT is missing; it is the controller's own address, back in its settings")
			}
			ctx, cancel := context.WithTimeout(cmd.Context(), statusTimeout)
			defer cancel()
			s, err := fetchStatus(ctx, addr)
			if err != nil {
				return err
			}
			return printStatus(cmd.OutOrStdout(), s)
		},
	}
	c.Flags().StringVar(&addr, "addr", "", "the controller's own address (back)")
	return c
}

func fetchStatus(ctx context.Context, addr string) (*message.StatusReply, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/status", nil)
	if err != nil {
		return nil, fmt.Errorf("status: %w", err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, fmt.Errorf("status: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("status: %s answers %s", addr, resp.Status)
	}
	var s message.StatusReply
	if err := json.NewDecoder(resp.Body).Decode(&s); err != nil {
		return nil, fmt.Errorf("status: %w", err)
	}
	return &s, nil
}

func printStatus(out io.Writer, s *message.StatusReply) error {
	roles := []string{}
	if s.IsLeader {
		roles = append(roles, "leader")
	}
	if s.IsShardLeader {
		var teams []string
		for _, t := range s.Teams {
			if t.IsLocal {
				teams = append(teams, t.Name)
			}
		}
		roles = append(roles, "owner of "+strings.Join(teams, ", "))
	}
	if len(roles) == 0 {
		roles = append(roles, "standing by")
	}
	fmt.Fprintf(out, "%s: %s; healthy: %v; leader: %s; controllers: %s\n", s.Host, strings.Join(roles, ", "), s.Healthy, s.Leader, strings.Join(s.Controllers, ", "))
	if s.InternalErrors > 0 {
		fmt.Fprintf(out, "%d requests of its own were malformed; its log names them\n", s.InternalErrors)
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	if len(s.Teams) > 1 {
		fmt.Fprintln(w, "\nTEAM\tOWNER\tCPU HERE")
		for _, t := range s.Teams {
			fmt.Fprintf(w, "%s\t%s\t%.0f\n", t.Name, t.Owner, t.CPU)
		}
	}
	if len(s.Shards) > 1 {
		fmt.Fprintln(w, "\nSHARE\tHOLDER\tALIVE\tTEAMS\tREST\tLOTS")
		for _, x := range s.Shards {
			fmt.Fprintf(w, "%s\t%s\t%v\t%d\t%v\t%d\n", x.Name, x.Leader, x.Alive, x.Teams, x.HoldsCatchAll, x.Segments)
		}
	}
	if s.RemoteAttempts.OnOthersMachines+s.RemoteAttempts.OthersHere > 0 {
		fmt.Fprintf(w, "\nruns elsewhere for teams here: %d; runs here for teams elsewhere: %d\n", s.RemoteAttempts.OnOthersMachines, s.RemoteAttempts.OthersHere)
	}
	if len(s.Workloads) > 0 {
		fmt.Fprintln(w, "\nWORKLOAD\tJOBS\tWAITING\tLIVE\tDONE\tTASKS/S\tRUN/ESTIMATE")
		for _, l := range s.Workloads {
			fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%.2f\t%.2f\n", l.Name, l.Jobs, l.Waiting, l.Live, l.Done, l.TasksPerSecond, l.RunToEstimate)
		}
	}
	if s.Pipelines > 0 {
		fmt.Fprintf(w, "\njobs here that wait for others: %d\n", s.Pipelines)
		for _, h := range s.BlockingJobs {
			fmt.Fprintf(w, "%d wait for %s, which is %s\n", h.Dependents, h.Job, h.State)
		}
	}
	if len(s.GPUFreeCapacity) > 0 {
		fmt.Fprintln(w, "\nGPU HOSTS\tZONE\tSPOT\tHOSTS\tWHOLE\tFREE GPUS\tIN PIECES\tLARGEST REPLICA NOW")
		for _, r := range s.GPUFreeCapacity {
			fmt.Fprintf(w, "%s\t%s\t%v\t%d\t%d\t%.0f\t%.0f\t%.0f GPUs\n", r.MachineType, r.Zone, r.Spot, r.Machines, r.EmptyMachines, r.FreeGPUs, r.FragmentedGPUs, r.LargestReplicaGPUs)
		}
	}
	if m := s.Migrations; m != nil && m.Plans+len(m.InProgress) > 0 {
		fmt.Fprintf(w, "\nmoves: %d planned, %d replicas moved, %d dropped before their stop; longest down %.1f s\n", m.Plans, m.Moved, m.Dropped, m.LongestDownSeconds)
		if len(m.InProgress) > 0 {
			fmt.Fprintln(w, "\nREPLICA\tFROM\tTO\tMAKES ROOM FOR\tSTATE\tEXPECTED DOWN\tGIVEN UP IN")
		}
		for _, x := range m.InProgress {
			fmt.Fprintf(w, "%s/%d\t%s\t%s\t%s\t%s\t%.1f s\t%.0f s\n", x.Job, x.Task, x.From, x.To, x.For, x.State, x.ExpectedDownSeconds, x.GivenUpInSeconds)
		}
	}
	if len(s.Machines) > 0 {
		// Of a thousand lines nobody sees how much of the pool is silent.
		by := map[string]int{}
		for _, m := range s.Machines {
			by[m.State]++
		}
		var states []string
		for _, st := range slices.Sorted(maps.Keys(by)) {
			states = append(states, fmt.Sprintf("%d %s", by[st], st))
		}
		fmt.Fprintf(w, "\nmachines: %s\n", strings.Join(states, ", "))
		fmt.Fprintln(w, "\nMACHINE\tFLAVOUR\tZONE\tSPOT\tSTATE\tTASKS\tCPU\tHEARD")
		for _, m := range s.Machines {
			fmt.Fprintf(w, "%s\t%s\t%s\t%v\t%s\t%d\t%.0f/%.0f\t%s\n", m.ID, m.MachineType, m.Zone, m.Spot, m.State, m.Tasks, m.UsedCPU, m.CPU, m.LastHeartbeatAge)
		}
	}
	return w.Flush()
}
