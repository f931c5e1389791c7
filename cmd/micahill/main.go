// Command micahill is a cluster scheduler's controller: it takes users' jobs,
// rents machines and runs the jobs' tasks on them.
package main

import (
	"context"

	"github.com/micahill/micahill/internal/message"

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
	"github.com/micahill/micahill/internal/controller"
	"github.com/micahill/micahill/internal/metrics"
	"github.com/micahill/micahill/internal/peer"
	"github.com/micahill/micahill/internal/policy"
	"github.com/micahill/micahill/internal/server"
	"github.com/micahill/micahill/internal/state"
	"github.com/micahill/micahill/internal/worker"
	"github.com/spf13/cobra"
)

const (
	// heapFraction of the process's memory is left to Go's heap: well below the
	// limit, above which the process is killed.
	heapFraction = 0.6
	// gcPercent trades memory, of which there is enough, for processor time,
	// which is short.
	gcPercent = 300
)

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
	check := &cobra.Command{
		Use: "check", Short: "Check a settings file and say what is wrong with it", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if path == "" {
				return errors.New("--config FILE is missing; see --help")
			}
			cfg, err := config.Load(path)
			if err != nil {
				return err
			}
			if _, err := policy.Load(script); err != nil {
				return err
			}
			extras, err := config.LoadExtras(enable)
			if err != nil {
				return err
			}
			if err := checkOverflow(extras.Overflow, cfg); err != nil {
				return err
			}
			for _, w := range cfg.Warnings() {
				fmt.Fprintln(cmd.ErrOrStderr(), "micahill: settings: warning:", w)
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s: controller %s of %d, %d team(s): ok\n", path, cfg.HostName, len(cfg.Peers)+1, len(cfg.Deployment.Teams))
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

func runController(ctx context.Context, path, script string, enable []string) error {
	if ctx == nil {
		ctx = context.Background()
	}
	slog.SetDefault(slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: logLevel()})))
	cfg, err := config.Load(path)
	if err != nil {
		return err
	}
	scriptPolicy, err := policy.Load(script)
	if err != nil {
		return err
	}
	extras, err := config.LoadExtras(enable)
	if err != nil {
		return err
	}
	if err := checkOverflow(extras.Overflow, cfg); err != nil {
		return err
	}
	for _, w := range cfg.Warnings() {
		slog.Warn("settings", "tight", w)
	}
	// One thread at a time runs here anyway; more would only switch.
	runtime.GOMAXPROCS(1)
	debug.SetMemoryLimit(int64(cfg.Deployment.Quota.MemoryMB * heapFraction * (1 << 20)))
	debug.SetGCPercent(gcPercent)

	var seed [32]byte
	if _, err := crand.Read(seed[:]); err != nil {
		return fmt.Errorf("seed: %w", err)
	}
	nonce := fmt.Sprintf("%x", binary.LittleEndian.Uint64(seed[:8]))
	settings := cfg.Settings(scriptPolicy, nonce)
	settings.Capabilities = extras.Capabilities()
	ctrl := controller.New(settings, rand.New(rand.NewChaCha8(seed)))

	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	peers := map[string]string{}
	for _, p := range cfg.Peers {
		peers[p.HostName] = p.Address
	}
	deployment := &cfg.Deployment
	stateClient := state.New(cfg.Endpoints.State, deployment.State.RPS, deployment.State.Strictest().WriteRPS, len(cfg.Peers)+1)
	cloudClient := cloud.New(cfg.Endpoints.Cloud, deployment.Cloud.RPS)
	workerClient := worker.New(deployment.Quota.Sockets)
	peerSender := peer.StartSender(ctx, peers)
	recorder := metrics.New()
	var reportPromises func(message.PromiseTotals)
	if settings.Capabilities.Promises {
		reportPromises = metrics.RegisterPromises(recorder.Registry())
	}
	srv := server.New(ctrl, server.EffectHandlers{
		Store: func(ctx context.Context, op message.StoreRequest) message.StoreResponse {
			began := time.Now()
			done := stateClient.Do(ctx, op)
			recorder.State(op.Kind, done.Status, time.Since(began))
			return done
		},
		Cloud: func(ctx context.Context, op message.CloudRequest) message.CloudResponse {
			began := time.Now()
			done := cloudClient.Do(ctx, op)
			recorder.Cloud(op.Kind, done.Status, time.Since(began))
			return done
		},
		Worker: func(ctx context.Context, op message.WorkerRequest) message.WorkerResponse {
			began := time.Now()
			done := workerClient.Do(ctx, op)
			recorder.Commands(done, time.Since(began))
			return done
		},
		SendPeerUpdate: peerSender.Send,
		RoleChanged:    recorder.Role,
		SetRates: func(r message.Rates) {
			stateClient.SetRates(r)
			recorder.Rates(r)
		},
		InternalError: recorder.InternalError,
		ObserveStep:   recorder.Step,
		PromiseTotals: reportPromises,
		GPUCapacity:   recorder.GPUCapacity,
	})
	slog.Info("micahill starts", "version", version, "host", cfg.HostName, "nonce", nonce)
	failures := make(chan error, 5)
	var extraRoutes []func(*echo.Echo)
	if o := extras.Overflow; o != nil {
		routes, err := startOverflow(ctx, o, cfg, srv, recorder.Registry(), rand.New(rand.NewChaCha8(seed)), failures)
		if err != nil {
			return err
		}
		extraRoutes = append(extraRoutes, routes)
	}
	if settings.Capabilities.Ranking {
		extraRoutes = append(extraRoutes, api.RankingRoutes(srv))
	}
	if settings.Capabilities.Promises {
		extraRoutes = append(extraRoutes, api.PromiseRoutes(srv))
	}
	go func() { failures <- api.Serve(ctx, cfg.APIAddr, deployment.Quota.Sockets, srv, recorder.Request) }()
	go func() {
		// Users and workers are served while this address is still in use.
		back, err := peer.Listen(ctx, cfg.InternalAddr, func(n message.PeerUpdate) { srv.Post(n) })
		if err != nil {
			failures <- err
			return
		}
		failures <- api.ServeOperators(ctx, back, srv, recorder.Handler(), extraRoutes...)
	}()
	go func() { failures <- srv.Run(ctx) }()
	return <-failures
}
