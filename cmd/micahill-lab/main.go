// Command micahill-lab runs experiments with micahill on simulated services: clusters on
// loopback, lending under faults, measurements of clusters of growing size, days in simulated
// time, and a mutation test of the safety conditions.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
)

// main runs the command line until it ends or is interrupted, and exits with status 1 if the
// command fails.
func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	root := &cobra.Command{
		Use: "micahill-lab", Short: "Experiments with micahill on simulated services",
		Long:         "Experiments with micahill on simulated services: no real cloud is used, and all\ntraffic stays on this machine.",
		SilenceUsage: true, SilenceErrors: true,
	}
	root.AddCommand(upCommand(), overflowCommand(), conditionsCommand(), daysCommand(), scaleCommand())
	if err := root.ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "micahill-lab:", err)
		os.Exit(1)
	}
}
