package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/micahill/micahill/internal/certs"
	"github.com/micahill/micahill/internal/config"
	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/overflow"
	"github.com/micahill/micahill/internal/overflow/broker"
	"github.com/micahill/micahill/internal/overflow/link"
	"github.com/micahill/micahill/internal/record"
	"github.com/micahill/micahill/internal/server"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/spf13/cobra"
)

// checkOverflow returns an error if overflow settings do not fit the controller's settings, or if
// the certificate or the allowed networks are invalid.
func checkOverflow(overflowConfig *config.Overflow, cfg *config.Config) error {
	if overflowConfig == nil {
		return nil
	}
	if overflowConfig.Borrow && !slices.ContainsFunc(cfg.Deployment.Teams, func(t config.Team) bool { return t.Name == overflowConfig.GuestTeam }) {
		return fmt.Errorf("overflow: field guest_team: %s is not a team of the settings", overflowConfig.GuestTeam)
	}
	certStore, err := certs.Open(overflowConfig.CertDir)
	if err != nil {
		return fmt.Errorf("overflow: field keys: %w", err)
	}
	if certStore.Cluster() != overflowConfig.Cluster {
		return fmt.Errorf("overflow: field keys: the certificate in %s is for cluster %s, not %s", overflowConfig.CertDir, certStore.Cluster(), overflowConfig.Cluster)
	}
	_, err = overflowConfig.AllowedPrefixes()
	return err
}

// startOverflow runs the broker of loans beside the controller and returns the operators' routes.
// The broker and its listener run until the context ends or they fail; each of them sends its
// error to failures.
func startOverflow(ctx context.Context, overflowConfig *config.Overflow, cfg *config.Config, srv *server.Server, reg prometheus.Registerer, rng *rand.Rand, failures chan<- error) (func(*echo.Echo), error) {
	certStore, err := certs.Open(overflowConfig.CertDir)
	if err != nil {
		return nil, fmt.Errorf("overflow: %w", err)
	}
	allow, err := overflowConfig.AllowedPrefixes()
	if err != nil {
		return nil, err
	}
	listener, err := listenForPeers(ctx, overflowConfig, cfg)
	if err != nil {
		return nil, err
	}
	settings := brokerSettings(overflowConfig, cfg)
	knownPeers := map[string]bool{}
	for cluster := range settings.Peers {
		knownPeers[cluster] = true
	}
	loanBroker := broker.New(ctx, settings, srv, &link.Client{Store: certStore, Cluster: overflowConfig.Cluster}, broker.NewMetrics(reg), rng)
	linkServer := &link.Server{Store: certStore, Cluster: overflowConfig.Cluster, Peers: knownPeers, AllowedPrefixes: allow, Handle: loanBroker.HandleHeartbeat}
	go func() { failures <- loanBroker.Run() }()
	go func() { failures <- linkServer.Serve(ctx, listener) }()
	return overflowRoutes(srv, loanBroker), nil
}

// listenForPeers opens the listener for peer clusters. By default it uses the host of the
// controller's internal address and config.DefaultOverflowPort.
func listenForPeers(ctx context.Context, overflowConfig *config.Overflow, cfg *config.Config) (net.Listener, error) {
	addr := overflowConfig.Listen
	if addr == "" {
		host, _, err := net.SplitHostPort(cfg.InternalAddr)
		if err != nil {
			return nil, fmt.Errorf("overflow: back: %w", err)
		}
		addr = net.JoinHostPort(host, config.DefaultOverflowPort)
	}
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("overflow: field listen: %w", err)
	}
	return listener, nil
}

// brokerSettings converts the settings of overflow and of the controller to those of the broker.
func brokerSettings(overflowConfig *config.Overflow, cfg *config.Config) broker.Settings {
	limits := overflow.DefaultLimits()
	limits.LoansOut, limits.LoansIn, limits.Tasks = overflowConfig.MaxLoansOut, overflowConfig.MaxLoansIn, overflowConfig.MaxLoanTasks
	limits.MinGain, limits.MaxCostRatio = record.DurationOfSeconds(overflowConfig.MinGainS), overflowConfig.MaxCostRatio
	settings := broker.Settings{
		Cluster:           overflowConfig.Cluster,
		GuestTeam:         overflowConfig.GuestTeam,
		LendEnabled:       overflowConfig.Lend,
		BorrowEnabled:     overflowConfig.Borrow,
		HeartbeatInterval: record.DurationOfSeconds(overflowConfig.ReportS),
		LoanLease:         record.DurationOfSeconds(overflowConfig.LeaseS),
		WorkerLease:       record.DurationOfSeconds(cfg.Deployment.Workers.LeaseS),
		ClockBound:        record.DurationOfSeconds(cfg.Deployment.ClockBoundMS / 1000),
		Limits:            limits,
		Peers:             map[string][]string{},
	}
	for _, peer := range overflowConfig.Peers {
		settings.Peers[peer.Cluster] = peer.Addresses
	}
	return settings
}

// overflowRoutes returns the operators' routes of overflow: the state of the peers, and drain.
func overflowRoutes(srv *server.Server, loanBroker *broker.Broker) func(*echo.Echo) {
	return func(router *echo.Echo) {
		router.GET("/peers", func(c echo.Context) error {
			ctx, cancel := context.WithTimeout(c.Request().Context(), statusTimeout)
			defer cancel()
			status, err := loanBroker.Status(ctx)
			if err != nil {
				return echo.NewHTTPError(http.StatusServiceUnavailable, err.Error())
			}
			return c.JSON(http.StatusOK, status)
		})
		router.POST("/drain", func(c echo.Context) error {
			enabled := c.QueryParam("on") == "true"
			within, err := time.ParseDuration(c.QueryParam("within"))
			if enabled && (err != nil || within < 0) {
				return echo.NewHTTPError(http.StatusBadRequest, "within: want a duration such as 10m")
			}
			ctx, cancel := context.WithTimeout(c.Request().Context(), statusTimeout)
			defer cancel()
			effect, err := srv.Ask(ctx, func(r uint64) message.Command {
				return message.DrainCommand{Reply: r, Enabled: enabled, Deadline: time.Now().Add(within)}
			})
			reply, ok := effect.(message.LoanReply)
			if err == nil && ok && reply.Status == message.LoanNotApplied {
				return echo.NewHTTPError(http.StatusConflict, "not written: the drain state was changed concurrently; check it with peers and try again")
			}
			if err != nil || !ok || reply.Status != message.LoanDurable {
				return echo.NewHTTPError(http.StatusServiceUnavailable, "not written: the state service did not answer")
			}
			return c.JSON(http.StatusOK, map[string]bool{"draining": enabled})
		})
	}
}

// peersCommand returns the verb that shows the peer clusters and the loans.
func peersCommand() *cobra.Command {
	var addr string
	var jsonOutput bool
	command := &cobra.Command{
		Use: "peers", Short: "Show the peer clusters and the loans to and from them", Args: cobra.NoArgs,
		Long: "Shows the state of this cluster's peers, and which jobs are lent and borrowed. ADDR is\na controller's own address, \"back\" in its settings. The leader answers; other\ncontrollers print the leader's name.",
		RunE: func(cmd *cobra.Command, _ []string) error {
			var status broker.Status
			if err := requestOverflow(cmd.Context(), "peers", http.MethodGet, addr, "/peers", &status); err != nil {
				return err
			}
			if jsonOutput {
				return printJSON(cmd.OutOrStdout(), status)
			}
			return printPeers(cmd.OutOrStdout(), &status)
		},
	}
	command.Flags().StringVar(&addr, "addr", "", "the controller's own address (back)")
	command.Flags().BoolVar(&jsonOutput, "json", false, "as JSON")
	return command
}

// printPeers prints the state of overflow, the peers and the loans.
func printPeers(out io.Writer, status *broker.Status) error {
	if !status.IsLeader && !status.RunsGuestTeam {
		fmt.Fprintf(out, "%s: this controller is not the leader and does not run the guest team; ask %s\n", status.Cluster, status.Leader)
		return nil
	}
	state := "serving"
	if status.Draining {
		state = "draining, borrowed jobs are gone by " + status.DrainDeadline.Format(time.RFC3339)
	}
	lent, borrowed := fmt.Sprint(len(status.Lent)), fmt.Sprint(len(status.Borrowed))
	if !status.IsLeader {
		lent = "not known here, ask " + status.Leader
	}
	if !status.RunsGuestTeam {
		borrowed = "not known here"
	}
	fmt.Fprintf(out, "%s: %s; lent: %s; borrowed: %s\n", status.Cluster, state, lent, borrowed)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "\nPEER\tSTATE\tTRUST\tDELAY\tHEARD\tCIRCUIT\tOFFERS\tLENT\tBORROWED")
	for _, peer := range status.Peers {
		circuit, heard := "closed", "never"
		if peer.BreakerOpen {
			circuit = "open"
		}
		if peer.HeardSeconds > 0 {
			heard = fmt.Sprintf("%.0f s ago", peer.HeardSeconds)
		}
		fmt.Fprintf(w, "%s\t%s\t%.2f\t%.0f ms\t%s\t%s\t%d machines\t%d\t%d\n", peer.Cluster, peer.State, peer.Trust, peer.LatencyMS, heard, circuit, peer.OfferedMachines, peer.Lent, peer.Borrowed)
	}
	if len(status.Lent)+len(status.Borrowed) > 0 {
		fmt.Fprintln(w, "\nLOAN\tSIDE\tPEER\tSTATE\tTASKS")
		for _, loan := range status.Lent {
			fmt.Fprintf(w, "%s\tlent\t%s\t%s\t%d\n", loan.Loan, loan.Peer, loan.State, loan.Tasks)
		}
		for _, loan := range status.Borrowed {
			fmt.Fprintf(w, "%s\tborrowed\t%s\t%s\t%d\n", loan.Loan, loan.Peer, loan.State, loan.Tasks)
		}
	}
	return w.Flush()
}

// drainCommand returns the verb that makes a cluster refuse further jobs of other clusters and
// give back the borrowed ones.
func drainCommand() *cobra.Command {
	var addr string
	var within time.Duration
	command := &cobra.Command{
		Use: "drain", Short: "Accept no more jobs of other clusters, and give back the borrowed ones", Args: cobra.NoArgs,
		Long: "Makes the cluster refuse further jobs of its peers, give back the borrowed jobs that\nhave not started, and finish or give back the rest within the given time. It stays\ndraining until undrain, also after restarts. Jobs of its own users are not affected.",
		RunE: func(cmd *cobra.Command, _ []string) error {
			if within < 0 {
				return errors.New("drain: --within is negative: want a duration such as 10m")
			}
			var response struct{}
			if err := requestOverflow(cmd.Context(), "drain", http.MethodPost, addr, "/drain?on=true&within="+url.QueryEscape(within.String()), &response); err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "draining: borrowed jobs are gone by %s\n", time.Now().Add(within).Format(time.RFC3339))
			return nil
		},
	}
	command.Flags().StringVar(&addr, "addr", "", "a controller's own address (back)")
	command.Flags().DurationVar(&within, "within", 10*time.Minute, "how long borrowed jobs may take to finish or be given back")
	return command
}

// undrainCommand returns the verb that ends a drain.
func undrainCommand() *cobra.Command {
	var addr string
	command := &cobra.Command{
		Use: "undrain", Short: "Accept jobs of other clusters again", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var response struct{}
			if err := requestOverflow(cmd.Context(), "undrain", http.MethodPost, addr, "/drain?on=false", &response); err != nil {
				return err
			}
			fmt.Fprintln(cmd.OutOrStdout(), "serving")
			return nil
		},
	}
	command.Flags().StringVar(&addr, "addr", "", "a controller's own address (back)")
	return command
}
