// Command hemlockdyke-standin runs stand-ins for the platform's services and for the targets. Tests
// and the demo use it.
package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/gorilla/mux"

	"github.com/hemlockdyke/hemlockdyke/internal/standin/engine"
	"github.com/hemlockdyke/hemlockdyke/internal/standin/service"
	"github.com/hemlockdyke/hemlockdyke/internal/standin/table"
)

func main() {
	app := kingpin.New("hemlockdyke-standin", "Runs stand-ins for the platform's services and for the targets.")
	host := app.Flag("host", "IP address to listen on.").Default("127.0.0.1").String()
	platformPort := app.Flag("platform-port", "Port of the platform's services.").Default("7000").Int()
	enginePort := app.Flag("engine-port", "Port of the first model engine; the others use the ports after it.").Default("7010").Int()
	engines := app.Flag("engines", "Number of model engines.").Default("4").Int()
	servicePort := app.Flag("service-port", "Port of the first instance of the plain service; the others use the ports after it.").Default("7050").Int()
	services := app.Flag("services", "Number of instances of the plain service.").Default("3").Int()
	step := app.Flag("step", "Time between tokens.").Default("5ms").Duration()
	cache := app.Flag("cache-tokens", "Capacity of an engine's prefix cache in prompt tokens.").Default("20000").Int()
	prefill := app.Flag("prefill", "Uncached prompt tokens that an engine processes per second.").Default("20000").Int()
	fencing := app.Flag("checks-fencing", "Engines refuse orders whose fencing token is out of date.").Default("true").Bool()
	kingpin.MustParse(app.Parse(os.Args[1:]))

	platform := mux.NewRouter()
	table.New().RegisterRoutes(platform)
	app.FatalIfError(startServer(*host, *platformPort, platform), "platform")
	for i := range *engines {
		e := engine.New(engine.Settings{
			Name: fmt.Sprintf("engine-%d", i), TimePerToken: *step, CacheTokens: *cache,
			PrefillTokensPerSecond: *prefill, ChecksFencing: *fencing,
		})
		app.FatalIfError(startServer(*host, *enginePort+i, e.Handler()), "engine")
	}
	plainService := service.New()
	for i := range *services {
		app.FatalIfError(startServer(*host, *servicePort+i, plainService.Handler()), "service")
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	<-stop
}

// startServer starts an HTTP server on a port. The server runs until the process ends.
func startServer(host string, port int, h http.Handler) error {
	l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", host, port))
	if err != nil {
		return err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = server.Serve(l) }()
	return nil
}
