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

// checkOverflow refuses overflow settings that do not fit this controller's own.
func checkOverflow(o *config.Overflow, cfg *config.Config) error {
	if o == nil {
		return nil
	}
	if o.Borrow && !slices.ContainsFunc(cfg.Deployment.Teams, func(t config.Team) bool { return t.Name == o.GuestTeam }) {
		return fmt.Errorf("overflow: field guest_team: %s is no team of the settings", o.GuestTeam)
	}
	certStore, err := certs.Open(o.CertDir)
	if err != nil {
		return fmt.Errorf("overflow: field keys: %w", err)
	}
	if certStore.Cluster() != o.Cluster {
		return fmt.Errorf("overflow: field keys: the certificate in %s is for cluster %s, not %s", o.CertDir, certStore.Cluster(), o.Cluster)
	}
	_, err = o.AllowedPrefixes()
	return err
}

// startOverflow runs lending beside the controller and returns the routes of its operators. The
// broker and its listener run until the context ends or they fail; each reports to failures.
func startOverflow(ctx context.Context, o *config.Overflow, c *config.Config, srv *server.Server, reg prometheus.Registerer, rng *rand.Rand, failures chan<- error) (func(*echo.Echo), error) {
	certStore, err := certs.Open(o.CertDir)
	if err != nil {
		return nil, fmt.Errorf("overflow: %w", err)
	}
	allow, err := o.AllowedPrefixes()
	if err != nil {
		return nil, err
	}
	ln, err := listenForPeers(ctx, o, c)
	if err != nil {
		return nil, err
	}
	settings := brokerSettings(o, c)
	knownPeers := map[string]bool{}
	for cluster := range settings.Peers {
		knownPeers[cluster] = true
	}
	loanBroker := broker.New(ctx, settings, srv, &link.Client{Store: certStore, Cluster: o.Cluster}, broker.NewMetrics(reg), rng)
	linkServer := &link.Server{Store: certStore, Cluster: o.Cluster, Peers: knownPeers, AllowedPrefixes: allow, Handle: loanBroker.HandleHeartbeat}
	go func() { failures <- loanBroker.Run() }()
	go func() { failures <- linkServer.Serve(ctx, ln) }()
	return overflowRoutes(srv, loanBroker), nil
}

// listenForPeers opens the address for peer clusters: by default a port beside the controller's
// own address.
func listenForPeers(ctx context.Context, o *config.Overflow, c *config.Config) (net.Listener, error) {
	addr := o.Listen
	if addr == "" {
		host, _, err := net.SplitHostPort(c.InternalAddr)
		if err != nil {
			return nil, fmt.Errorf("overflow: back: %w", err)
		}
		addr = net.JoinHostPort(host, config.DefaultOverflowPort)
	}
	ln, err := (&net.ListenConfig{}).Listen(ctx, "tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("overflow: field listen: %w", err)
	}
	return ln, nil
}

// brokerSettings are the settings of lending in the broker's terms.
func brokerSettings(o *config.Overflow, c *config.Config) broker.Settings {
	limits := overflow.DefaultLimits()
	limits.LoansOut, limits.LoansIn, limits.Tasks = o.MaxLoansOut, o.MaxLoansIn, o.MaxLoanTasks
	limits.MinGain, limits.MaxCostRatio = record.DurationOfSeconds(o.MinGainS), o.MaxCostRatio
	settings := broker.Settings{
		Cluster:           o.Cluster,
		GuestTeam:         o.GuestTeam,
		LendEnabled:       o.Lend,
		BorrowEnabled:     o.Borrow,
		HeartbeatInterval: record.DurationOfSeconds(o.ReportS),
		LoanLease:         record.DurationOfSeconds(o.LeaseS),
		WorkerLease:       record.DurationOfSeconds(c.Deployment.Workers.LeaseS),
		ClockBound:        record.DurationOfSeconds(c.Deployment.ClockBoundMS / 1000),
		Limits:            limits,
		Peers:             map[string][]string{},
	}
	for _, p := range o.Peers {
		settings.Peers[p.Cluster] = p.Addresses
	}
	return settings
}

// overflowRoutes are the operators' routes of lending: the peers' state, and drain.
func overflowRoutes(srv *server.Server, loanBroker *broker.Broker) func(*echo.Echo) {
	return func(e *echo.Echo) {
		e.GET("/peers", func(c echo.Context) error {
			ctx, cancel := context.WithTimeout(c.Request().Context(), statusTimeout)
			defer cancel()
			status, err := loanBroker.Status(ctx)
			if err != nil {
				return echo.NewHTTPError(http.StatusServiceUnavailable, err.Error())
			}
			return c.JSON(http.StatusOK, status)
		})
		e.POST("/drain", func(c echo.Context) error {
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
				return echo.NewHTTPError(http.StatusConflict, "not written: the drain was switched elsewhere meanwhile; look at peers and switch again")
			}
			if err != nil || !ok || reply.Status != message.LoanDurable {
				return echo.NewHTTPError(http.StatusServiceUnavailable, "not written: the state service does not answer")
			}
			return c.JSON(http.StatusOK, map[string]bool{"draining": enabled})
		})
	}
}

func peersCommand() *cobra.Command {
	var addr string
	var jsonOutput bool
	c := &cobra.Command{
		Use: "peers", Short: "Show the peer clusters and the loans between us", Args: cobra.NoArgs,
		Long: "Shows how this cluster sees its peers, and which jobs are lent and borrowed. ADDR is\na controller's own address, back in its settings; the leader knows, others name it.",
		RunE: func(cmd *cobra.Command, _ []string) error {
			var s broker.Status
			if err := requestOverflow(cmd.Context(), "peers", http.MethodGet, addr, "/peers", &s); err != nil {
				return err
			}
			if jsonOutput {
				return printJSON(cmd.OutOrStdout(), s)
			}
			return printPeers(cmd.OutOrStdout(), &s)
		},
	}
	c.Flags().StringVar(&addr, "addr", "", "the controller's own address (back)")
	c.Flags().BoolVar(&jsonOutput, "json", false, "as JSON")
	return c
}

func printPeers(out io.Writer, s *broker.Status) error {
	if !s.IsLeader && !s.RunsGuestTeam {
		fmt.Fprintf(out, "%s: this controller neither leads nor runs the guests' team; ask %s\n", s.Cluster, s.Leader)
		return nil
	}
	state := "serving"
	if s.Draining {
		state = "draining, borrowed work gone by " + s.DrainDeadline.Format(time.RFC3339)
	}
	lent, borrowed := fmt.Sprint(len(s.Lent)), fmt.Sprint(len(s.Borrowed))
	if !s.IsLeader {
		lent = "not known here, ask " + s.Leader
	}
	if !s.RunsGuestTeam {
		borrowed = "not known here"
	}
	fmt.Fprintf(out, "%s: %s; lent: %s; borrowed: %s\n", s.Cluster, state, lent, borrowed)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "\nPEER\tSTATE\tTRUST\tDELAY\tHEARD\tCIRCUIT\tOFFERS\tLENT\tBORROWED")
	for _, p := range s.Peers {
		circuit, heard := "closed", "never"
		if p.BreakerOpen {
			circuit = "open"
		}
		if p.HeardSeconds > 0 {
			heard = fmt.Sprintf("%.0f s ago", p.HeardSeconds)
		}
		fmt.Fprintf(w, "%s\t%s\t%.2f\t%.0f ms\t%s\t%s\t%d machines\t%d\t%d\n", p.Cluster, p.State, p.Trust, p.LatencyMS, heard, circuit, p.OfferedMachines, p.Lent, p.Borrowed)
	}
	if len(s.Lent)+len(s.Borrowed) > 0 {
		fmt.Fprintln(w, "\nLOAN\tSIDE\tPEER\tSTATE\tTASKS")
		for _, l := range s.Lent {
			fmt.Fprintf(w, "%s\tlent\t%s\t%s\t%d\n", l.Loan, l.Peer, l.State, l.Tasks)
		}
		for _, l := range s.Borrowed {
			fmt.Fprintf(w, "%s\tborrowed\t%s\t%s\t%d\n", l.Loan, l.Peer, l.State, l.Tasks)
		}
	}
	return w.Flush()
}

func drainCommand() *cobra.Command {
	var addr string
	var within time.Duration
	c := &cobra.Command{
		Use: "drain", Short: "Take no more work of other clusters, and give back what is here", Args: cobra.NoArgs,
		Long: "Has the cluster refuse its peers' work from now on, give back what has not begun,\nand finish or give back the rest within the given time. It stays so, whatever is\nrestarted, until undrain. Users' own jobs are taken and run as ever.",
		RunE: func(cmd *cobra.Command, _ []string) error {
			if within < 0 {
				return errors.New("drain: --within is negative: want a duration such as 10m")
			}
			var x struct{}
			if err := requestOverflow(cmd.Context(), "drain", http.MethodPost, addr, "/drain?on=true&within="+url.QueryEscape(within.String()), &x); err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "draining: borrowed work is gone by %s\n", time.Now().Add(within).Format(time.RFC3339))
			return nil
		},
	}
	c.Flags().StringVar(&addr, "addr", "", "a controller's own address (back)")
	c.Flags().DurationVar(&within, "within", 10*time.Minute, "by when borrowed work is to be gone")
	return c
}

func undrainCommand() *cobra.Command {
	var addr string
	c := &cobra.Command{
		Use: "undrain", Short: "Take work of other clusters again", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var x struct{}
			if err := requestOverflow(cmd.Context(), "undrain", http.MethodPost, addr, "/drain?on=false", &x); err != nil {
				return err
			}
			fmt.Fprintln(cmd.OutOrStdout(), "serving")
			return nil
		},
	}
	c.Flags().StringVar(&addr, "addr", "", "a controller's own address (back)")
	return c
}
