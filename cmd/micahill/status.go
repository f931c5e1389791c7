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

// statusTimeout is how long an operator's command waits for the response of a controller, and a
// route of overflow for the broker or the controller.
const statusTimeout = 5 * time.Second

// statusCommand returns the verb that shows the roles, jobs and machines of a controller.
func statusCommand() *cobra.Command {
	var addr string
	command := &cobra.Command{
		Use: "status", Short: "Show what a controller runs", Args: cobra.NoArgs,
		Long: "Shows a controller's roles, open jobs by workload, and machines. ADDR is the\ncontroller's own address, \"back\" in its settings. Jobs are shown by the controller that runs\ntheir team, its owner.",
		RunE: func(cmd *cobra.Command, _ []string) error {
			if addr == "" {
				return errors.New("status: --addr HOST:PORT is missing; it is the controller's own address, \"back\" in its settings")
			}
			ctx, cancel := context.WithTimeout(cmd.Context(), statusTimeout)
			defer cancel()
			status, err := fetchStatus(ctx, addr)
			if err != nil {
				return err
			}
			return printStatus(cmd.OutOrStdout(), status)
		},
	}
	command.Flags().StringVar(&addr, "addr", "", "the controller's own address (back)")
	return command
}

// fetchStatus requests the status of the controller at an internal address.
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
		return nil, fmt.Errorf("status: %s: %s", addr, resp.Status)
	}
	var status message.StatusReply
	if err := json.NewDecoder(resp.Body).Decode(&status); err != nil {
		return nil, fmt.Errorf("status: %w", err)
	}
	return &status, nil
}

// printStatus prints the status of a controller, with only the tables that have rows.
func printStatus(out io.Writer, status *message.StatusReply) error {
	fmt.Fprintf(out, "%s: %s; healthy: %v; leader: %s; controllers: %s\n", status.Host, strings.Join(roleNames(status), ", "), status.Healthy, status.Leader, strings.Join(status.Controllers, ", "))
	if status.InternalErrors > 0 {
		fmt.Fprintf(out, "this controller sent %d malformed requests; its log names them\n", status.InternalErrors)
	}
	// All tables share one writer. It aligns the cells of each block, and empty lines end a
	// block.
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	printShards(w, status)
	printWork(w, status)
	printGPUCapacity(w, status.GPUFreeCapacity)
	printMigrations(w, status.Migrations)
	printMachines(w, status.Machines)
	return w.Flush()
}

// roleNames returns the controller's roles in the cluster.
func roleNames(status *message.StatusReply) []string {
	roles := []string{}
	if status.IsLeader {
		roles = append(roles, "leader")
	}
	if status.IsShardLeader {
		var teams []string
		for _, team := range status.Teams {
			if team.IsLocal {
				teams = append(teams, team.Name)
			}
		}
		roles = append(roles, "owner of "+strings.Join(teams, ", "))
	}
	if len(roles) == 0 {
		roles = append(roles, "standing by")
	}
	return roles
}

// printShards prints the owners of the teams, the leaders of the shards, the number of tasks of this
// controller's teams on machines of other controllers, and the number of tasks of other controllers'
// teams on machines of this controller.
func printShards(w io.Writer, status *message.StatusReply) {
	if len(status.Teams) > 1 {
		fmt.Fprintln(w, "\nTEAM\tOWNER\tCPU HERE")
		for _, team := range status.Teams {
			fmt.Fprintf(w, "%s\t%s\t%.0f\n", team.Name, team.Owner, team.CPU)
		}
	}
	if len(status.Shards) > 1 {
		fmt.Fprintln(w, "\nSHARE\tHOLDER\tALIVE\tTEAMS\tREST\tLOTS")
		for _, shard := range status.Shards {
			fmt.Fprintf(w, "%s\t%s\t%v\t%d\t%v\t%d\n", shard.Name, shard.Leader, shard.Alive, shard.Teams, shard.HoldsCatchAll, shard.Segments)
		}
	}
	if status.RemoteAttempts.OnOthersMachines+status.RemoteAttempts.OthersHere > 0 {
		fmt.Fprintf(w, "\ntasks of teams here on machines of other controllers: %d; tasks of other controllers' teams on machines here: %d\n", status.RemoteAttempts.OnOthersMachines, status.RemoteAttempts.OthersHere)
	}
}

// printWork prints the open jobs by workload, the jobs that have waited for long, and the jobs
// that wait for other jobs.
func printWork(w io.Writer, status *message.StatusReply) {
	if len(status.Workloads) > 0 {
		fmt.Fprintln(w, "\nWORKLOAD\tJOBS\tWAITING\tLIVE\tDONE\tTASKS/S\tRUN/ESTIMATE")
		for _, workload := range status.Workloads {
			fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%.2f\t%.2f\n", workload.Name, workload.Jobs, workload.Waiting, workload.Live, workload.Done, workload.TasksPerSecond, workload.RunToEstimate)
		}
	}
	if len(status.WaitingJobs) > 0 {
		fmt.Fprintln(w, "\nLEFT WAITING\tTEAM\tWORKLOAD\tFOR\tREASON")
		for _, job := range status.WaitingJobs {
			fmt.Fprintf(w, "%s\t%s\t%s\t%.0f s\t%s\n", job.Job, job.Team, job.Workload, job.WaitedSeconds, job.Reason)
		}
	}
	if status.Pipelines > 0 {
		fmt.Fprintf(w, "\njobs here that wait for other jobs: %d\n", status.Pipelines)
		for _, blocker := range status.BlockingJobs {
			fmt.Fprintf(w, "%d wait for %s, which is %s\n", blocker.Dependents, blocker.Job, blocker.State)
		}
	}
}

// printGPUCapacity prints the free GPUs by machine type, zone and price model.
func printGPUCapacity(w io.Writer, capacity []message.GPUFreeCapacity) {
	if len(capacity) == 0 {
		return
	}
	fmt.Fprintln(w, "\nGPU HOSTS\tZONE\tSPOT\tHOSTS\tWHOLE\tFREE GPUS\tIN PIECES\tLARGEST REPLICA NOW")
	for _, free := range capacity {
		fmt.Fprintf(w, "%s\t%s\t%v\t%d\t%d\t%.0f\t%.0f\t%.0f GPUs\n", free.MachineType, free.Zone, free.Spot, free.Machines, free.EmptyMachines, free.FreeGPUs, free.FragmentedGPUs, free.LargestReplicaGPUs)
	}
}

// printMigrations prints the totals of the migrations of replicas, and the migrations in progress.
func printMigrations(w io.Writer, migrations *message.MigrationsStatus) {
	if migrations == nil || migrations.Plans+len(migrations.InProgress) == 0 {
		return
	}
	fmt.Fprintf(w, "\nmoves: %d planned, %d replicas moved, %d dropped before their stop; longest down %.1f s\n", migrations.Plans, migrations.Moved, migrations.Dropped, migrations.LongestDownSeconds)
	if len(migrations.InProgress) > 0 {
		fmt.Fprintln(w, "\nREPLICA\tFROM\tTO\tMAKES ROOM FOR\tSTATE\tEXPECTED DOWN\tGIVEN UP IN")
	}
	for _, move := range migrations.InProgress {
		fmt.Fprintf(w, "%s/%d\t%s\t%s\t%s\t%s\t%.1f s\t%.0f s\n", move.Job, move.Task, move.From, move.To, move.For, move.State, move.ExpectedDownSeconds, move.GivenUpInSeconds)
	}
}

// printMachines prints the number of machines in each state, and a table of all machines.
func printMachines(w io.Writer, machines []message.MachineStatus) {
	if len(machines) == 0 {
		return
	}
	// The totals come first, because nobody sees in a thousand lines how many machines are
	// unresponsive.
	counts := map[string]int{}
	for _, machine := range machines {
		counts[machine.State]++
	}
	var states []string
	for _, state := range slices.Sorted(maps.Keys(counts)) {
		states = append(states, fmt.Sprintf("%d %s", counts[state], state))
	}
	fmt.Fprintf(w, "\nmachines: %s\n", strings.Join(states, ", "))
	fmt.Fprintln(w, "\nMACHINE\tFLAVOUR\tZONE\tSPOT\tSTATE\tTASKS\tCPU\tHEARD")
	for _, machine := range machines {
		fmt.Fprintf(w, "%s\t%s\t%s\t%v\t%s\t%d\t%.0f/%.0f\t%s\n", machine.ID, machine.MachineType, machine.Zone, machine.Spot, machine.State, machine.Tasks, machine.UsedCPU, machine.CPU, machine.LastHeartbeatAge)
	}
}
