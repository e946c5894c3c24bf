// Command hemlockdyke-router carries callers' requests to targets.
package main

import (
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/hemlockdyke/hemlockdyke/internal/daemon"
	"github.com/hemlockdyke/hemlockdyke/internal/logging"
	"github.com/hemlockdyke/hemlockdyke/internal/settings"
)

func main() {
	app := kingpin.New("hemlockdyke-router", "Carries callers' requests to targets.")
	path := app.Flag("settings", "Settings file.").Required().String()
	check := app.Flag("check-settings", "Print the effective settings and exit.").Bool()
	kingpin.MustParse(app.Parse(os.Args[1:]))

	s := settings.DefaultRouter()
	app.FatalIfError(settings.LoadFile(*path, &s), "settings")
	if *check {
		app.FatalIfError(settings.Print(os.Stdout, s), "settings")
		return
	}
	log := logging.New(os.Stderr, s.Log.Level, "router", s.ID)
	router, err := daemon.StartRouter(s, uint64(time.Now().UnixNano()), log)
	app.FatalIfError(err, "start")
	daemon.RunUntilStopped(router, log)
}
