package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"os/user"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/ranking"
	"github.com/spf13/cobra"
)

// rankingCommand returns the verbs that show, check and set the ranking of workloads.
func rankingCommand() *cobra.Command {
	root := &cobra.Command{
		Use: "ranking", Short: "Show and set the urgency classes that all controllers follow", Args: cobra.NoArgs,
		Long: "The ranking is an ordered list of classes of workloads, kept in the state service.\nEvery controller follows it. ADDR is any controller's own address, \"back\" in its\nsettings. docs/operations/ranking.md describes the format and the procedure.",
	}
	root.AddCommand(rankingShow(), rankingCheck(), rankingSet(), rankingHistory())
	return root
}

// requestRanking sends a request about the ranking to a controller; see requestJSON.
func requestRanking(ctx context.Context, verb, method, addr string, query url.Values, text []byte) (*message.RankingReply, error) {
	var reply message.RankingReply
	if err := requestJSON(ctx, "ranking: "+verb, "ranking", method, addr, "/ranking?"+query.Encode(), text, &reply); err != nil {
		return nil, err
	}
	return &reply, nil
}

// rankingShow returns the verb that shows the ranking, or why a job waits.
func rankingShow() *cobra.Command {
	var addr, whyJob string
	var jsonOutput bool
	command := &cobra.Command{
		Use: "show", Short: "Show the ranking, and the jobs and tasks of each class at a controller", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			query := url.Values{}
			if whyJob != "" {
				query.Set("why", whyJob)
			}
			reply, err := requestRanking(cmd.Context(), "show", http.MethodGet, addr, query, nil)
			switch {
			case err != nil:
				return err
			case jsonOutput:
				return printJSON(cmd.OutOrStdout(), reply)
			case whyJob != "":
				_, err = fmt.Fprintln(cmd.OutOrStdout(), reply.Explanation)
				return err
			}
			return printRanking(cmd.OutOrStdout(), reply)
		},
	}
	command.Flags().StringVar(&addr, "addr", "", "a controller's own address (back)")
	command.Flags().StringVar(&whyJob, "why", "", "explain which jobs are ahead of the job with this id, and what would let it start")
	command.Flags().BoolVar(&jsonOutput, "json", false, "as JSON")
	return command
}

// printRanking prints the revision of the ranking and a table of its classes.
func printRanking(out io.Writer, reply *message.RankingReply) error {
	switch {
	case reply.Revision == 0:
		fmt.Fprintln(out, "no ranking yet: the leader writes one")
	case reply.Derived:
		fmt.Fprintf(out, "revision %d, derived by %s from its policy, %s\n", reply.Revision, reply.SetBy, reply.SetAt.Format(time.RFC3339))
	default:
		fmt.Fprintf(out, "revision %d, set by %s, %s\n", reply.Revision, reply.SetBy, reply.SetAt.Format(time.RFC3339))
	}
	if reply.InvalidReason != "" {
		fmt.Fprintf(out, "a newer record can't be read, and this revision stays in force: %s\n", reply.InvalidReason)
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "\nPLACE\tCLASS\tWORKLOADS\tURGENCY\tBOUND\tPART\tJOBS\tWAITING\tLIVE")
	for _, class := range reply.Classes {
		bound, part, names, urgency := "default", "default", strings.Join(class.Workloads, " "), class.Urgency
		if class.WaitBoundSeconds > 0 {
			bound = fmt.Sprintf("%.0f s", class.WaitBoundSeconds)
		}
		if class.ReservedFraction > 0 {
			part = fmt.Sprintf("%.2f", class.ReservedFraction)
		}
		if names == "" {
			names = "all"
		}
		if urgency == "" {
			urgency = "any"
		}
		fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s\t%s\t%d\t%d\t%d\n", class.Rank, class.Name, names, urgency, bound, part, class.Jobs, class.WaitingTasks, class.LiveTasks)
	}
	fmt.Fprintf(w, "\n(in brackets): workloads that no class names; jobs and tasks are those of the teams that %s runs\n", reply.Host)
	return w.Flush()
}

// readRanking reads and parses a ranking's file, and returns its bytes, as they are sent, with
// the parsed record. Errors begin with "ranking" and the verb, and name the file.
func readRanking(verb, path string) ([]byte, ranking.Record, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, ranking.Record{}, fmt.Errorf("ranking: %s: %w", verb, err)
	}
	rec, err := ranking.Parse(b)
	if err != nil {
		return nil, ranking.Record{}, fmt.Errorf("ranking: %s: %s:%s", verb, path, strings.TrimPrefix(err.Error(), "ranking: "))
	}
	return b, rec, nil
}

// printWarnings prints the warnings about a valid ranking, one a line.
func printWarnings(out io.Writer, rec ranking.Record) {
	for _, warning := range rec.Warnings() {
		fmt.Fprintln(out, "micahill: ranking: warning:", warning)
	}
}

// rankingCheck returns the verb that checks the file of a ranking.
func rankingCheck() *cobra.Command {
	return &cobra.Command{
		Use: "check FILE", Short: "Check a ranking's file and say what is wrong with it", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			_, rec, err := readRanking("check", args[0])
			if err != nil {
				return err
			}
			printWarnings(cmd.ErrOrStderr(), rec)
			_, err = fmt.Fprintf(cmd.OutOrStdout(), "%s: %d classes: ok\n", args[0], len(rec.Classes))
			return err
		},
	}
}

// rankingSet returns the verb that sets the ranking.
func rankingSet() *cobra.Command {
	var addr, by string
	var rev int64
	command := &cobra.Command{
		Use: "set FILE", Short: "Set the ranking for all controllers", Args: cobra.ExactArgs(1),
		Long: "Sets the ranking in FILE, as a whole or not at all. With --rev N, sets it only if N\nis the present revision, which show prints; otherwise replaces any revision.",
		RunE: func(cmd *cobra.Command, args []string) error {
			b, rec, err := readRanking("set", args[0])
			if err != nil {
				return err
			}
			if cmd.Flags().Changed("rev") && rev < 0 {
				return errors.New("ranking: set: --rev is negative: want a revision, as show prints it")
			}
			if by == "" {
				by = "operator"
				if u, err := user.Current(); err == nil && u.Username != "" {
					by = u.Username
				}
			}
			printWarnings(cmd.ErrOrStderr(), rec)
			query := url.Values{"by": {by}}
			if cmd.Flags().Changed("rev") {
				query.Set("rev", fmt.Sprint(rev))
			}
			reply, err := requestRanking(cmd.Context(), "set", http.MethodPost, addr, query, b)
			if err != nil {
				return err
			}
			_, err = fmt.Fprintf(cmd.OutOrStdout(), "revision %d holds\n", reply.Revision)
			return err
		},
	}
	command.Flags().StringVar(&addr, "addr", "", "a controller's own address (back)")
	command.Flags().StringVar(&by, "by", "", "who sets the ranking; absent: the name of the user")
	command.Flags().Int64Var(&rev, "rev", 0, "set only if this is the present revision")
	return command
}

// rankingHistory returns the verb that shows the last rankings.
func rankingHistory() *cobra.Command {
	var addr string
	var jsonOutput bool
	command := &cobra.Command{
		Use: "history", Short: "Show the last rankings", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			reply, err := requestRanking(cmd.Context(), "history", http.MethodGet, addr, url.Values{"history": {"true"}}, nil)
			if err != nil {
				return err
			}
			if jsonOutput {
				return printJSON(cmd.OutOrStdout(), reply.History)
			}
			w := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 2, ' ', 0)
			fmt.Fprintln(w, "REVISION\tBY\tAT\tDERIVED\tCLASSES")
			for _, entry := range reply.History {
				var names []string
				for _, class := range entry.Classes {
					names = append(names, class.Name)
				}
				fmt.Fprintf(w, "%d\t%s\t%s\t%v\t%s\n", entry.Revision, entry.SetBy, entry.SetAt.Format(time.RFC3339), entry.Derived, strings.Join(names, " "))
			}
			return w.Flush()
		},
	}
	command.Flags().StringVar(&addr, "addr", "", "a controller's own address (back)")
	command.Flags().BoolVar(&jsonOutput, "json", false, "as JSON")
	return command
}
