package main

import (
	"errors"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/micahill/micahill/internal/certs"
	"github.com/spf13/cobra"
)

// keysCommand makes and keeps the operators' own certificates.
func keysCommand() *cobra.Command {
	root := &cobra.Command{
		Use: "keys", Short: "Make, issue, show and rotate the operators' own certificates",
		Long: "Clusters know each other by certificates of a CA that their operators keep:\n\n" +
			"  micahill keys init --dir ca\n" +
			"  micahill keys issue --dir ca --cluster east --out east-keys\n" +
			"  micahill keys show --dir east-keys\n\n" +
			"Copy east-keys to every controller of east; a running controller takes changed\n" +
			"files up by itself. To rotate the CA, without an outage:\n\n" +
			"  micahill keys rotate --dir ca            # trusted beside the old one\n" +
			"  (copy ca/ca.pem into every cluster's folder, on all controllers)\n" +
			"  micahill keys issue ...                  # for every cluster, and copy\n" +
			"  micahill keys rotate --dir ca --finish   # the old one goes; copy ca.pem",
	}
	root.AddCommand(keysInit(), keysIssue(), keysShow(), keysRotate())
	return root
}

// addDirFlag gives a verb the folder that it works on.
func addDirFlag(c *cobra.Command, dir *string) *cobra.Command {
	c.Flags().StringVar(dir, "dir", "", "the folder of the CA, or for show of a cluster")
	return c
}

// requireFlag refuses a flag that was not given.
func requireFlag(flag, value string) error {
	if value == "" {
		return fmt.Errorf("keys: --%s is missing; see micahill keys --help", flag)
	}
	return nil
}

func keysInit() *cobra.Command {
	var dir string
	return addDirFlag(&cobra.Command{
		Use: "init", Short: "Make a CA in a new folder", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := requireFlag("dir", dir); err != nil {
				return err
			}
			if err := certs.Init(dir, time.Now()); err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s: a new CA. Keep ca.key where only you can read it.\n", dir)
			return nil
		},
	}, &dir)
}

func keysIssue() *cobra.Command {
	var dir, cluster, out string
	var days int
	c := &cobra.Command{
		Use: "issue", Short: "Issue a cluster's certificate", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := errors.Join(requireFlag("dir", dir), requireFlag("cluster", cluster), requireFlag("out", out)); err != nil {
				return err
			}
			if err := certs.Issue(dir, cluster, out, time.Duration(days)*24*time.Hour, time.Now()); err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s: a certificate for %s, good for %d days. Copy the folder to all its controllers.\n", out, cluster, days)
			return nil
		},
	}
	c.Flags().StringVar(&cluster, "cluster", "", "the cluster's name, as in overflow.cluster")
	c.Flags().StringVar(&out, "out", "", "the folder to write to")
	c.Flags().IntVar(&days, "days", int(certs.CertValidity.Hours()/24), "for how many days it is good")
	return addDirFlag(c, &dir)
}

func keysShow() *cobra.Command {
	var dir string
	var asJSON bool
	c := &cobra.Command{
		Use: "show", Short: "Show a folder's certificates; status 1 if one is not good", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := requireFlag("dir", dir); err != nil {
				return err
			}
			infos, err := certs.Show(dir, time.Now())
			if err != nil {
				return err
			}
			return printKeys(cmd.OutOrStdout(), infos, asJSON, time.Now())
		},
	}
	c.Flags().BoolVar(&asJSON, "json", false, "as JSON")
	return addDirFlag(c, &dir)
}

func keysRotate() *cobra.Command {
	var dir string
	var finish bool
	c := &cobra.Command{
		Use: "rotate", Short: "Make a new CA beside the old one, or end that with --finish", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := requireFlag("dir", dir); err != nil {
				return err
			}
			if finish {
				if err := certs.FinishRotation(dir); err != nil {
					return err
				}
				fmt.Fprintf(cmd.OutOrStdout(), "%s: the old CA is trusted no more, once ca.pem is copied to every cluster.\n", dir)
				return nil
			}
			if err := certs.Rotate(dir, time.Now()); err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s: a new CA beside the old one. Next: copy ca.pem to every cluster, then issue anew.\n", dir)
			return nil
		},
	}
	c.Flags().BoolVar(&finish, "finish", false, "the old CA is no longer to be trusted")
	return addDirFlag(c, &dir)
}

// printKeys prints the certificates as a table or as JSONSize, and fails when one is not good.
func printKeys(out io.Writer, infos []certs.Info, asJSON bool, now time.Time) error {
	problem := ""
	for _, i := range infos {
		if i.Problem != "" {
			problem = i.File + ": " + i.Problem
		}
	}
	if asJSON {
		if err := printJSON(out, infos); err != nil {
			return fmt.Errorf("keys: %w", err)
		}
	} else {
		w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
		fmt.Fprintln(w, "FILE\tNAME\tCLUSTER\tGOOD FOR\tFINGERPRINT\tPROBLEM")
		for _, i := range infos {
			fmt.Fprintf(w, "%s\t%s\t%s\t%d days\t%s\t%s\n", i.File, i.Name, i.Cluster, int(i.NotAfter.Sub(now).Hours()/24), i.Fingerprint, i.Problem)
		}
		if err := w.Flush(); err != nil {
			return fmt.Errorf("keys: %w", err)
		}
	}
	if problem != "" {
		return fmt.Errorf("keys: show: %s", problem)
	}
	return nil
}
