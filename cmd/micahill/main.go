// Command micahill is a cluster scheduler's controller: it takes users' jobs,
// rents machines and runs the jobs' tasks on them.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

// version is the program's, as "micahill version" prints it.
var version = "0.1.0"

func main() {
	if err := rootCommand().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "micahill:", err)
		os.Exit(1)
	}
}

func rootCommand() *cobra.Command {
	var path, script string
	var enable []string
	root := &cobra.Command{
		Use:           "micahill --config FILE",
		Short:         "A cluster scheduler for rented machines",
		Long:          "micahill runs one controller: it takes jobs from users, rents machines from the\ncloud and runs the jobs' tasks on them. Logs go to standard error; LOG_LEVEL is\nerror, info or debug.",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if path == "" {
				return errors.New("--config FILE is missing; see --help")
			}
			return runController(cmd.Context(), path, script, enable)
		},
	}
	root.Flags().StringVar(&path, "config", "", "settings file (TOML)")
	root.Flags().StringVar(&script, "policy", "", "operators' policy (Starlark); absent: built-in defaults")
	root.Flags().StringArrayVar(&enable, "enable", nil, "file under deploy/ that switches something on; repeatable")
	root.AddCommand(peersCommand(), drainCommand(), undrainCommand(), rankingCommand())
	root.AddCommand(checkCommand(), statusCommand(), promisesCommand(), keysCommand(), &cobra.Command{
		Use: "version", Short: "Print the version", Args: cobra.NoArgs,
		Run: func(cmd *cobra.Command, _ []string) { fmt.Fprintln(cmd.OutOrStdout(), "micahill", version) },
	})
	return root
}

// checkCommand reads what a controller would be started with and reports the first fault.
func checkCommand() *cobra.Command {
	var path, script string
	var enable []string
	c := &cobra.Command{
		Use: "check", Short: "Check a settings file and say what is wrong with it", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if path == "" {
				return errors.New("--config FILE is missing; see --help")
			}
			start, err := loadStartup(path, script, enable)
			if err != nil {
				return err
			}
			cfg := start.config
			for _, w := range cfg.Warnings() {
				fmt.Fprintln(cmd.ErrOrStderr(), "micahill: settings: warning:", w)
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s: controller %s of %d, %d team(s): ok\n", path, cfg.HostName, len(cfg.Peers)+1, len(cfg.Deployment.Teams))
			return nil
		},
	}
	c.Flags().StringVar(&path, "config", "", "settings file (TOML)")
	c.Flags().StringVar(&script, "policy", "", "operators' policy (Starlark) to check as well")
	c.Flags().StringArrayVar(&enable, "enable", nil, "file under deploy/ to check as well; repeatable")
	return c
}
