// Command micahill is a cluster scheduler's controller: it takes users' jobs,
// rents machines and runs the jobs' tasks on them.
package main

import (
	"context"
	crand "crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"os"
	"runtime"
	"runtime/debug"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/micahill/micahill/internal/api"
	"github.com/micahill/micahill/internal/cloud"
	"github.com/micahill/micahill/internal/config"
	"github.com/micahill/micahill/internal/core"
	"github.com/micahill/micahill/internal/metrics"
	"github.com/micahill/micahill/internal/peer"
	"github.com/micahill/micahill/internal/policy"
	"github.com/micahill/micahill/internal/server"
	"github.com/micahill/micahill/internal/state"
	"github.com/micahill/micahill/internal/worker"
	"github.com/spf13/cobra"
)

const (
	// memoryPart of the process's memory is left to Go's heap: well below the
	// limit, above which the process is killed.
	memoryPart = 0.6
	// gcPercent trades memory, of which there is enough, for processor time,
	// which is short.
	gcPercent = 300
)

var version = "0.1.0"

func main() {
	if err := command().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "micahill:", err)
		os.Exit(1)
	}
}

func command() *cobra.Command {
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
			return serve(cmd.Context(), path, script, enable)
		},
	}
	root.Flags().StringVar(&path, "config", "", "settings file (TOML)")
	root.Flags().StringVar(&script, "policy", "", "operators' policy (Starlark); absent: built-in defaults")
	root.Flags().StringArrayVar(&enable, "enable", nil, "file under deploy/ that switches something on; repeatable")
	check := &cobra.Command{
		Use: "check", Short: "Check a settings file and say what is wrong with it", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if path == "" {
				return errors.New("--config FILE is missing; see --help")
			}
			c, err := config.Load(path)
			if err != nil {
				return err
			}
			if _, err := policy.Load(script); err != nil {
				return err
			}
			x, err := config.LoadExtras(enable)
			if err != nil {
				return err
			}
			if err := checkOverflow(x.Overflow, c); err != nil {
				return err
			}
			for _, w := range c.Warnings() {
				fmt.Fprintln(cmd.ErrOrStderr(), "micahill: settings: warning:", w)
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s: controller %s of %d, %d team(s): ok\n", path, c.HostName, len(c.Peers)+1, len(c.Deployment.Teams))
			return nil
		},
	}
	check.Flags().StringVar(&path, "config", "", "settings file (TOML)")
	check.Flags().StringVar(&script, "policy", "", "operators' policy (Starlark) to check as well")
	check.Flags().StringArrayVar(&enable, "enable", nil, "file under deploy/ to check as well; repeatable")
	root.AddCommand(peersCommand(), drainCommand(), undrainCommand(), rankingCommand())
	root.AddCommand(check, statusCommand(), promisesCommand(), keysCommand(), &cobra.Command{
		Use: "version", Short: "Print the version", Args: cobra.NoArgs,
		Run: func(cmd *cobra.Command, _ []string) { fmt.Fprintln(cmd.OutOrStdout(), "micahill", version) },
	})
	return root
}

func logLevel() slog.Level {
	switch os.Getenv("LOG_LEVEL") {
	case "debug":
		return slog.LevelDebug
	case "error":
		return slog.LevelError
	}
	return slog.LevelInfo
}

func serve(ctx context.Context, path, script string, enable []string) error {
	if ctx == nil {
		ctx = context.Background()
	}
	slog.SetDefault(slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: logLevel()})))
	c, err := config.Load(path)
	if err != nil {
		return err
	}
	pol, err := policy.Load(script)
	if err != nil {
		return err
	}
	extras, err := config.LoadExtras(enable)
	if err != nil {
		return err
	}
	if err := checkOverflow(extras.Overflow, c); err != nil {
		return err
	}
	for _, w := range c.Warnings() {
		slog.Warn("settings", "tight", w)
	}
	// One thread at a time runs here anyway; more would only switch.
	runtime.GOMAXPROCS(1)
	debug.SetMemoryLimit(int64(c.Deployment.Quota.MemoryMB * memoryPart * (1 << 20)))
	debug.SetGCPercent(gcPercent)

	var seed [32]byte
	if _, err := crand.Read(seed[:]); err != nil {
		return fmt.Errorf("seed: %w", err)
	}
	nonce := fmt.Sprintf("%x", binary.LittleEndian.Uint64(seed[:8]))
	set := c.Settings(pol, nonce)
	set.Capabilities = extras.Capabilities()
	node := core.New(set, rand.New(rand.NewChaCha8(seed)))

	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	peers := map[string]string{}
	for _, p := range c.Peers {
		peers[p.HostName] = p.Address
	}
	d := &c.Deployment
	st := state.New(c.Endpoints.State, d.State.RPS, d.State.Strictest().WriteRPS, len(c.Peers)+1)
	cl := cloud.New(c.Endpoints.Cloud, d.Cloud.RPS)
	wk := worker.New(d.Quota.Sockets)
	pn := peer.StartSender(ctx, peers)
	met := metrics.New()
	var dates func(core.PromiseTotals)
	if set.Capabilities.Promises {
		dates = metrics.RegisterPromises(met.Registry())
	}
	srv := server.New(node, server.EffectHandlers{
		Store: func(ctx context.Context, op core.StoreRequest) core.StoreResponse {
			began := time.Now()
			done := st.Do(ctx, op)
			met.State(op.Kind, done.Status, time.Since(began))
			return done
		},
		Cloud: func(ctx context.Context, op core.CloudRequest) core.CloudResponse {
			began := time.Now()
			done := cl.Do(ctx, op)
			met.Cloud(op.Kind, done.Status, time.Since(began))
			return done
		},
		Worker: func(ctx context.Context, op core.WorkerRequest) core.WorkerResponse {
			began := time.Now()
			done := wk.Do(ctx, op)
			met.Commands(done, time.Since(began))
			return done
		},
		SendPeerUpdate: pn.Send,
		RoleChanged:    met.Role,
		SetRates: func(r core.Rates) {
			st.SetRates(r)
			met.Rates(r)
		},
		InternalError: met.InternalError,
		ObserveStep:   met.Step,
		PromiseTotals: dates,
		GPUCapacity:   met.GPUCapacity,
	})
	slog.Info("micahill starts", "version", version, "host", c.HostName, "nonce", nonce)
	errs := make(chan error, 5)
	var more []func(*echo.Echo)
	if o := extras.Overflow; o != nil {
		routes, err := startOverflow(ctx, o, c, srv, met.Registry(), rand.New(rand.NewChaCha8(seed)), errs)
		if err != nil {
			return err
		}
		more = append(more, routes)
	}
	if set.Capabilities.Ranking {
		more = append(more, api.RankingRoutes(srv))
	}
	if set.Capabilities.Promises {
		more = append(more, api.PromiseRoutes(srv))
	}
	go func() { errs <- api.Serve(ctx, c.APIAddr, d.Quota.Sockets, srv, met.Request) }()
	go func() {
		// Users and workers are served while this address is still in use.
		back, err := peer.Listen(ctx, c.InternalAddr, func(n core.PeerUpdate) { srv.Post(n) })
		if err != nil {
			errs <- err
			return
		}
		errs <- api.ServeOperators(ctx, back, srv, met.Handler(), more...)
	}()
	go func() { errs <- srv.Run(ctx) }()
	return <-errs
}
