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

// keysCommand returns the verbs that create, issue, show and rotate the certificates of the
// operators' own CA.
func keysCommand() *cobra.Command {
	root := &cobra.Command{
		Use: "keys", Short: "Make, issue, show and rotate the operators' own certificates",
		Long: "Clusters authenticate each other with certificates of a CA that their operators keep:\n\n" +
			"  micahill keys init --dir ca\n" +
			"  micahill keys issue --dir ca --cluster east --out east-keys\n" +
			"  micahill keys show --dir east-keys\n\n" +
			"Copy east-keys to every controller of east; a running controller reloads changed\n" +
			"files by itself. To rotate the CA without an outage:\n\n" +
			"  micahill keys rotate --dir ca            # adds a new CA beside the old one\n" +
			"  (copy ca/ca.pem into every cluster's directory, on all controllers)\n" +
			"  micahill keys issue ...                  # for every cluster; copy the results\n" +
			"  micahill keys rotate --dir ca --finish   # removes the old CA; copy ca.pem again",
	}
	root.AddCommand(keysInit(), keysIssue(), keysShow(), keysRotate())
	return root
}

// addDirFlag adds the flag --dir, the directory that a verb works on, and returns the command.
func addDirFlag(command *cobra.Command, dir *string) *cobra.Command {
	command.Flags().StringVar(dir, "dir", "", "the directory of the CA; for show, also that of a cluster")
	return command
}

// requireFlag returns an error if value, that of the named flag, is empty.
func requireFlag(flag, value string) error {
	if value == "" {
		return fmt.Errorf("keys: --%s is missing; see micahill keys --help", flag)
	}
	return nil
}

// keysInit returns the verb that creates a CA.
func keysInit() *cobra.Command {
	var dir string
	return addDirFlag(&cobra.Command{
		Use: "init", Short: "Make a CA in a new directory", Args: cobra.NoArgs,
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

// keysIssue returns the verb that issues the certificate of a cluster.
func keysIssue() *cobra.Command {
	var dir, cluster, out string
	var days int
	command := &cobra.Command{
		Use: "issue", Short: "Issue a cluster's certificate", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := errors.Join(requireFlag("dir", dir), requireFlag("cluster", cluster), requireFlag("out", out)); err != nil {
				return err
			}
			if err := certs.Issue(dir, cluster, out, time.Duration(days)*24*time.Hour, time.Now()); err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s: a certificate for %s, valid for %d days. Copy the directory to all controllers of this cluster.\n", out, cluster, days)
			return nil
		},
	}
	command.Flags().StringVar(&cluster, "cluster", "", "the cluster's name, as in overflow.cluster")
	command.Flags().StringVar(&out, "out", "", "the directory to write to")
	command.Flags().IntVar(&days, "days", int(certs.CertValidity.Hours()/24), "for how many days the certificate is valid")
	return addDirFlag(command, &dir)
}

// keysShow returns the verb that shows the certificates of a directory.
func keysShow() *cobra.Command {
	var dir string
	var asJSON bool
	command := &cobra.Command{
		Use: "show", Short: "Show a directory's certificates; exit status 1 if one has a problem", Args: cobra.NoArgs,
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
	command.Flags().BoolVar(&asJSON, "json", false, "as JSON")
	return addDirFlag(command, &dir)
}

// keysRotate returns the verb that starts the rotation of a CA, or finishes it with --finish.
func keysRotate() *cobra.Command {
	var dir string
	var finish bool
	command := &cobra.Command{
		Use: "rotate", Short: "Add a new CA beside the old one; with --finish, remove the old one", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := requireFlag("dir", dir); err != nil {
				return err
			}
			if finish {
				if err := certs.FinishRotation(dir); err != nil {
					return err
				}
				fmt.Fprintf(cmd.OutOrStdout(), "%s: the old CA is removed. Copy ca.pem to every cluster, which trusts the old CA until then.\n", dir)
				return nil
			}
			if err := certs.Rotate(dir, time.Now()); err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s: a new CA beside the old one. Next: copy ca.pem to every cluster, then issue new certificates.\n", dir)
			return nil
		},
	}
	command.Flags().BoolVar(&finish, "finish", false, "remove the old CA")
	return addDirFlag(command, &dir)
}

// printKeys prints the certificates as a table or as JSON, and returns an error if one of them
// has a problem.
func printKeys(out io.Writer, infos []certs.Info, asJSON bool, now time.Time) error {
	problem := ""
	for _, info := range infos {
		if info.Problem != "" {
			problem = info.File + ": " + info.Problem
		}
	}
	if asJSON {
		if err := printJSON(out, infos); err != nil {
			return fmt.Errorf("keys: %w", err)
		}
	} else {
		w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
		fmt.Fprintln(w, "FILE\tNAME\tCLUSTER\tGOOD FOR\tFINGERPRINT\tPROBLEM")
		for _, info := range infos {
			fmt.Fprintf(w, "%s\t%s\t%s\t%d days\t%s\t%s\n", info.File, info.Name, info.Cluster, int(info.NotAfter.Sub(now).Hours()/24), info.Fingerprint, info.Problem)
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
