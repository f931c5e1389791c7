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

// statusTimeout is how long an operator's command waits for a controller.
const statusTimeout = 5 * time.Second

// statusCommand shows an operator what a controller runs.
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

// fetchStatus asks the controller at its own address.
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

// printStatus prints what a controller told of itself, with only the tables that have rows.
func printStatus(out io.Writer, s *message.StatusReply) error {
	fmt.Fprintf(out, "%s: %s; healthy: %v; leader: %s; controllers: %s\n", s.Host, strings.Join(roleNames(s), ", "), s.Healthy, s.Leader, strings.Join(s.Controllers, ", "))
	if s.InternalErrors > 0 {
		fmt.Fprintf(out, "%d requests of its own were malformed; its log names them\n", s.InternalErrors)
	}
	// One writer for all tables: its cells align per block, and empty lines end blocks.
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	printShards(w, s)
	printWork(w, s)
	printGPUCapacity(w, s.GPUFreeCapacity)
	printMigrations(w, s.Migrations)
	printMachines(w, s.Machines)
	return w.Flush()
}

// roleNames are the controller's roles in the cluster.
func roleNames(s *message.StatusReply) []string {
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
	return roles
}

// printShards prints who leads which teams and shards.
func printShards(w io.Writer, s *message.StatusReply) {
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
}

// printWork prints open jobs by workload, and those that wait for others.
func printWork(w io.Writer, s *message.StatusReply) {
	if len(s.Workloads) > 0 {
		fmt.Fprintln(w, "\nWORKLOAD\tJOBS\tWAITING\tLIVE\tDONE\tTASKS/S\tRUN/ESTIMATE")
		for _, l := range s.Workloads {
			fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%.2f\t%.2f\n", l.Name, l.Jobs, l.Waiting, l.Live, l.Done, l.TasksPerSecond, l.RunToEstimate)
		}
	}
	if len(s.WaitingJobs) > 0 {
		fmt.Fprintln(w, "\nLEFT WAITING\tTEAM\tWORKLOAD\tFOR\tREASON")
		for _, j := range s.WaitingJobs {
			fmt.Fprintf(w, "%s\t%s\t%s\t%.0f s\t%s\n", j.Job, j.Team, j.Workload, j.WaitedSeconds, j.Reason)
		}
	}
	if s.Pipelines > 0 {
		fmt.Fprintf(w, "\njobs here that wait for others: %d\n", s.Pipelines)
		for _, h := range s.BlockingJobs {
			fmt.Fprintf(w, "%d wait for %s, which is %s\n", h.Dependents, h.Job, h.State)
		}
	}
}

func printGPUCapacity(w io.Writer, capacity []message.GPUFreeCapacity) {
	if len(capacity) == 0 {
		return
	}
	fmt.Fprintln(w, "\nGPU HOSTS\tZONE\tSPOT\tHOSTS\tWHOLE\tFREE GPUS\tIN PIECES\tLARGEST REPLICA NOW")
	for _, r := range capacity {
		fmt.Fprintf(w, "%s\t%s\t%v\t%d\t%d\t%.0f\t%.0f\t%.0f GPUs\n", r.MachineType, r.Zone, r.Spot, r.Machines, r.EmptyMachines, r.FreeGPUs, r.FragmentedGPUs, r.LargestReplicaGPUs)
	}
}

func printMigrations(w io.Writer, m *message.MigrationsStatus) {
	if m == nil || m.Plans+len(m.InProgress) == 0 {
		return
	}
	fmt.Fprintf(w, "\nmoves: %d planned, %d replicas moved, %d dropped before their stop; longest down %.1f s\n", m.Plans, m.Moved, m.Dropped, m.LongestDownSeconds)
	if len(m.InProgress) > 0 {
		fmt.Fprintln(w, "\nREPLICA\tFROM\tTO\tMAKES ROOM FOR\tSTATE\tEXPECTED DOWN\tGIVEN UP IN")
	}
	for _, x := range m.InProgress {
		fmt.Fprintf(w, "%s/%d\t%s\t%s\t%s\t%s\t%.1f s\t%.0f s\n", x.Job, x.Task, x.From, x.To, x.For, x.State, x.ExpectedDownSeconds, x.GivenUpInSeconds)
	}
}

func printMachines(w io.Writer, machines []message.MachineStatus) {
	if len(machines) == 0 {
		return
	}
	// The totals come first: in a thousand lines nobody sees how many machines are unresponsive.
	counts := map[string]int{}
	for _, m := range machines {
		counts[m.State]++
	}
	var states []string
	for _, st := range slices.Sorted(maps.Keys(counts)) {
		states = append(states, fmt.Sprintf("%d %s", counts[st], st))
	}
	fmt.Fprintf(w, "\nmachines: %s\n", strings.Join(states, ", "))
	fmt.Fprintln(w, "\nMACHINE\tFLAVOUR\tZONE\tSPOT\tSTATE\tTASKS\tCPU\tHEARD")
	for _, m := range machines {
		fmt.Fprintf(w, "%s\t%s\t%s\t%v\t%s\t%d\t%.0f/%.0f\t%s\n", m.ID, m.MachineType, m.Zone, m.Spot, m.State, m.Tasks, m.UsedCPU, m.CPU, m.LastHeartbeatAge)
	}
}
