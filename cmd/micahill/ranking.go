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

// rankingCommand is the family of verbs for the order of work.
func rankingCommand() *cobra.Command {
	root := &cobra.Command{
		Use: "ranking", Short: "Show and set the urgency classes that all controllers follow", Args: cobra.NoArgs,
		Long: "The ranking is an ordered list of classes of workloads, kept in the state service.\nEvery controller follows it. ADDR is any controller's own address, back in its\nsettings. docs/operations/ranking.md says more.",
	}
	root.AddCommand(rankingShow(), rankingCheck(), rankingSet(), rankingHistory())
	return root
}

// requestRanking asks a controller for something of the ranking; see requestJSON.
func requestRanking(ctx context.Context, verb, method, addr string, query url.Values, text []byte) (*message.RankingReply, error) {
	var r message.RankingReply
	if err := requestJSON(ctx, "ranking: "+verb, "ranking", method, addr, "/ranking?"+query.Encode(), text, &r); err != nil {
		return nil, err
	}
	return &r, nil
}

func rankingShow() *cobra.Command {
	var addr, whyJob string
	var jsonOutput bool
	c := &cobra.Command{
		Use: "show", Short: "Show the ranking, and what of each class is at a controller", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			q := url.Values{}
			if whyJob != "" {
				q.Set("why", whyJob)
			}
			r, err := requestRanking(cmd.Context(), "show", http.MethodGet, addr, q, nil)
			switch {
			case err != nil:
				return err
			case jsonOutput:
				return printJSON(cmd.OutOrStdout(), r)
			case whyJob != "":
				_, err = fmt.Fprintln(cmd.OutOrStdout(), r.Explanation)
				return err
			}
			return printRanking(cmd.OutOrStdout(), r)
		},
	}
	c.Flags().StringVar(&addr, "addr", "", "a controller's own address (back)")
	c.Flags().StringVar(&whyJob, "why", "", "say what stands before this job, and what would let it go")
	c.Flags().BoolVar(&jsonOutput, "json", false, "as JSON")
	return c
}

func printRanking(out io.Writer, r *message.RankingReply) error {
	switch {
	case r.Revision == 0:
		fmt.Fprintln(out, "no ranking yet: the leader writes one")
	case r.Derived:
		fmt.Fprintf(out, "revision %d, derived by %s from its policy, %s\n", r.Revision, r.SetBy, r.SetAt.Format(time.RFC3339))
	default:
		fmt.Fprintf(out, "revision %d, set by %s, %s\n", r.Revision, r.SetBy, r.SetAt.Format(time.RFC3339))
	}
	if r.InvalidReason != "" {
		fmt.Fprintf(out, "a newer record can't be read, and this one goes on to count: %s\n", r.InvalidReason)
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "\nPLACE\tCLASS\tWORKLOADS\tURGENCY\tBOUND\tPART\tJOBS\tWAITING\tLIVE")
	for _, c := range r.Classes {
		bound, part, names, urgency := "default", "default", strings.Join(c.Workloads, " "), c.Urgency
		if c.WaitBoundSeconds > 0 {
			bound = fmt.Sprintf("%.0f s", c.WaitBoundSeconds)
		}
		if c.ReservedFraction > 0 {
			part = fmt.Sprintf("%.2f", c.ReservedFraction)
		}
		if names == "" {
			names = "all"
		}
		if urgency == "" {
			urgency = "any"
		}
		fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s\t%s\t%d\t%d\t%d\n", c.Rank, c.Name, names, urgency, bound, part, c.Jobs, c.WaitingTasks, c.LiveTasks)
	}
	fmt.Fprintf(w, "\n(in brackets): what no class names; jobs and tasks are those of the teams that %s has\n", r.Host)
	return w.Flush()
}

// readRanking reads and parses a ranking's file. Errors begin with "ranking", the verb and the
// file's name; the bytes are what is sent.
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

func printWarnings(out io.Writer, rec ranking.Record) {
	for _, w := range rec.Warnings() {
		fmt.Fprintln(out, "micahill: ranking: warning:", w)
	}
}

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

func rankingSet() *cobra.Command {
	var addr, by string
	var rev int64
	c := &cobra.Command{
		Use: "set FILE", Short: "Set the ranking for all controllers", Args: cobra.ExactArgs(1),
		Long: "Sets the ranking in FILE, as a whole or not at all. With --rev N only if revision\nN stands there, as show gives it; else over whichever does.",
		RunE: func(cmd *cobra.Command, args []string) error {
			b, rec, err := readRanking("set", args[0])
			if err != nil {
				return err
			}
			if cmd.Flags().Changed("rev") && rev < 0 {
				return errors.New("ranking: set: --rev is negative: want a revision, as show gives it")
			}
			if by == "" {
				by = "operator"
				if u, err := user.Current(); err == nil && u.Username != "" {
					by = u.Username
				}
			}
			printWarnings(cmd.ErrOrStderr(), rec)
			q := url.Values{"by": {by}}
			if cmd.Flags().Changed("rev") {
				q.Set("rev", fmt.Sprint(rev))
			}
			r, err := requestRanking(cmd.Context(), "set", http.MethodPost, addr, q, b)
			if err != nil {
				return err
			}
			_, err = fmt.Fprintf(cmd.OutOrStdout(), "revision %d holds\n", r.Revision)
			return err
		},
	}
	c.Flags().StringVar(&addr, "addr", "", "a controller's own address (back)")
	c.Flags().StringVar(&by, "by", "", "who sets it; absent: the user's name")
	c.Flags().Int64Var(&rev, "rev", 0, "only if this revision stands there")
	return c
}

func rankingHistory() *cobra.Command {
	var addr string
	var jsonOutput bool
	c := &cobra.Command{
		Use: "history", Short: "Show the last rankings", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			r, err := requestRanking(cmd.Context(), "history", http.MethodGet, addr, url.Values{"history": {"true"}}, nil)
			if err != nil {
				return err
			}
			if jsonOutput {
				return printJSON(cmd.OutOrStdout(), r.History)
			}
			w := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 2, ' ', 0)
			fmt.Fprintln(w, "REVISION\tBY\tAT\tDERIVED\tCLASSES")
			for _, x := range r.History {
				var names []string
				for _, c := range x.Classes {
					names = append(names, c.Name)
				}
				fmt.Fprintf(w, "%d\t%s\t%s\t%v\t%s\n", x.Revision, x.SetBy, x.SetAt.Format(time.RFC3339), x.Derived, strings.Join(names, " "))
			}
			return w.Flush()
		},
	}
	c.Flags().StringVar(&addr, "addr", "", "a controller's own address (back)")
	c.Flags().BoolVar(&jsonOutput, "json", false, "as JSON")
	return c
}
