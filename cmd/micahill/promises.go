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

func promisesCommand() *cobra.Command {
	var addr, class, job string
	var jsonOutput, atRisk bool
	c := &cobra.Command{
		Use: "promises", Short: "Show promised dates: what was kept, and what is open", Args: cobra.NoArgs,
		Long: "Shows by team and class how many dates were made, kept, broken and revised, and the\ndates of the jobs that are not over. ADDR is any controller's own address, back in its\nsettings: all tell the same. What is at risk the controller that runs a job knows best.",
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
			var p message.PromiseReply
			if err := requestJSON(cmd.Context(), "promises", "promises", http.MethodGet, addr, "/promises?"+query.Encode(), nil, &p); err != nil {
				return err
			}
			if jsonOutput {
				return printJSON(cmd.OutOrStdout(), p)
			}
			if len(p.Open) == 0 && job != "" && !atRisk {
				return fmt.Errorf("promises: %s: no such job, or it was cancelled just now; it is asked for by its id", job)
			}
			return printPromises(cmd.OutOrStdout(), &p, job != "" || atRisk)
		},
	}
	c.Flags().StringVar(&addr, "addr", "", "the controller's own address (back)")
	c.Flags().StringVar(&class, "class", "", "only this class (workload)")
	c.Flags().StringVar(&job, "job", "", "only this job, also one that is over")
	c.Flags().BoolVar(&atRisk, "at-risk", false, "only dates that have passed or would be missed")
	c.Flags().BoolVar(&jsonOutput, "json", false, "as JSON")
	return c
}

func printPromises(out io.Writer, p *message.PromiseReply, jobsOnly bool) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	formatSeconds := func(s float64) string {
		return time.Duration(s * float64(time.Second)).Round(100 * time.Millisecond).String()
	}
	if !jobsOnly {
		s := p.Sum
		fmt.Fprintf(out, "%s: %d ended, %d with a date: %d kept, %d broken, %d revised; worst %s late; half were promised up to %.2f times what they took; %d open\n",
			p.Host, s.Ended, s.Made, s.Kept, s.Broken, s.Revised, formatSeconds(s.WorstSeconds), p.MedianRatio, len(p.Open)+p.Omitted)
		fmt.Fprintln(w, "\nTEAM\tCLASS\tENDED\tMADE\tKEPT\tBROKEN\tREVISED\tWORST")
		for _, r := range p.Rows {
			fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%s\n", r.Team, r.Class, r.Ended, r.Made, r.Kept, r.Broken, r.Revised, formatSeconds(r.WorstSeconds))
		}
	}
	if len(p.Open) == 0 && jobsOnly {
		fmt.Fprintf(out, "no date is at risk, as far as %s knows\n", p.Host)
	}
	if len(p.Open) > 0 {
		fmt.Fprintln(w, "\nJOB\tTEAM\tCLASS\tSTATE\tPROMISED\tREV\tWHY\tAGE\tAT RISK")
		for _, o := range p.Open {
			date := "none yet"
			if o.Revision > 0 {
				date = formatSeconds(o.PromisedSeconds)
			}
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d\t%s\t%s\t%v\n", o.Job, o.Team, o.Class, o.State, date, o.Revision, o.Reason, formatSeconds(o.AgeSeconds), o.AtRisk)
		}
	}
	if p.Omitted > 0 {
		fmt.Fprintf(w, "\nand %d more\n", p.Omitted)
	}
	return w.Flush()
}
