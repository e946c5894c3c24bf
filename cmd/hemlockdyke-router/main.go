// Command hemlockdyke-router forwards callers' requests to targets.
package main

import (
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/hemlockdyke/hemlockdyke/internal/adapter/metrics"
	"github.com/hemlockdyke/hemlockdyke/internal/daemon"
	"github.com/hemlockdyke/hemlockdyke/internal/eventlog"
	"github.com/hemlockdyke/hemlockdyke/internal/logging"
	"github.com/hemlockdyke/hemlockdyke/internal/settings"
	"github.com/hemlockdyke/hemlockdyke/platform"
)

func main() {
	app := kingpin.New("hemlockdyke-router", "Forwards callers' requests to targets.")
	path := app.Flag("settings", "Path of the settings file; required without --platform.").String()
	check := app.Flag("check-settings", "Print the effective settings and exit.").Bool()
	onPlatform := app.Flag("platform", "Run on the users' platform, with the settings file that the platform provides.").Bool()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	if *onPlatform {
		runOnPlatform(app)
		return
	}
	if *path == "" {
		app.Fatalf("required flag --settings not provided")
	}

	s := settings.DefaultRouter()
	app.FatalIfError(settings.LoadFile(*path, &s), "settings")
	if *check {
		app.FatalIfError(settings.Print(os.Stdout, s), "settings")
		return
	}
	out := eventlog.NewWriter(os.Stdout)
	defer out.Close()
	log := eventlog.New(logging.New(out, s.Log.Level, "router", s.ID), time.Now)
	log.FlushWith(out.Flush)
	router, err := daemon.StartRouter(s, uint64(time.Now().UnixNano()), log)
	app.FatalIfError(err, "start")
	daemon.RunUntilStopped(router, log)
}

// runOnPlatform runs the router on the users' platform until it is stopped.
func runOnPlatform(app *kingpin.Application) {
	signals := daemon.NotifySignals()
	file := platform.NewSettingsFile(os.Getenv(platform.SettingsPathEnv))
	s, err := file.LoadAll()
	app.FatalIfError(err, "settings")
	out := eventlog.NewWriter(os.Stdout)
	defer out.Close()
	log := eventlog.New(logging.NewGateway(out, s.Gateway.Gateway.Name), time.Now)
	log.FlushWith(out.Flush)
	m := metrics.NewGateway(time.Now)
	gateway, err := daemon.StartGateway(s.Gateway, daemon.Platform{
		Store: platform.NewStore(s.StoreAddress, m.CountStoreCall), Decoder: platform.Decoder{}, HeaderCodec: platform.HeaderCodec{},
	}, m, log)
	app.FatalIfError(err, "start")
	daemon.RunGateway(gateway, signals, file, log)
}
