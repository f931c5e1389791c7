// Command micahill runs the controller of a cluster scheduler: it accepts jobs from users, rents
// machines and runs the jobs' tasks on them. Its verbs are the operators' commands.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

// version is the version of the program, as "micahill version" prints it.
var version = "0.1.0"

// main runs the command line and exits with status 1 if the command fails.
func main() {
	if err := rootCommand().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "micahill:", err)
		os.Exit(1)
	}
}

// rootCommand returns the command that runs a controller, with the operators' verbs below it.
func rootCommand() *cobra.Command {
	var path, script string
	var enable []string
	root := &cobra.Command{
		Use:           "micahill --config FILE",
		Short:         "A cluster scheduler for rented machines",
		Long:          "micahill runs one controller: it takes jobs from users, rents machines from the\ncloud and runs the jobs' tasks on them. Logs go to standard error; the environment\nvariable LOG_LEVEL is error, info (the default) or debug.",
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
	root.Flags().StringVar(&script, "policy", "", "policy script of the operators (Starlark); absent: built-in defaults")
	root.Flags().StringArrayVar(&enable, "enable", nil, "file that enables a feature, such as those under deploy/; repeatable")
	root.AddCommand(peersCommand(), drainCommand(), undrainCommand(), rankingCommand())
	root.AddCommand(checkCommand(), statusCommand(), promisesCommand(), keysCommand(), &cobra.Command{
		Use: "version", Short: "Print the version", Args: cobra.NoArgs,
		Run: func(cmd *cobra.Command, _ []string) { fmt.Fprintln(cmd.OutOrStdout(), "micahill", version) },
	})
	return root
}

// checkCommand returns the verb that checks the files a controller would be started with and
// reports the first error.
func checkCommand() *cobra.Command {
	var path, script string
	var enable []string
	command := &cobra.Command{
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
			for _, warning := range cfg.Warnings() {
				fmt.Fprintln(cmd.ErrOrStderr(), "micahill: settings: warning:", warning)
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s: controller %s of %d, %d team(s): ok\n", path, cfg.HostName, len(cfg.Peers)+1, len(cfg.Deployment.Teams))
			return nil
		},
	}
	command.Flags().StringVar(&path, "config", "", "settings file (TOML)")
	command.Flags().StringVar(&script, "policy", "", "policy script of the operators (Starlark) to check as well")
	command.Flags().StringArrayVar(&enable, "enable", nil, "file under deploy/ to check as well; repeatable")
	return command
}
