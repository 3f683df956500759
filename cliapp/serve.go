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

// envVar returns the environment variable of a flag as a source of its value.
func envVar(name string) cli.ValueSourceChain {
	return cli.EnvVars("BRAMLEYDOOR_" + strings.ToUpper(strings.ReplaceAll(name, "-", "_")))
}

func stringFlag(name, value, usage string) cli.Flag {
	return &cli.StringFlag{Name: name, Value: value, Usage: usage, Sources: envVar(name)}
}

func listFlag(name, usage string) cli.Flag {
	return &cli.StringSliceFlag{Name: name, Usage: usage, Sources: envVar(name)}
}

func intFlag(name string, value int, usage string) cli.Flag {
	return &cli.IntFlag{Name: name, Value: value, Usage: usage, Sources: envVar(name)}
}

func durationFlag(name string, value time.Duration, usage string) cli.Flag {
	return &cli.DurationFlag{Name: name, Value: value, Usage: usage, Sources: envVar(name)}
}

// Defaults of serve that are not defined in another package. defaultMaxMessage is in
// bytes.
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
		Usage: "run one VM; SIGTERM stops it gracefully, a second SIGTERM at once",
		Flags: []cli.Flag{
			stringFlag("id", "", "ID of this VM, unique among all VMs"),
			stringFlag("zone", "", "availability zone of this VM"),
			stringFlag("listen", "127.0.0.1:6432", "address for callers"),
			stringFlag("peer", "127.0.0.1:6433", "address for other VMs"),
			stringFlag("admin", "", "address for operators: status, health and counters; empty means none"),
			stringFlag("store", "", "URL of the platform's store"),
			stringFlag("group-control", defaultGroupControl, "name of the adapter that controls database groups"),
			listFlag("token-key", "key of session tokens; the first one signs, all of them verify"),
			stringFlag("peer-key", "", "key that authenticates VMs to each other, the same on all VMs"),
			listFlag("user", "caller as name:password; without any, callers are not authenticated"),
			stringFlag("upstream-user", "bramleydoor", "user name for the databases"),
			stringFlag("upstream-password", "", "password for the databases"),
			stringFlag("cert", "", "TLS certificate file for callers"),
			stringFlag("cert-key", "", "TLS key file"),
			listFlag("seed", "VM to join the others through, as id@address@zone"),
			intFlag("max-callers", defaultMaxCallers, "maximum number of concurrent callers"),
			intFlag("max-message", defaultMaxMessage, "maximum size of a caller's message in bytes"),
			durationFlag("startup-timeout", defaultStartup, "time limit for a caller's login"),
			durationFlag("poll-interval", watch.DefaultInterval, "time between status requests to each slot"),
			durationFlag("drain-timeout", defaultDrain, "time limit for a graceful stop"),
			stringFlag("log-level", "info", "minimum level of log lines"),
			stringFlag("log-format", "text", "format of log lines, text or json"),
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

// readSettings reads the settings from the flags. It checks all of them before it
// returns, so that one error lists all invalid ones.
func readSettings(command *cli.Command) (serve.Settings, *logrus.Logger, error) {
	var settingsErrors serve.SettingsErrors
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
		MaxMessageBytes:  command.Int("max-message"),
		StartupTimeout:   command.Duration("startup-timeout"),
		PollInterval:     command.Duration("poll-interval"),
		DrainTimeout:     command.Duration("drain-timeout"),
	}
	for _, user := range command.StringSlice("user") {
		name, password, ok := strings.Cut(user, ":")
		if !ok || name == "" || password == "" {
			settingsErrors = append(settingsErrors, "user: want name:password")
			continue
		}
		settings.Users[name] = password
	}
	for _, seed := range command.StringSlice("seed") {
		parts := strings.Split(seed, "@")
		if len(parts) != 3 {
			settingsErrors = append(settingsErrors, "seed: want id@address@zone")
			continue
		}
		settings.Seeds = append(settings.Seeds, roster.VM{ID: parts[0], Peer: parts[1], Zone: parts[2]})
	}
	logger := logrus.New()
	level, err := logrus.ParseLevel(command.String("log-level"))
	if err != nil {
		settingsErrors = append(settingsErrors, "log-level: "+err.Error())
	}
	logger.SetLevel(level)
	switch command.String("log-format") {
	case "text":
	case "json":
		logger.SetFormatter(&logrus.JSONFormatter{})
	default:
		settingsErrors = append(settingsErrors, "log-format: want text or json")
	}
	if found, ok := settings.Validate().(serve.SettingsErrors); ok {
		settingsErrors = append(settingsErrors, found...)
	}
	if len(settingsErrors) > 0 {
		return settings, nil, settingsErrors
	}
	return settings, logger, nil
}

// runUntilSignal runs the VM. The first signal, which ends ctx, drains the VM; the second
// one stops it at once.
func runUntilSignal(ctx context.Context, vm *serve.VM) error {
	runCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	secondSignal := make(chan os.Signal, 1)
	go func() {
		<-ctx.Done()
		signal.Notify(secondSignal, syscall.SIGINT, syscall.SIGTERM)
		drainCtx, stop := context.WithTimeout(runCtx, vm.Settings.DrainTimeout)
		defer stop()
		go func() {
			<-secondSignal
			stop()
		}()
		vm.Stop(drainCtx)
		cancel()
	}()
	return vm.Run(runCtx)
}
