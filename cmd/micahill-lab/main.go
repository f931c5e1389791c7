// Command micahill-lab runs experiments with micahill on simulated services: clusters on loopback,
// faults, growing sizes, days in simulated time, and conditions taken out of the sources.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	root := &cobra.Command{
		Use: "micahill-lab", Short: "Experiments with micahill on stand-ins",
		Long:         "Experiments with micahill over the project's own stand-ins: nothing of a real\ncloud is touched, and all traffic stays on this machine.",
		SilenceUsage: true, SilenceErrors: true,
	}
	root.AddCommand(upCommand(), overflowCommand(), conditionsCommand(), daysCommand(), scaleCommand())
	if err := root.ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "micahill-lab:", err)
		os.Exit(1)
	}
}
