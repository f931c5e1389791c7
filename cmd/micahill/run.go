package main

import (
	"context"
	crand "crypto/rand"
	"encoding/binary"
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
	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/metrics"
	"github.com/micahill/micahill/internal/peer"
	"github.com/micahill/micahill/internal/policy"
	"github.com/micahill/micahill/internal/server"
	"github.com/micahill/micahill/internal/state"
	"github.com/micahill/micahill/internal/worker"
)

// The memory limits of the process, and the number of its services.
const (
	// heapFraction is the part of the process's memory limit that Go's heap may take. The rest is
	// for stacks, buffers and garbage, since the process is killed above its limit.
	heapFraction = 0.6
	// gcPercent is the garbage collector's target percentage (GOGC). It is above Go's default of
	// 100 because memory is plentiful and processor time is scarce.
	gcPercent = 300
	// serviceCount is the largest number of goroutines that a controller runs until one of them
	// fails: the two listeners, the event loop, and with overflow the broker and its listener.
	serviceCount = 5
)

// startup holds the settings, the policy and the extra files that a controller is started with.
// All of them are validated.
type startup struct {
	config *config.Config
	policy controller.Policy
	extras *config.Extras
}

// loadStartup reads and validates the settings, the operators' policy script and the files that
// enable features.
func loadStartup(path, script string, enable []string) (*startup, error) {
	cfg, err := config.Load(path)
	if err != nil {
		return nil, err
	}
	scriptPolicy, err := policy.Load(script)
	if err != nil {
		return nil, err
	}
	extras, err := config.LoadExtras(enable)
	if err != nil {
		return nil, err
	}
	if err := checkOverflow(extras.Overflow, cfg); err != nil {
		return nil, err
	}
	return &startup{config: cfg, policy: scriptPolicy, extras: extras}, nil
}

// logLevel returns the level that the environment variable LOG_LEVEL sets; the default is info.
func logLevel() slog.Level {
	switch os.Getenv("LOG_LEVEL") {
	case "debug":
		return slog.LevelDebug
	case "error":
		return slog.LevelError
	}
	return slog.LevelInfo
}

// limitRuntime limits Go's runtime to the processor and memory quota of the process.
func limitRuntime(memoryMB float64) {
	// The process has a quota of about one processor, so more threads would only add context
	// switches.
	runtime.GOMAXPROCS(1)
	debug.SetMemoryLimit(int64(memoryMB * heapFraction * (1 << 20)))
	debug.SetGCPercent(gcPercent)
}

// runController runs one controller until the context ends or a service of the controller fails,
// and returns the reason.
func runController(ctx context.Context, path, script string, enable []string) error {
	slog.SetDefault(slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: logLevel()})))
	start, err := loadStartup(path, script, enable)
	if err != nil {
		return err
	}
	cfg := start.config
	for _, warning := range cfg.Warnings() {
		slog.Warn("settings leave little margin", "warning", warning)
	}
	limitRuntime(cfg.Deployment.Quota.MemoryMB)

	var seed [32]byte
	if _, err := crand.Read(seed[:]); err != nil {
		return fmt.Errorf("random seed: %w", err)
	}
	// The incarnation distinguishes this process from earlier ones on the same host.
	incarnation := fmt.Sprintf("%x", binary.LittleEndian.Uint64(seed[:8]))
	settings := cfg.Settings(start.policy, incarnation)
	settings.Capabilities = start.extras.Capabilities()
	ctrl := controller.New(settings, rand.New(rand.NewChaCha8(seed)))

	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	recorder := metrics.New()
	srv := server.New(ctrl, effectHandlers(ctx, cfg, settings.Capabilities, recorder))
	slog.Info("controller started", "version", version, "host", cfg.HostName, "incarnation", incarnation)
	failures := make(chan error, serviceCount)
	var extraRoutes []func(*echo.Echo)
	if overflowConfig := start.extras.Overflow; overflowConfig != nil {
		routes, err := startOverflow(ctx, overflowConfig, cfg, srv, recorder.Registry(), rand.New(rand.NewChaCha8(seed)), failures)
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
	startServices(ctx, cfg, srv, recorder, extraRoutes, failures)
	return <-failures
}

// effectHandlers creates the clients of the state service, the cloud, the workers and the peers,
// and connects them to the controller's effects. It records the result and the latency of each
// request to the state service, the cloud and the workers.
func effectHandlers(ctx context.Context, cfg *config.Config, capabilities controller.Capabilities, recorder *metrics.Recorder) server.EffectHandlers {
	deployment := &cfg.Deployment
	peers := map[string]string{}
	for _, p := range cfg.Peers {
		peers[p.HostName] = p.Address
	}
	stateClient := state.New(cfg.Endpoints.State, deployment.State.RPS, deployment.State.Strictest().WriteRPS, len(cfg.Peers)+1)
	cloudClient := cloud.New(cfg.Endpoints.Cloud, deployment.Cloud.RPS)
	workerClient := worker.New(deployment.Quota.Sockets)
	handlers := server.EffectHandlers{
		Store: func(ctx context.Context, request message.StoreRequest) message.StoreResponse {
			began := time.Now()
			response := stateClient.Do(ctx, request)
			recorder.State(request.Kind, response.Status, time.Since(began))
			return response
		},
		Cloud: func(ctx context.Context, request message.CloudRequest) message.CloudResponse {
			began := time.Now()
			response := cloudClient.Do(ctx, request)
			recorder.Cloud(request.Kind, response.Status, time.Since(began))
			return response
		},
		Worker: func(ctx context.Context, request message.WorkerRequest) message.WorkerResponse {
			began := time.Now()
			response := workerClient.Do(ctx, request)
			recorder.Commands(response, time.Since(began))
			return response
		},
		SendPeerUpdate: peer.StartSender(ctx, peers).Send,
		RoleChanged:    recorder.Role,
		SetRates: func(rates message.Rates) {
			stateClient.SetRates(rates)
			recorder.Rates(rates)
		},
		InternalError: recorder.InternalError,
		ObserveStep:   recorder.Step,
		GPUCapacity:   recorder.GPUCapacity,
		Waits:         recorder.Waits,
	}
	if capabilities.Promises {
		handlers.PromiseTotals = metrics.RegisterPromises(recorder.Registry())
	}
	return handlers
}

// startServices starts the event loop and both listeners. Each of them sends its error to
// failures when it ends.
func startServices(ctx context.Context, cfg *config.Config, srv *server.Server, recorder *metrics.Recorder, extraRoutes []func(*echo.Echo), failures chan<- error) {
	go func() {
		failures <- api.Serve(ctx, cfg.APIAddr, cfg.Deployment.Quota.Sockets, srv, recorder.Request)
	}()
	go func() {
		// Users and workers are served while Listen waits for an internal address that is still
		// in use.
		internal, err := peer.Listen(ctx, cfg.InternalAddr, func(update message.PeerUpdate) { srv.Post(update) })
		if err != nil {
			failures <- err
			return
		}
		failures <- api.ServeOperators(ctx, internal, srv, recorder.Handler(), extraRoutes...)
	}()
	go func() { failures <- srv.Run(ctx) }()
}
