package cliapp

import (
	"context"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v3"

	"github.com/bramleydoor/bramleydoor/clock"
	"github.com/bramleydoor/bramleydoor/roster"
	"github.com/bramleydoor/bramleydoor/serve"
	"github.com/bramleydoor/bramleydoor/watch"
)

// env names the environment variable of a flag.
func env(name string) cli.ValueSourceChain {
	return cli.EnvVars("BRAMLEYDOOR_" + strings.ToUpper(strings.ReplaceAll(name, "-", "_")))
}

func stringFlag(name, value, usage string) cli.Flag {
	return &cli.StringFlag{Name: name, Value: value, Usage: usage, Sources: env(name)}
}

func listFlag(name, usage string) cli.Flag {
	return &cli.StringSliceFlag{Name: name, Usage: usage, Sources: env(name)}
}

func intFlag(name string, value int, usage string) cli.Flag {
	return &cli.IntFlag{Name: name, Value: value, Usage: usage, Sources: env(name)}
}

func durationFlag(name string, value time.Duration, usage string) cli.Flag {
	return &cli.DurationFlag{Name: name, Value: value, Usage: usage, Sources: env(name)}
}

// Defaults of serve that no package has.
const (
	defaultMaxCallers   = 10_000
	defaultMaxMessage   = 16 << 20
	defaultStartup      = 10 * time.Second
	defaultDrain        = 30 * time.Second
	defaultGroupControl = "http"
)

func serveCommand() *cli.Command {
	return &cli.Command{
		Name:  "serve",
		Usage: "run one VM; SIGTERM is a graceful stop, a second one an immediate stop",
		Flags: []cli.Flag{
			stringFlag("id", "", "name of this VM, different from all others"),
			stringFlag("zone", "", "availability zone of this VM"),
			stringFlag("listen", "127.0.0.1:6432", "address for callers"),
			stringFlag("peer", "127.0.0.1:6433", "address for other VMs"),
			stringFlag("admin", "", "address for operators: status, health and counters; empty is none"),
			stringFlag("store", "", "URL of the platform's store"),
			stringFlag("group-control", defaultGroupControl, "kind of database group control"),
			listFlag("token-key", "key of session tokens; the first signs, all verify"),
			stringFlag("peer-key", "", "key that all VMs share"),
			listFlag("user", "caller as name:password; none trusts everyone"),
			stringFlag("upstream-user", "bramleydoor", "user at the databases"),
			stringFlag("upstream-password", "", "password at the databases"),
			stringFlag("cert", "", "TLS certificate file for callers"),
			stringFlag("cert-key", "", "TLS key file"),
			listFlag("seed", "peer to join through, as id@address@zone"),
			intFlag("max-callers", defaultMaxCallers, "most callers at once"),
			intFlag("max-message", defaultMaxMessage, "largest message of a caller in bytes"),
			durationFlag("startup-timeout", defaultStartup, "time for a caller to log in"),
			durationFlag("poll-interval", watch.DefaultInterval, "time between questions to each slot"),
			durationFlag("drain-timeout", defaultDrain, "time for a graceful stop"),
			stringFlag("log-level", "info", "least level of log lines"),
			stringFlag("log-format", "text", "text or json"),
		},
		Action: runServe,
	}
}

func runServe(ctx context.Context, command *cli.Command) error {
	settings, logger, err := readSettings(command)
	if err != nil {
		return err
	}
	vm := &serve.VM{Settings: settings, Clock: clock.System{}, Logger: logger}
	if err := vm.Open(); err != nil {
		return err
	}
	return runUntilSignal(ctx, vm)
}

// readSettings checks everything together, so that one start names all
// mistakes.
func readSettings(command *cli.Command) (serve.Settings, *logrus.Logger, error) {
	var mistakes serve.Mistakes
	settings := serve.Settings{
		ID:               command.String("id"),
		Zone:             command.String("zone"),
		Listen:           command.String("listen"),
		Peer:             command.String("peer"),
		Admin:            command.String("admin"),
		Store:            command.String("store"),
		GroupControl:     command.String("group-control"),
		TokenKeys:        command.StringSlice("token-key"),
		PeerKey:          command.String("peer-key"),
		Users:            make(map[string]string),
		UpstreamUser:     command.String("upstream-user"),
		UpstreamPassword: command.String("upstream-password"),
		CertFile:         command.String("cert"),
		CertKeyFile:      command.String("cert-key"),
		MaxCallers:       command.Int("max-callers"),
		MaxMessage:       command.Int("max-message"),
		StartupTimeout:   command.Duration("startup-timeout"),
		PollInterval:     command.Duration("poll-interval"),
		DrainTimeout:     command.Duration("drain-timeout"),
	}
	for _, user := range command.StringSlice("user") {
		name, password, ok := strings.Cut(user, ":")
		if !ok || name == "" || password == "" {
			mistakes = append(mistakes, "user: want name:password")
			continue
		}
		settings.Users[name] = password
	}
	for _, seed := range command.StringSlice("seed") {
		parts := strings.Split(seed, "@")
		if len(parts) != 3 {
			mistakes = append(mistakes, "seed: want id@address@zone")
			continue
		}
		settings.Seeds = append(settings.Seeds, roster.VM{ID: parts[0], Peer: parts[1], Zone: parts[2]})
	}
	logger := logrus.New()
	level, err := logrus.ParseLevel(command.String("log-level"))
	if err != nil {
		mistakes = append(mistakes, "log-level: "+err.Error())
	}
	logger.SetLevel(level)
	switch command.String("log-format") {
	case "text":
	case "json":
		logger.SetFormatter(&logrus.JSONFormatter{})
	default:
		mistakes = append(mistakes, "log-format: want text or json")
	}
	if found, ok := settings.Check().(serve.Mistakes); ok {
		mistakes = append(mistakes, found...)
	}
	if len(mistakes) > 0 {
		return settings, nil, mistakes
	}
	return settings, logger, nil
}

// runUntilSignal runs the VM; the first signal drains it, the second ends it.
func runUntilSignal(ctx context.Context, vm *serve.VM) error {
	runCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	again := make(chan os.Signal, 1)
	go func() {
		<-ctx.Done()
		signal.Notify(again, syscall.SIGINT, syscall.SIGTERM)
		drainCtx, stop := context.WithTimeout(runCtx, vm.Settings.DrainTimeout)
		defer stop()
		go func() {
			<-again
			stop()
		}()
		vm.Stop(drainCtx)
		cancel()
	}()
	return vm.Run(runCtx)
}
