package main

import (
	"fmt"
	"io"
	"net/http"
	"net/url"
	"text/tabwriter"
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/spf13/cobra"
)

// promisesCommand returns the verb that shows the promised completion times of jobs.
func promisesCommand() *cobra.Command {
	var addr, class, job string
	var jsonOutput, atRisk bool
	command := &cobra.Command{
		Use: "promises", Short: "Show promised completion times: how many were kept, and those of open jobs", Args: cobra.NoArgs,
		Long: "Shows by team and class how many completion times (dates) were promised, kept, broken\nand revised, and the dates of open jobs. ADDR is any controller's own address, \"back\"\nin its settings: all show the same dates. The controller that runs a job knows best\nwhether its date is at risk.",
		RunE: func(cmd *cobra.Command, _ []string) error {
			query := url.Values{}
			for k, v := range map[string]string{"class": class, "job": job} {
				if v != "" {
					query.Set(k, v)
				}
			}
			if atRisk {
				query.Set("at_risk", "true")
			}
			var reply message.PromiseReply
			if err := requestJSON(cmd.Context(), "promises", "promises", http.MethodGet, addr, "/promises?"+query.Encode(), nil, &reply); err != nil {
				return err
			}
			if jsonOutput {
				return printJSON(cmd.OutOrStdout(), reply)
			}
			if len(reply.Open) == 0 && job != "" && !atRisk {
				return fmt.Errorf("promises: %s: no such job, or it was cancelled just now; --job takes the id of a job", job)
			}
			return printPromises(cmd.OutOrStdout(), &reply, job != "" || atRisk)
		},
	}
	command.Flags().StringVar(&addr, "addr", "", "the controller's own address (back)")
	command.Flags().StringVar(&class, "class", "", "only this class (workload)")
	command.Flags().StringVar(&job, "job", "", "only the job with this id, which may have ended")
	command.Flags().BoolVar(&atRisk, "at-risk", false, "only dates that have passed or are expected to be missed")
	command.Flags().BoolVar(&jsonOutput, "json", false, "as JSON")
	return command
}

// printPromises prints the totals by team and class, and the dates of open jobs. jobsOnly leaves
// out the totals.
func printPromises(out io.Writer, reply *message.PromiseReply, jobsOnly bool) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	formatSeconds := func(s float64) string {
		return time.Duration(s * float64(time.Second)).Round(100 * time.Millisecond).String()
	}
	if !jobsOnly {
		sum := reply.Sum
		fmt.Fprintf(out, "%s: %d ended, %d with a date: %d kept, %d broken, %d revised; worst %s late; half were promised up to %.2f times what they took; %d open\n",
			reply.Host, sum.Ended, sum.Made, sum.Kept, sum.Broken, sum.Revised, formatSeconds(sum.WorstSeconds), reply.MedianRatio, len(reply.Open)+reply.Omitted)
		fmt.Fprintln(w, "\nTEAM\tCLASS\tENDED\tMADE\tKEPT\tBROKEN\tREVISED\tWORST")
		for _, row := range reply.Rows {
			fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%s\n", row.Team, row.Class, row.Ended, row.Made, row.Kept, row.Broken, row.Revised, formatSeconds(row.WorstSeconds))
		}
	}
	if len(reply.Open) == 0 && jobsOnly {
		fmt.Fprintf(out, "no date is at risk, as far as %s knows\n", reply.Host)
	}
	if len(reply.Open) > 0 {
		fmt.Fprintln(w, "\nJOB\tTEAM\tCLASS\tSTATE\tPROMISED\tREV\tWHY\tAGE\tAT RISK")
		for _, promise := range reply.Open {
			date := "none yet"
			if promise.Revision > 0 {
				date = formatSeconds(promise.PromisedSeconds)
			}
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d\t%s\t%s\t%v\n", promise.Job, promise.Team, promise.Class, promise.State, date, promise.Revision, promise.Reason, formatSeconds(promise.AgeSeconds), promise.AtRisk)
		}
	}
	if reply.Omitted > 0 {
		fmt.Fprintf(w, "\nand %d more\n", reply.Omitted)
	}
	return w.Flush()
}
