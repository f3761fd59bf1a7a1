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
	Settings      string        `env:"ONYXGATE_SETTINGS" type:"path" help:"Our own settings, TOML; without it nothing of theirs is on."`
	Name          string        `env:"NODE_NAME" help:"The instance's name, in place of the configuration's."`
	Listen        string        `env:"NODE_LISTEN" help:"Where clients connect, in place of the configuration's."`
	Discovery     string        `env:"NODE_DISCOVERY" help:"Discovery's address, in place of the configuration's."`
	Level         string        `env:"ONYXGATE_LOG" default:"info" enum:"debug,info,warn,error" help:"Least level that is logged."`
	Every         time.Duration `default:"1s" help:"Time between two lines of counts."`
}

// signalBuffer is more than anyone sends before Run takes them: a signal that finds no room is lost.
const signalBuffer = 16

func (c serveCommand) Run() error {
	signals := make(chan os.Signal, signalBuffer) // first of all: SIGHUP would else end a program that is not listening yet
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

// setUpLog logs from this level on, as text on standard error.
func setUpLog(name string) error {
	level, err := logrus.ParseLevel(name)
	if err != nil {
		return err
	}
	logrus.SetLevel(level)
	logrus.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: "15:04:05.000"})
	return nil
}
