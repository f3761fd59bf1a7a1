package main

import (
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"onyxgate/internal/assembly"
	"onyxgate/internal/config"
)

// serveCommand runs an instance.
type serveCommand struct {
	Configuration string        `name:"config" env:"NODE_CONFIG" type:"path" required:"" help:"The instance's configuration, JSON."`
	Settings      string        `env:"ONYXGATE_SETTINGS" type:"path" help:"Settings file, TOML; without it, optional features stay off."`
	Name          string        `env:"NODE_NAME" help:"Name of the instance; overrides the configuration."`
	Listen        string        `env:"NODE_LISTEN" help:"Address for client connections; overrides the configuration."`
	Discovery     string        `env:"NODE_DISCOVERY" help:"Address of discovery; overrides the configuration."`
	Level         string        `env:"ONYXGATE_LOG" default:"info" enum:"debug,info,warn,error" help:"Lowest level that is logged."`
	Every         time.Duration `default:"1s" help:"Time between two log lines with counters."`
}

// signalBuffer is larger than the number of signals that can be expected before Run receives them. A signal that does
// not fit into the buffer is lost.
const signalBuffer = 16

func (c serveCommand) Run() error {
	signals := make(chan os.Signal, signalBuffer) // must come first: SIGHUP ends a process that has not called Notify
	signal.Notify(signals, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGINT)
	if err := setUpLog(c.Level); err != nil {
		return err
	}
	settings, err := config.Read(c.Settings)
	if err != nil {
		return err
	}
	server, err := assembly.New(assembly.Options{
		Version:    version,
		ConfigPath: c.Configuration,
		Name:       c.Name, Listen: c.Listen, Discovery: c.Discovery,
		Settings:       settings,
		ReportInterval: c.Every,
	})
	if err != nil {
		return err
	}
	return server.Run(signals)
}

// setUpLog configures logging: text on standard error, from the named level up.
func setUpLog(levelName string) error {
	level, err := logrus.ParseLevel(levelName)
	if err != nil {
		return err
	}
	logrus.SetLevel(level)
	logrus.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: "15:04:05.000"})
	return nil
}
